package applier

import (
	"context"
	"strings"

	"github.com/pkg/errors"
)

// HostVersion is the version of a document that a live host has in force.
type HostVersion struct {
	// Host is the host's name.
	Host string
	// Version is the version in force, or 0 if the host has none or didn't answer.
	Version uint64
}

// Source tells the versions that the live hosts have in force.
type Source interface {
	HostVersions(ctx context.Context) ([]HostVersion, error)
}

// Waiter paces the questions to the source.
type Waiter interface {
	// Wait returns an error once ctx has ended.
	Wait(ctx context.Context) error
}

// Await asks until every live host has the version or a higher one in force, or ctx ends; then it
// returns the hosts that lag and KindPending.
func Await(ctx context.Context, s Source, w Waiter, version uint64) ([]HostVersion, error) {
	for {
		hosts, err := s.HostVersions(ctx)
		lagging := below(hosts, version)
		if err == nil && len(hosts) > 0 && len(lagging) == 0 {
			return nil, nil
		}
		if waitErr := w.Wait(ctx); waitErr != nil {
			return lagging, pending(lagging, err)
		}
	}
}

func below(hosts []HostVersion, version uint64) []HostVersion {
	var lagging []HostVersion
	for _, h := range hosts {
		if h.Version < version {
			lagging = append(lagging, h)
		}
	}
	return lagging
}

func pending(lagging []HostVersion, err error) error {
	if err == nil {
		err = errors.Errorf("not in force on %s", names(lagging))
	}
	return &Error{Op: "await", Kind: KindPending, Err: err}
}

func names(hosts []HostVersion) string {
	if len(hosts) == 0 {
		return "any known host"
	}
	list := make([]string, 0, len(hosts))
	for _, h := range hosts {
		list = append(list, h.Host)
	}
	return strings.Join(list, ", ")
}
