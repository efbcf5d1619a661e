package logger

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/apex/log"
)

func TestLogWritesNumberAndFields(t *testing.T) {
	var b bytes.Buffer
	l := New(&b, FormatJSON, log.InfoLevel).With(F("host", "a"))
	l.Log(Event{Number: 7, Name: "tested", Level: log.InfoLevel}, F("az", "ecape-a"))
	for _, want := range []string{`"event":7`, `"host":"a"`, `"az":"ecape-a"`, `"tested"`} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("%s is missing in %s", want, b.String())
		}
	}
}

func TestLogDropsBelowLevel(t *testing.T) {
	var b bytes.Buffer
	New(&b, FormatJSON, log.WarnLevel).Log(Event{Number: 7, Name: "x", Level: log.InfoLevel})
	if b.Len() != 0 {
		t.Fatalf("wrote %s", b.String())
	}
}

// BenchmarkLog writes the line of one routing decision.
func BenchmarkLog(b *testing.B) {
	l := New(io.Discard, FormatJSON, log.InfoLevel).With(F("host", "a"))
	e := Event{Number: 1100, Name: "request routed", Level: log.InfoLevel}
	b.ReportAllocs()
	for b.Loop() {
		l.Log(e, F("request", "4f1c"), F("customer", "mill-a"), F("service", "saleroom"),
			F("zone", "ecape-a"), F("host", "h"), F("rule", "near"), F("try", 0))
	}
}
