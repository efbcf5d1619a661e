package commander

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/fescuethread/fescuethread/assembler"
	"github.com/fescuethread/fescuethread/loader"
)

func init() {
	register(newServe)
}

func newServe(env Environment, _ *options) *cobra.Command {
	var config string
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Run an entry host",
		Long: "Serve runs an entry host until it is stopped. The first SIGTERM or SIGINT begins a\n" +
			"graceful stop, which cuts no request; the second one ends the process at once.",
		Example: "  fescuethread serve --config host.toml",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, err := loader.Load(config)
			if err != nil {
				return &Error{Op: "serve", Kind: KindInput, Err: err}
			}
			return serve(cmd.Context(), env, settings)
		},
	}
	cmd.Flags().StringVar(&config, "config", "", "file of the process's settings")
	mustRequire(cmd, "config")
	return cmd
}

func serve(ctx context.Context, env Environment, s loader.Settings) error {
	host, err := assembler.New(ctx, s, assembler.NewLogger(s.Log, env.Err))
	if err != nil {
		return failed("serve", err)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	go followSignals(ctx, signals, host, cancel)
	if err := host.Run(ctx); err != nil {
		return failed("serve", err)
	}
	return failed("serve", cutCause(ctx))
}

// errCut is the cause of a stop that a second signal ended.
var errCut = errors.New("a second signal ended the graceful stop; requests may have been cut")

func followSignals(
	ctx context.Context, signals <-chan os.Signal, host *assembler.Host,
	cancel context.CancelCauseFunc,
) {
	select {
	case <-ctx.Done():
		return
	case <-signals:
		host.Stop()
	}
	select {
	case <-ctx.Done():
	case <-signals:
		cancel(errCut)
	}
}

func cutCause(ctx context.Context) error {
	if errors.Is(context.Cause(ctx), errCut) {
		return errCut
	}
	return nil
}
