package detector

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes seed and length of property-based tests, unless they are given.
func TestMain(m *testing.M) {
	flag.Parse()
	preset("rapid.seed", "1")
	preset("rapid.checks", "40")
	os.Exit(m.Run())
}

func preset(name, value string) {
	f := flag.Lookup(name)
	if f.Value.String() != f.DefValue {
		return
	}
	if err := f.Value.Set(value); err != nil {
		panic(err)
	}
}
