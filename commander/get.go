package commander

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/fescuethread/fescuethread/storer"
)

func init() {
	register(newGet)
}

type getResult struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Change  string `json:"change"`
	Body    string `json:"body"`
}

func (r getResult) text() string {
	return fmt.Sprintf("# %s version %d, change %s\n%s", r.Name, r.Version, r.Change, r.Body)
}

func newGet(env Environment, opts *options) *cobra.Command {
	return &cobra.Command{
		Use:   "get [DOCUMENT]",
		Short: "Print a configuration document as the platform holds it",
		Long: "Get prints config/inventory, or the document named: config/keys, config/drains.\n" +
			"The version is what apply --expect takes.",
		Example: "  fescuethread get --platform 127.0.0.1:7000 config/drains",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			name := documentInventory
			if len(args) == 1 {
				name = args[0]
			}
			return opts.withPlatform(func(s *storer.Client) error {
				o, err := s.Get(cmd.Context(), name)
				if err != nil {
					return storeError("get "+name, err)
				}
				return opts.print(env.Out, getResult{
					Name: o.Name, Version: o.Version, Change: o.Change, Body: string(o.Body),
				})
			})
		},
	}
}
