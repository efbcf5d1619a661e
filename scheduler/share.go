package scheduler

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/fescuethread/fescuethread/timer"
)

// share is one host's place among the hosts that hold a zone's slots.
type share struct {
	index int
	count int
	after timer.Instant
}

// ShareOf returns the place of self among the holders, whatever their order; the index is
// negative when self is not one of them.
func ShareOf(holders []string, self string) (index, count int) {
	sorted := slices.Clone(holders)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	return slices.Index(sorted, self), len(sorted)
}

// part returns the number of the target's slots that belong to the share; the parts of all
// shares of one count are disjoint and sum up to the target's slots.
func (s share) part(t Target) int {
	if s.index < 0 || s.count <= 0 {
		return 0
	}
	part := t.Slots / s.count
	turn := (s.index + int(xxhash.Sum64String(t.Name)%uint64(s.count))) % s.count
	if turn < t.Slots%s.count {
		part++
	}
	return part
}

// shares lists the share in force and those that wait for an earlier holder's end.
type shares []share

// with adds a share; until its instant only what all listed shares have in common is held.
func (s shares) with(next share) shares {
	return append(slices.Clone(s), next)
}

// at drops the shares that a later one in force has replaced.
func (s shares) at(now timer.Instant) shares {
	for i := len(s) - 1; i > 0; i-- {
		if !now.Before(s[i].after) {
			return s[i:]
		}
	}
	return s
}

func (s shares) part(t Target) int {
	part := t.Slots
	for _, one := range s {
		part = min(part, one.part(t))
	}
	return part
}
