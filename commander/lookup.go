package commander

import (
	"fmt"
	"net/url"
	"strings"

	"github.com/spf13/cobra"

	"github.com/fescuethread/fescuethread/carrier"
	"github.com/fescuethread/fescuethread/exchanger"
)

func init() {
	register(newLookup)
}

type lookupResult struct {
	carrier.Lookup
}

func (r lookupResult) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "service %s, valid for %d ms, place %s by %s\n",
		r.Service, r.Lifetime, r.Place, r.Basis)
	for _, h := range r.Hosts {
		fmt.Fprintf(&b, "%d  %-22s %-16s weight %d\n", h.Rank, h.Address, h.Host, h.Weight)
	}
	return b.String()
}

func newLookup(env Environment, opts *options) *cobra.Command {
	var host, service, client, place string
	cmd := &cobra.Command{
		Use:   "lookup",
		Short: "Ask an entry host which entry hosts to use",
		Long: "Lookup asks an entry host which entry hosts a caller is to use for a service. The\n" +
			"answer is ordered by rank; hosts of one rank share requests by weight.",
		Example: "  fescuethread lookup --host 127.0.0.1:7101 --service saleroom --client 10.1.2.3",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			q := url.Values{"service": {service}}
			setNonEmpty(q, "client", client)
			setNonEmpty(q, "place", place)
			var result lookupResult
			err := withClient(func(c *exchanger.Client) error {
				address := "http://" + host + "/v1/lookup?" + q.Encode()
				return fetch(cmd.Context(), c, address, &result.Lookup)
			})
			if err != nil {
				return err
			}
			return opts.print(env.Out, result)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&host, "host", "", "callers' IP address and port of an entry host")
	flags.StringVar(&service, "service", "", "service that the caller wants")
	flags.StringVar(&client, "client", "", "IP address of the caller, if not this machine's")
	flags.StringVar(&place, "place", "", "region or availability zone of the caller")
	mustRequire(cmd, "host", "service")
	return cmd
}

func setNonEmpty(q url.Values, name, value string) {
	if value != "" {
		q.Set(name, value)
	}
}

// mustRequire marks flags as required; a name that the command lacks is a mistake in this program.
func mustRequire(cmd *cobra.Command, names ...string) {
	for _, name := range names {
		if err := cmd.MarkFlagRequired(name); err != nil {
			panic(err)
		}
	}
}
