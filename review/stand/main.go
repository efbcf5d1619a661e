// Command stand plays the cases of the review: it starts a small deployment on loopback addresses,
// plays clients and upstreams, and judges what they saw.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

var cases = map[string]func(d *deployment, trouble bool) bool{}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fatal("usage: stand CASE ROOT RECORD")
	}
	r, err := newRecord(os.Args[3])
	if err != nil {
		fatal("record: %v", err)
	}
	d := newDeployment(os.Args[2], r)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		d.stop()
		os.Exit(2)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	held := cases[os.Args[1]](d, trouble)
	d.stop()
	r.logf("the rule held: %t", held)
	fmt.Printf("%s: trouble %t, the rule held: %t\n", os.Args[1], trouble, held)
	if !held {
		os.Exit(1)
	}
}

// config returns a desired state with one idempotent route, one that isn't and one tenant.
func config(timeoutMS int) map[string]any {
	route := func(prefix, kind string) map[string]any {
		return map[string]any{
			"host": hostHeader, "path_prefix": prefix, "kind": kind, "service": "saleroom",
			"timeout_ms": timeoutMS, "objective_ms": 1000, "priority": 1, "attempts": 2,
		}
	}
	return map[string]any{
		"version": "r1",
		"routes": map[string]any{
			"read": route("/read/", "idempotent"), "sale": route("/sale/", "non_idempotent"),
		},
		"services": map[string]any{
			"saleroom": map[string]any{"health_path": "/health", "conn_limit": 390, "cold_s": 0, "cold_per_s": 0},
		},
		"limits": map[string]any{
			"header_bytes": 16384, "body_bytes": 1048576, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
		"tenants": map[string]any{
			"mill": map[string]any{"api_keys": []string{apiKey}, "rate_per_s": 0},
		},
	}
}
