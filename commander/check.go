package commander

import (
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/fescuethread/fescuethread/loader"
	"github.com/fescuethread/fescuethread/registrar"
)

func init() {
	register(newCheck)
}

type checkResult struct {
	File string `json:"file"`
	Kind string `json:"kind"`
}

func (r checkResult) text() string {
	return fmt.Sprintf("%s: valid %s\n", r.File, r.Kind)
}

func newCheck(env Environment, opts *options) *cobra.Command {
	settings := false
	cmd := &cobra.Command{
		Use:   "check FILE...",
		Short: "Check inventories, or with --settings the settings of processes",
		Long: "Check reads each file, checks it as a whole and prints every mistake with its line,\n" +
			"its field and what would be right. Nothing is started or changed.",
		Example: "  fescuethread check examples/karoo.toml\n" +
			"  fescuethread check --settings host.toml",
		Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, files []string) error {
			for _, file := range files {
				result, err := checkFile(file, settings)
				if err != nil {
					return err
				}
				if err := opts.print(env.Out, result); err != nil {
					return err
				}
			}
			return nil
		},
	}
	cmd.Flags().BoolVar(&settings, "settings", false, "the files hold settings of a process")
	return cmd
}

func checkFile(file string, settings bool) (checkResult, error) {
	if settings {
		if _, err := loader.Load(file); err != nil {
			return checkResult{}, &Error{Op: "check", Kind: KindInput, Err: err}
		}
		return checkResult{File: file, Kind: "settings"}, nil
	}
	if _, _, err := readInventory(file); err != nil {
		return checkResult{}, err
	}
	return checkResult{File: file, Kind: "inventory"}, nil
}

// readInventory returns a checked inventory and the text that it was read from.
func readInventory(file string) (*registrar.Inventory, []byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		cause := errors.Wrap(err, "read inventory")
		return nil, nil, &Error{Op: "read " + file, Kind: KindInput, Err: cause}
	}
	inv, err := registrar.Parse(file, data)
	if err != nil {
		return nil, nil, &Error{Op: "check " + file, Kind: KindInput, Err: err}
	}
	return inv, data, nil
}
