package commander

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/lesismal/nbio/logging"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// Environment holds the output streams of commands.
type Environment struct {
	// Out receives results.
	Out io.Writer
	// Err receives errors.
	Err io.Writer
}

// builder creates a command; opts holds the flags shared by all commands.
type builder func(env Environment, opts *options) *cobra.Command

var builders []builder

// register adds a command; command files call it from init.
func register(b builder) {
	builders = append(builders, b)
}

// options holds the flags shared by all commands.
type options struct {
	output string
}

const (
	outputText = "text"
	outputJSON = "json"
)

const rootHelp = "fescuethread steers requests to a region and target that can serve them."

// longHelp returns the program's help, including the exit codes.
func longHelp() string {
	var b strings.Builder
	b.WriteString(rootHelp + "\n\nExit codes:\n")
	for _, c := range exitCodes {
		fmt.Fprintf(&b, "  %d  %s\n", c.code, c.meaning)
	}
	return strings.TrimSuffix(b.String(), "\n")
}

// Run runs the command given by args and returns the program's exit code.
func Run(ctx context.Context, env Environment, args []string) int {
	// nbio logs to standard output, which is reserved for results.
	logging.SetLevel(logging.LevelNone)
	opts := &options{}
	root := newRoot(env, opts)
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintln(env.Err, "fescuethread:", err)
	var e *Error
	if errors.As(err, &e) {
		return e.exitCode()
	}
	return ExitUsage
}

func newRoot(env Environment, opts *options) *cobra.Command {
	root := &cobra.Command{
		Use:           "fescuethread",
		Short:         "Steer requests to a region and target that can serve them",
		Long:          longHelp(),
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.SetOut(env.Out)
	root.SetErr(env.Err)
	flags := root.PersistentFlags()
	flags.StringVarP(&opts.output, "output", "o", outputText, `output format: "text" or "json"`)
	root.PersistentPreRunE = func(*cobra.Command, []string) error { return opts.check() }
	for _, b := range builders {
		root.AddCommand(b(env, opts))
	}
	return root
}

func (o *options) check() error {
	if o.output != outputText && o.output != outputJSON {
		cause := errors.Errorf("--output %q is neither \"text\" nor \"json\"", o.output)
		return &Error{Op: "arguments", Kind: KindUsage, Err: cause}
	}
	return nil
}
