package commander

import (
	"strings"

	"github.com/spf13/cobra"

	"github.com/fescuethread/fescuethread/registrar"
	"github.com/fescuethread/fescuethread/storer"
)

func init() {
	register(newDiff)
}

type diffResult struct {
	Version uint64   `json:"version"`
	Changes []string `json:"changes"`
	Removal string   `json:"removal"`
}

func (r diffResult) text() string {
	if len(r.Changes) == 0 {
		return "no changes\n"
	}
	text := strings.Join(r.Changes, "\n") + "\n"
	if r.Removal != "" {
		text += r.Removal + "; apply needs --confirm-removal\n"
	}
	return text
}

func newDiff(env Environment, opts *options) *cobra.Command {
	return &cobra.Command{
		Use:     "diff FILE",
		Short:   "Show what applying an inventory would change",
		Long:    "Diff checks the file and compares it with the inventory that the platform holds.",
		Example: "  fescuethread diff --platform 127.0.0.1:7000 inventory.toml",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			next, _, err := readInventory(args[0])
			if err != nil {
				return err
			}
			return opts.withPlatform(func(s *storer.Client) error {
				o, err := s.Get(cmd.Context(), documentInventory)
				if err != nil {
					return storeError("get inventory", err)
				}
				current, err := registrar.Parse(o.Name, o.Body)
				if err != nil {
					return &Error{Op: "check platform's inventory", Kind: KindInput, Err: err}
				}
				return opts.print(env.Out, compare(o.Version, current, next))
			})
		},
	}
}

func compare(version uint64, current, next *registrar.Inventory) diffResult {
	result := diffResult{Version: version, Changes: registrar.Diff(current, next)}
	if removal := registrar.Compare(current, next); removal.IsLarge() {
		result.Removal = removal.String()
	}
	return result
}
