package commander

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"

	"github.com/fescuethread/fescuethread/connector"
)

func init() {
	register(newVersion)
}

type versionResult struct {
	Version  string `json:"version"`
	Revision string `json:"revision"`
	Protocol int    `json:"protocol"`
}

func (r versionResult) text() string {
	return fmt.Sprintf("fescuethread %s %s, peer protocol %d\n", r.Version, r.Revision, r.Protocol)
}

func newVersion(env Environment, opts *options) *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version of the program and of the peer protocol",
		Example: "  fescuethread version -o json",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return opts.print(env.Out, readVersion())
		},
	}
}

func readVersion() versionResult {
	r := versionResult{Version: "devel", Protocol: connector.ProtocolVersion}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return r
	}
	r.Version = info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			r.Revision = s.Value
		}
	}
	return r
}
