// Command fescuethread steers requests from customers to regions and targets that can serve them.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/fescuethread/fescuethread/commander"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	env := commander.Environment{Out: os.Stdout, Err: os.Stderr, In: os.Stdin}
	code := commander.Run(ctx, env, os.Args[1:])
	stop()
	os.Exit(code)
}
