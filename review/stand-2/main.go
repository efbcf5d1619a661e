// Command stand-2 holds the stand-ins and the runners of the review cases 6 to 10.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: stand-2 crowd|callers|target|latch [flags]")
		os.Exit(exitCannotRun)
	}
	commands := map[string]func(args []string) int{
		"crowd":   runCrowd,
		"callers": runCallers,
		"target":  runTarget,
		"latch":   runLatch,
	}
	run, ok := commands[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown command", os.Args[1])
		os.Exit(exitCannotRun)
	}
	os.Exit(run(os.Args[2:]))
}

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)
