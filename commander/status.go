package commander

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"github.com/fescuethread/fescuethread/exchanger"
	"github.com/fescuethread/fescuethread/reporter"
)

func init() {
	register(newStatus)
}

type statusResult struct {
	reporter.Status
}

func (r statusResult) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "host %s, zone %s, %s, incarnation %d\n", r.Host, r.Zone, r.Phase, r.Incarnation)
	fmt.Fprintf(&b, "platform contact %d ms ago, keys %s\n", r.Contact, r.Freshness)
	for _, d := range r.Documents {
		fmt.Fprintf(&b, "document %-20s version %d\n", d.Name, d.Version)
	}
	for _, m := range r.Members {
		fmt.Fprintf(&b, "member   %-20s %-8s %-10s %d ms\n", m.Host, m.State, m.Zone, m.Age)
	}
	for _, l := range r.Loads {
		fmt.Fprintf(&b, "load     %-20s %d of %d slots ready, %d busy, %d queued\n",
			l.Service, l.Ready, l.Slots, l.Busy, l.Queued)
	}
	for _, a := range r.Accounts {
		fmt.Fprintf(&b, "account  %-20s rate %.1f/s, burst %.1f, tokens %.1f\n",
			a.Name, a.Rate, a.Burst, a.Tokens)
	}
	fmt.Fprintf(&b, "%d operations, %d connections\n", r.Operations, r.Connections)
	return b.String()
}

func newStatus(env Environment, opts *options) *cobra.Command {
	var admin string
	cmd := &cobra.Command{
		Use:     "status",
		Short:   "Show the state of an entry host",
		Long:    "Status shows an entry host's phase, versions in force, members, loads and shares.",
		Example: "  fescuethread status --admin 127.0.0.1:7301",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var result statusResult
			err := withClient(func(c *exchanger.Client) error {
				return fetch(cmd.Context(), c, "http://"+admin+"/status", &result.Status)
			})
			if err != nil {
				return err
			}
			return opts.print(env.Out, result)
		},
	}
	cmd.Flags().StringVar(&admin, "admin", "", "operators' IP address and port of an entry host")
	mustRequire(cmd, "admin")
	return cmd
}
