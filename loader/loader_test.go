package loader

import (
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

var update = flag.Bool("update", false, "write docs/SETTINGS.md anew")

const valid = `
[host]
name = "a"
zone = "z"
[listen]
caller = "127.0.0.1:1"
peer = "127.0.0.1:2"
admin = "127.0.0.1:3"
[platform]
address = "127.0.0.1:4"
`

func TestParseAppliesDefaults(t *testing.T) {
	s, err := Parse("x.toml", []byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	if s.Callers != Defaults().Callers {
		t.Fatalf("got %+v", s.Callers)
	}
}

func TestParseRejects(t *testing.T) {
	tests := []struct {
		name string
		data string
		kind Kind
		want string
	}{
		{"unknown field", valid + "port = 1\n", KindSyntax, `line 11: unknown field "platform.port"`},
		{"wrong type", valid + "[callers]\nconnections = \"many\"\n", KindSyntax, "line 12"},
		{"missing unit", valid + "timeout = \"5\"\n", KindSyntax, `write it like "2s"`},
		{"wrong unit", valid + "[callers]\nbody = \"1MB\"\n", KindSyntax, `write it like "64KiB"`},
		{"host name", strings.Replace(valid, "127.0.0.1:4", "platform:4", 1), KindValue,
			`platform.address: "platform:4" is no IP number with a port`},
		{"impossible", valid + "timeout = \"0s\"\n", KindValue, "between 10ms and 1m0s"},
		{"clash", strings.Replace(valid, ":3", ":2", 1), KindValue, "clashes with listen.admin"},
		{"clashing sizes", valid + "[peers]\nmessage = \"1MiB\"\n", KindValue, "clash with callers.body"},
		{"clashing times", valid + "[keys]\nbound = \"9s\"\n", KindValue, "keys.bound: 9s clashes with platform.watch"},
		{"stale rule", valid + "[keys]\nstale = \"maybe\"\n", KindValue, `not one of ["refuse" "serve"]`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse("x.toml", []byte(tt.data))
			var e *Error
			if !errors.As(err, &e) || e.Kind != tt.kind {
				t.Fatalf("got %v", err)
			}
			if !strings.Contains(err.Error(), tt.want) || !strings.Contains(err.Error(), "x.toml") {
				t.Fatalf("%q lacks %q", err, tt.want)
			}
		})
	}
}

func TestManualIsCommitted(t *testing.T) {
	if *update {
		if err := os.WriteFile("../docs/SETTINGS.md", []byte(Manual()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	page, err := os.ReadFile("../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	if string(page) != Manual() {
		t.Fatal("docs/SETTINGS.md differs from the code; run go test ./loader -update")
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("[host]\nname = 3"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("x.toml", data)
		if err == nil && len(check(s)) > 0 {
			t.Fatal("accepted faulty settings")
		}
	})
}

func TestExampleIsValid(t *testing.T) {
	if _, err := Load("../examples/host.toml"); err != nil {
		t.Fatal(err)
	}
}
