package commander

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/fescuethread/fescuethread/drainer"
	"github.com/fescuethread/fescuethread/registrar"
	"github.com/fescuethread/fescuethread/storer"
)

func init() {
	register(newDrain)
}

type drainResult struct {
	Version uint64          `json:"version"`
	Drains  []drainer.Drain `json:"drains"`
}

func (r drainResult) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "drains version %d\n", r.Version)
	for _, d := range r.Drains {
		fmt.Fprintf(&b, "%s %s\n", d.Scope, d.Name)
	}
	return b.String()
}

func newDrain(env Environment, opts *options) *cobra.Command {
	var undo, force bool
	cmd := &cobra.Command{
		Use:   "drain {target|host|zone|region} NAME",
		Short: "Let a target, host, availability zone or region finish its work and take no more",
		Long: "Drain writes a planned drain; --undo cancels it. A host leaves look-up answers, waits\n" +
			"until the last answer that names it has run out, finishes what it holds, hands its\n" +
			"operations over and exits. Draining the last target of a service or the last host needs\n" +
			"--force.",
		Example: "  fescuethread drain --platform 127.0.0.1:7000 zone east-a\n" +
			"  fescuethread drain --platform 127.0.0.1:7000 zone east-a --undo",
		Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			d := drainer.Drain{Scope: drainer.Scope(args[0]), Name: args[1]}
			return opts.withPlatform(func(s *storer.Client) error {
				result, err := drain(cmd, s, d, undo, force)
				if err != nil {
					return err
				}
				return opts.print(env.Out, result)
			})
		},
	}
	cmd.Flags().BoolVar(&undo, "undo", false, "cancel the drain")
	cmd.Flags().BoolVar(&force, "force", false, "drain even the last target or host")
	return cmd
}

func drain(
	cmd *cobra.Command, s *storer.Client, d drainer.Drain, undo, force bool,
) (drainResult, error) {
	var plan drainer.Plan
	inv, err := currentInventory(cmd, s)
	if err != nil {
		return drainResult{}, err
	}
	o, err := update(cmd.Context(), s, drainer.Document, "drain", func(body []byte) ([]byte, error) {
		next, err := editPlan(body, inv, d, undo)
		if err != nil {
			return nil, err
		}
		plan = next
		if err := checkPlan(plan, inv, force); err != nil {
			return nil, err
		}
		return plan.Encode()
	})
	return drainResult{Version: o.Version, Drains: plan.Drains()}, err
}

func editPlan(
	body []byte, inv *registrar.Inventory, d drainer.Drain, undo bool,
) (drainer.Plan, error) {
	var plan drainer.Plan
	if len(body) > 0 {
		parsed, err := drainer.Parse(body)
		if err != nil {
			return plan, &Error{Op: "drain", Kind: KindInput, Err: err}
		}
		plan = parsed.WithKnown(inv)
	}
	if undo {
		return plan.Without(d), nil
	}
	return plan.With(d), nil
}

func checkPlan(plan drainer.Plan, inv *registrar.Inventory, force bool) error {
	err := plan.Check(inv)
	var e *drainer.Error
	if !errors.As(err, &e) {
		return nil
	}
	if e.Kind != drainer.KindLast {
		return &Error{Op: "drain", Kind: KindInput, Err: err}
	}
	if force {
		return nil
	}
	return &Error{Op: "drain without --force", Kind: KindConfirm, Err: err}
}

func currentInventory(cmd *cobra.Command, s *storer.Client) (*registrar.Inventory, error) {
	o, err := s.Get(cmd.Context(), documentInventory)
	if err != nil {
		return nil, storeError("get inventory", err)
	}
	inv, err := registrar.Parse(o.Name, o.Body)
	if err != nil {
		return nil, &Error{Op: "check platform's inventory", Kind: KindInput, Err: err}
	}
	return inv, nil
}
