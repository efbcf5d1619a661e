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
