package commander

import (
	"context"
	"fmt"
	"net/netip"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/fescuethread/fescuethread/exchanger"
	"github.com/fescuethread/fescuethread/platform"
)

// storeTimeout is the timeout of each call to the store.
const storeTimeout = 5 * time.Second

func init() {
	register(newShow)
}

// showResult is the state that hosts read from the store.
type showResult struct {
	Version   uint64          `json:"version"`
	Routes    []routeResult   `json:"routes"`
	Services  []serviceResult `json:"services"`
	Customers []string        `json:"customers"`
	Evacuated []string        `json:"evacuated"`
	Hosts     []hostResult    `json:"hosts"`
	// Unreadable lists the invalid target entries, which hosts ignore.
	Unreadable []string `json:"unreadable"`
}

type routeResult struct {
	Name   string `json:"name"`
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	Kind   string `json:"kind"`
	Open   bool   `json:"open"`
}

type serviceResult struct {
	Name     string `json:"name"`
	Targets  int    `json:"targets"`
	Slots    int    `json:"slots"`
	Draining int    `json:"draining"`
}

type hostResult struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
}

func (r showResult) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "configuration %d\n", r.Version)
	for _, route := range r.Routes {
		fmt.Fprintf(&b, "route %s: %s%s, %s", route.Name, route.Host, route.Prefix, route.Kind)
		if route.Open {
			b.WriteString(", open")
		}
		b.WriteString("\n")
	}
	for _, s := range r.Services {
		fmt.Fprintf(&b, "service %s: %d targets, %d slots, %d draining\n",
			s.Name, s.Targets, s.Slots, s.Draining)
	}
	fmt.Fprintf(&b, "customers: %s\n", strings.Join(r.Customers, " "))
	fmt.Fprintf(&b, "evacuated zones: %s\n", strings.Join(r.Evacuated, " "))
	for _, h := range r.Hosts {
		fmt.Fprintf(&b, "host %s in %s\n", h.Name, h.Zone)
	}
	for _, u := range r.Unreadable {
		fmt.Fprintf(&b, "unreadable entry %s\n", u)
	}
	return b.String()
}

func newShow(env Environment, opts *options) *cobra.Command {
	var store string
	cmd := &cobra.Command{
		Use:   "show",
		Short: "Show the state that hosts read from the store",
		Long: "Show reads the configuration, the targets, the evacuations and the hosts from the\n" +
			"store, as a host does. API keys are not shown.",
		Example: "  fescuethread show --store 127.0.0.1:7000",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, err := netip.ParseAddrPort(store); err != nil {
				cause := errors.Errorf("--store %q is not an IP address and port", store)
				return &Error{Op: "arguments", Kind: KindUsage, Err: cause}
			}
			result, err := readStore(cmd.Context(), store)
			if err != nil {
				return err
			}
			return opts.print(env.Out, result)
		},
	}
	cmd.Flags().StringVar(&store, "store", "", "IP address and port of the store")
	return cmd
}

func readStore(ctx context.Context, address string) (showResult, error) {
	e, err := exchanger.New(exchanger.Limits{})
	if err != nil {
		return showResult{}, failedError("start HTTP client", err)
	}
	defer e.Close()
	client := exchanger.NewClient(e)
	defer client.Close()
	s := platform.NewStore(address, client, storeTimeout, func(string, error, time.Duration) {})
	return collect(ctx, s)
}

func collect(ctx context.Context, s *platform.Store) (showResult, error) {
	plan, err := s.Plan(ctx)
	if err != nil {
		return showResult{}, storeError("read configuration", err)
	}
	r := showResult{Version: plan.Version()}
	for _, route := range plan.Routes() {
		r.Routes = append(r.Routes, routeResult{
			Name: route.Name, Host: route.Host, Prefix: route.Prefix,
			Kind: string(route.Kind), Open: route.Public,
		})
	}
	for _, c := range plan.Customers() {
		r.Customers = append(r.Customers, c.Name)
	}
	for _, service := range plan.Services() {
		r.Services = append(r.Services, serviceResult{Name: service.Name})
	}
	if err := r.addTargets(ctx, s); err != nil {
		return r, err
	}
	evacuations, err := s.Evacuations(ctx)
	if err != nil {
		return r, storeError("read evacuations", err)
	}
	r.Evacuated = evacuations.Zones
	hosts, err := s.Hosts(ctx)
	for _, m := range hosts.Members {
		r.Hosts = append(r.Hosts, hostResult{Name: m.Name, Zone: m.Zone})
	}
	return r, storeError("read hosts", err)
}

func (r *showResult) addTargets(ctx context.Context, s *platform.Store) error {
	targets, err := s.Targets(ctx)
	if err != nil {
		return storeError("read targets", err)
	}
	for _, t := range targets.Valid {
		for i := range r.Services {
			service := &r.Services[i]
			if service.Name != t.Service {
				continue
			}
			service.Targets++
			service.Slots += t.Slots
			if t.Draining {
				service.Draining++
			}
		}
	}
	for _, u := range targets.Invalid {
		r.Unreadable = append(r.Unreadable, fmt.Sprintf("%s: %v", u.Name, u.Err))
	}
	sort.Strings(r.Unreadable)
	return nil
}

// storeError wraps an error of the store's client with the kind that gives its exit code.
func storeError(op string, err error) error {
	switch {
	case err == nil:
		return nil
	case platform.IsKind(err, platform.KindUnavailable), platform.IsKind(err, platform.KindRefused):
		return &Error{Op: op, Kind: KindUnreachable, Err: err}
	default:
		return failedError(op, err)
	}
}
