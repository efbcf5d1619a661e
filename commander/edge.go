package commander

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/spf13/cobra"

	"github.com/fescuethread/fescuethread/conductor"
	"github.com/fescuethread/fescuethread/logger"
)

const (
	// settingsVariable is the environment variable that holds the path of the settings file.
	settingsVariable = "FESCUETHREAD_SETTINGS"
	// logBufferLines is the number of log lines that are buffered; if the buffer is full, lines are
	// dropped.
	logBufferLines = 8192
	// settingsPollInterval is how often the settings file is checked for changes.
	settingsPollInterval = 2 * time.Second
)

func init() {
	register(newEdge)
}

func newEdge(env Environment, _ *options) *cobra.Command {
	var settings string
	cmd := &cobra.Command{
		Use:   "edge",
		Short: "Run a host",
		Long: "Edge runs a host. SIGTERM or SIGINT stops it gracefully; SIGHUP or a change of the\n" +
			"settings file reloads the settings. --settings defaults to the environment variable\n" +
			settingsVariable + ".",
		Example: "  fescuethread edge --settings edge.toml",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if settings == "" {
				settings = os.Getenv(settingsVariable)
			}
			s, err := conductor.LoadSettings(settings)
			if err != nil {
				return &Error{Op: "edge", Kind: KindInput, Err: err}
			}
			return runEdge(cmd.Context(), env, settings, s)
		},
	}
	cmd.Flags().StringVar(&settings, "settings", "", "path of the settings file")
	return cmd
}

func runEdge(ctx context.Context, env Environment, path string, s conductor.Settings) error {
	level, err := log.ParseLevel(s.Log.Level)
	if err != nil {
		return &Error{Op: "edge", Kind: KindInput, Err: err}
	}
	writer := logger.NewAsyncWriter(env.Out, logBufferLines)
	defer writer.Close()
	host, err := conductor.New(ctx, s, logger.New(writer, logger.FormatJSON, level), writer)
	if err != nil {
		return failedError("edge", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	defer signal.Stop(signals)
	go handleSignalsAndReloads(ctx, signals, host, path)
	return failedError("edge", host.Run(ctx))
}

// settingsModTime returns the modification time of the settings file, or the zero time if that
// can't be read.
func settingsModTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// handleSignalsAndReloads stops the host on SIGINT and SIGTERM, and reloads its settings on SIGHUP
// and when the file's modification time changes.
func handleSignalsAndReloads(
	ctx context.Context, signals <-chan os.Signal, host *conductor.Host, path string,
) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	modTime := settingsModTime(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if t := settingsModTime(path); t != modTime {
				modTime = t
				host.Reload(path)
			}
		case s := <-signals:
			if s == syscall.SIGHUP {
				host.Reload(path)
				continue
			}
			host.Stop()
		}
	}
}
