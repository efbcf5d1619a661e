package logger

import (
	"bytes"
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
