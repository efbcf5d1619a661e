package commander

import (
	"fmt"
	"net/url"
	"strings"

	"github.com/spf13/cobra"

	"github.com/fescuethread/fescuethread/exchanger"
	"github.com/fescuethread/fescuethread/reporter"
)

func init() {
	register(newExplain)
}

type explainResult struct {
	reporter.Explanation
}

func (r explainResult) text() string {
	var b strings.Builder
	for _, s := range r.Signals {
		fmt.Fprintf(&b, "signal  %-12s near %t, %d ready, %d busy, %d queued, report %d ms old, "+
			"trip %d us, draining %t, hosts %s\n", s.Zone, s.Near, s.Ready, s.Busy, s.Queued,
			s.Age, s.RTT, s.Draining, strings.Join(s.Hosts, ","))
	}
	for _, v := range r.Verdicts {
		fmt.Fprintf(&b, "verdict %-12s %s: rule %q says %s\n",
			v.Subject, strings.Join(v.Signals, ", "), v.Rule, v.Outcome)
	}
	for i, c := range r.Choices {
		fmt.Fprintf(&b, "choice  %d %-10s host %q, rule %q, expected delay %d us\n",
			i+1, c.Zone, c.Host, c.Rule, c.Delay)
	}
	for _, o := range r.Passed {
		fmt.Fprintf(&b, "passed  %-12s %s\n", o.Zone, o.Reason)
	}
	return b.String()
}

func newExplain(env Environment, opts *options) *cobra.Command {
	var admin, service, customer string
	cmd := &cobra.Command{
		Use:   "explain",
		Short: "Show how an entry host would route a request now, and why",
		Long: "Explain shows the signals that an entry host has, the standing rule that decided\n" +
			"where they disagree, and the availability zones that it would try for a request.",
		Example: "  fescuethread explain --admin 127.0.0.1:7301 --service saleroom --customer mill-a",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			q := url.Values{"service": {service}}
			setNonEmpty(q, "customer", customer)
			var result explainResult
			err := withClient(func(c *exchanger.Client) error {
				address := "http://" + admin + "/explain?" + q.Encode()
				return fetch(cmd.Context(), c, address, &result.Explanation)
			})
			if err != nil {
				return err
			}
			return opts.print(env.Out, result)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&admin, "admin", "", "operators' IP address and port of an entry host")
	flags.StringVar(&service, "service", "", "service of the request")
	flags.StringVar(&customer, "customer", "", "customer of the request")
	mustRequire(cmd, "admin", "service")
	return cmd
}
