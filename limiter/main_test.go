package limiter

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives the properties a seed, so that each run draws the same; flags may override it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{
		"rapid.seed": "20261204", "rapid.checks": "100", "rapid.steps": "100", "rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
