package conductor

import (
	"strings"
	"testing"
)

// TestEachProblemHasItsPlace: all problems of a file are found at once, each with its line, what was
// found and what is allowed; an unknown key is a warning.
func TestEachProblemHasItsPlace(t *testing.T) {
	text := strings.NewReplacer(
		`zone = "a1"`, `zone = "c1"`, `memory = 284`, "memory = -1\nshape = 3", "peer = PEER", "peer = 70000",
		"[store]\naddress = \"127.0.0.1:9\"\n", "",
	).Replace(settingsText)
	_, problems, err := CheckSettings(writeSettings(t, text))
	if err != nil {
		t.Fatal(err)
	}
	lineOf := func(part string) int {
		return strings.Count(text[:strings.Index(text, part)], "\n") + 1
	}
	want := map[string]Problem{
		"host.zone":            {Line: lineOf(`zone = "c1"`), Found: `"c1"`},
		"host.memory":          {Line: lineOf("memory = -1"), Found: `"-1"`},
		"host.shape":           {Line: lineOf("shape = 3"), Warning: true},
		"listen.peer":          {Line: lineOf("peer = 70000"), Found: `"70000"`},
		"store.address":        {Line: 0, Found: `""`},
		"bounds.something_new": {Line: lineOf("something_new"), Warning: true},
	}
	for _, p := range problems {
		w, ok := want[p.Key]
		if !ok || p.Line != w.Line || p.Found != w.Found || p.Warning != w.Warning || p.Allowed == "" {
			t.Errorf("%+v, want %+v", p, w)
		}
		delete(want, p.Key)
	}
	if len(want) > 0 {
		t.Errorf("not found: %v", want)
	}
}
