package commander

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/fescuethread/fescuethread/applier"
	"github.com/fescuethread/fescuethread/exchanger"
	"github.com/fescuethread/fescuethread/registrar"
	"github.com/fescuethread/fescuethread/reporter"
	"github.com/fescuethread/fescuethread/storer"
)

func init() {
	register(newApply)
}

const applyHelp = `Apply checks the inventory as a whole, compares it with the platform's, and
replaces that in one conditional write. When another operator's change came before, nothing is
written and the difference is shown. A change that takes away most targets of a service, a
region, most hosts or most customers needs --confirm-removal. With --wait, apply returns once every
host of the inventory reports the version in force; a host that does not answer counts as late.`

// inForcePeriod is the time between two looks at the hosts' versions.
const inForcePeriod = 200 * time.Millisecond

type applyOptions struct {
	file    string
	expect  int64
	confirm bool
	wait    time.Duration
}

type applyResult struct {
	Version uint64   `json:"version"`
	Changes []string `json:"changes"`
	InForce bool     `json:"inforce"`
}

func (r applyResult) text() string {
	text := fmt.Sprintf("accepted as version %d\n", r.Version)
	if len(r.Changes) > 0 {
		text += strings.Join(r.Changes, "\n") + "\n"
	}
	if r.InForce {
		text += "in force on every host\n"
	}
	return text
}

func newApply(env Environment, opts *options) *cobra.Command {
	var a applyOptions
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Check an inventory and put it in force",
		Long:  applyHelp,
		Example: "  fescuethread apply --platform 127.0.0.1:7000 inventory.toml\n" +
			"  fescuethread apply --platform 127.0.0.1:7000 --expect 4 --wait 14s inventory.toml",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			a.file = args[0]
			return opts.withPlatform(func(s *storer.Client) error {
				result, err := a.run(cmd.Context(), s)
				if err != nil {
					return err
				}
				return opts.print(env.Out, result)
			})
		},
	}
	flags := cmd.Flags()
	flags.Int64Var(&a.expect, "expect", -1, "version that the change replaces; -1 takes the newest")
	flags.BoolVar(&a.confirm, "confirm-removal", false, "allow a large removal")
	flags.DurationVar(&a.wait, "wait", 0, "wait so long until the version is in force everywhere")
	return cmd
}

func (a *applyOptions) run(ctx context.Context, s *storer.Client) (applyResult, error) {
	next, body, err := readInventory(a.file)
	if err != nil {
		return applyResult{}, err
	}
	current, err := a.current(ctx, s)
	if err != nil {
		return applyResult{}, err
	}
	changes, err := a.compare(current, next)
	if err != nil {
		return applyResult{}, err
	}
	version, err := a.write(ctx, s, current, next, body)
	if err != nil {
		return applyResult{}, err
	}
	result := applyResult{Version: version, Changes: changes}
	if a.wait > 0 {
		result.InForce = true
		return result, awaitInForce(ctx, next, version, a.wait)
	}
	return result, nil
}

// current returns the platform's inventory; a missing one has version 0.
func (a *applyOptions) current(ctx context.Context, s *storer.Client) (storer.Object, error) {
	o, err := s.Get(ctx, documentInventory)
	if err != nil && !storer.IsKind(err, storer.KindMissing) {
		return o, storeError("get inventory", err)
	}
	return o, nil
}

func (a *applyOptions) compare(
	current storer.Object, next *registrar.Inventory,
) ([]string, error) {
	if current.Version == 0 {
		return nil, nil
	}
	old, err := registrar.Parse(current.Name, current.Body)
	if err != nil {
		return nil, &Error{Op: "check platform's inventory", Kind: KindInput, Err: err}
	}
	if a.expect >= 0 && uint64(a.expect) != current.Version {
		return nil, conflict(current, next)
	}
	removal := registrar.Compare(old, next)
	if removal.IsLarge() && !a.confirm {
		cause := errors.Errorf("it %s; confirm with --confirm-removal", removal)
		return nil, &Error{Op: "apply " + a.file, Kind: KindConfirm, Err: cause}
	}
	return registrar.Diff(old, next), nil
}

func (a *applyOptions) write(
	ctx context.Context, s *storer.Client, current storer.Object,
	next *registrar.Inventory, body []byte,
) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	o, err := applier.Apply(ctx, s, applier.Change{
		Name:     documentInventory,
		Expected: current.Version,
		ID:       newChange("apply"),
		Body:     body,
	})
	var e *applier.Error
	if errors.As(err, &e) && e.Kind == applier.KindConflict {
		return 0, conflict(o, next)
	}
	return o.Version, applyError("apply "+a.file, err)
}

// conflict shows what the platform holds that the file does not.
func conflict(current storer.Object, next *registrar.Inventory) error {
	cause := errors.Errorf("version %d, change %s, came before; nothing was written",
		current.Version, current.Change)
	old, err := registrar.Parse(current.Name, current.Body)
	if err == nil {
		diff := strings.Join(registrar.Diff(old, next), "\n")
		cause = errors.Errorf("%v; against it the file changes:\n%s", cause, diff)
	}
	return &Error{Op: "apply", Kind: KindConflict, Err: cause}
}

// awaitInForce waits until every host of the inventory reports the version.
func awaitInForce(
	ctx context.Context, inv *registrar.Inventory, version uint64, wait time.Duration,
) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return withClient(func(c *exchanger.Client) error {
		ticker := time.NewTicker(inForcePeriod)
		defer ticker.Stop()
		source := &statusSource{client: c, inventory: inv}
		if _, err := applier.Await(ctx, source, tickWaiter{ticker}, version); err != nil {
			return &Error{Op: "wait", Kind: KindLate, Err: err}
		}
		return nil
	})
}

// statusSource reads the versions in force from the hosts' status pages.
type statusSource struct {
	client    *exchanger.Client
	inventory *registrar.Inventory
}

// HostVersions returns version 0 for hosts that do not answer.
func (s *statusSource) HostVersions(ctx context.Context) ([]applier.HostVersion, error) {
	var versions []applier.HostVersion
	for _, h := range s.inventory.Hosts() {
		var status reporter.Status
		v := applier.HostVersion{Host: h.Name}
		if fetch(ctx, s.client, "http://"+h.Admin+"/status", &status) == nil {
			v.Version = versionOf(status.Documents)
		}
		versions = append(versions, v)
	}
	return versions, nil
}

// tickWaiter waits for the next tick.
type tickWaiter struct {
	ticker *time.Ticker
}

// Wait returns an error once ctx has ended.
func (w tickWaiter) Wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-w.ticker.C:
		return nil
	}
}

func versionOf(documents []reporter.Document) uint64 {
	for _, d := range documents {
		if d.Name == documentInventory {
			return d.Version
		}
	}
	return 0
}
