// Command fescuethread steers requests from customers to regions and targets that can serve them.
package main

import (
	"context"
	"os"

	"github.com/fescuethread/fescuethread/commander"
)

func main() {
	env := commander.Environment{Out: os.Stdout, Err: os.Stderr}
	os.Exit(commander.Run(context.Background(), env, os.Args[1:]))
}
