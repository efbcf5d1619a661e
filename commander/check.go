package commander

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/fescuethread/fescuethread/conductor"
)

func init() {
	register(newCheck)
}

type checkResult struct {
	File     string              `json:"file"`
	Host     string              `json:"host"`
	Zone     string              `json:"zone"`
	Problems []conductor.Problem `json:"problems"`
}

func (r checkResult) text() string {
	var b strings.Builder
	for _, p := range r.Problems {
		_, _ = fmt.Fprintf(&b, "%s: %s\n", r.File, p)
	}
	if r.faults() == 0 {
		_, _ = fmt.Fprintf(&b, "%s: valid settings of host %s in %s\n", r.File, r.Host, r.Zone)
	}
	return b.String()
}

// faults returns the number of problems that are no warnings.
func (r checkResult) faults() int {
	n := 0
	for _, p := range r.Problems {
		if !p.Warning {
			n++
		}
	}
	return n
}

func newCheck(env Environment, opts *options) *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE...",
		Short: "Check settings files",
		Long: "Check reads settings files and prints each problem of each file: the key, its line,\n" +
			"what was found and what is allowed. Unknown keys are warnings. Nothing is started or\n" +
			"changed.",
		Example: "  fescuethread check edge.toml\n  fescuethread check --output json edge.toml",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, files []string) error {
			return check(env, opts, files)
		},
	}
}

// check prints the problems of all files; the error is KindInput if one of them is invalid.
func check(env Environment, opts *options, files []string) error {
	faults := 0
	for _, file := range files {
		s, problems, err := conductor.CheckSettings(file)
		if err != nil {
			return &Error{Op: "check", Kind: KindInput, Err: err}
		}
		result := checkResult{File: file, Host: s.Host.Name, Zone: s.Host.Zone, Problems: problems}
		faults += result.faults()
		if err := opts.print(env.Out, result); err != nil {
			return err
		}
	}
	if faults > 0 {
		return &Error{Op: "check", Kind: KindInput, Err: errors.Errorf("%d invalid settings", faults)}
	}
	return nil
}
