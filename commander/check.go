package commander

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/fescuethread/fescuethread/conductor"
)

func init() {
	register(newCheck)
}

type checkResult struct {
	File string `json:"file"`
	Host string `json:"host"`
	Zone string `json:"zone"`
}

func (r checkResult) text() string {
	return fmt.Sprintf("%s: valid settings of host %s in %s\n", r.File, r.Host, r.Zone)
}

func newCheck(env Environment, opts *options) *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE...",
		Short: "Check settings files",
		Long: "Check reads settings files and stops at the first invalid one, with an error that\n" +
			"lists all its invalid fields. Nothing is started or changed.",
		Example: "  fescuethread check edge.toml",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, files []string) error {
			for _, file := range files {
				s, err := conductor.LoadSettings(file)
				if err != nil {
					return &Error{Op: "check", Kind: KindInput, Err: err}
				}
				result := checkResult{File: file, Host: s.Host.Name, Zone: s.Host.Zone}
				if err := opts.print(env.Out, result); err != nil {
					return err
				}
			}
			return nil
		},
	}
}
