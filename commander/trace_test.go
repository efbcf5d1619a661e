package commander

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestTraceCollectsLinesOfRequest(t *testing.T) {
	dir := t.TempDir()
	one, two := filepath.Join(dir, "1.log"), filepath.Join(dir, "2.log")
	if err := os.WriteFile(one, []byte(`  3.1 edge-1 {"fields":{"event":1122,"request":"ab","self":"edge-1",`+
		`"status":502,"tries":1,"took_ms":40,"reason":"answer lost"},"timestamp":"2026-01-01T00:00:02Z"}
not a JSON line ab
`), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(two, []byte(`{"fields":{"event":1121,"request":"ab","target":"i-1","outcome":"lost",`+
		`"cause":"reset"},"timestamp":"2026-01-01T00:00:01Z"}
{"fields":{"event":1121,"request":"abc"},"timestamp":"2026-01-01T00:00:01Z"}
`), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, msg bytes.Buffer
	code := Run(context.Background(), Environment{Out: &out, Err: &msg}, []string{"trace", "ab", one, two})
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if code != ExitOK || len(lines) != 3 || !strings.Contains(lines[0], "1121") {
		t.Fatalf("%d %s %s", code, out.String(), msg.String())
	}
	want := "cause: host edge-1 answered 502 after 1 tries and 40 ms: answer lost; target i-1: lost (reset)"
	if lines[2] != want {
		t.Fatalf("%s, want %s", lines[2], want)
	}
	code = Run(context.Background(), Environment{Out: &out, Err: &msg}, []string{"trace", "zz", one})
	if code == ExitOK {
		t.Fatal("the trace of an unknown request succeeded")
	}
}
