package storer

import (
	"strings"

	"github.com/pkg/errors"
)

const (
	// MaxBodyBytes is the largest value that an object can hold.
	MaxBodyBytes = 1 << 20
	// MaxNameBytes is the longest name that an object can have.
	MaxNameBytes = 256
)

// Object is a named, versioned value of the platform.
type Object struct {
	// Name is the object's name, such as config/inventory.
	Name string
	// Version is 1 after the object's first write and grows by one with each write.
	Version uint64
	// Change is the identifier that the writer gave to the write.
	Change string
	// Body is the value; it must not be modified.
	Body []byte
}

// Listing is the set of objects that a list or a watch returned.
type Listing struct {
	// Objects are the objects found, in the order of their names.
	Objects []Object
	// Revision is the store's revision that the listing reflects.
	Revision uint64
}

// Host is an entry of the platform's lagging list of hosts.
type Host struct {
	// Name is the host's name.
	Name string
	// State is HostLive or HostLeaving.
	State HostState
}

// HostState is a host's state in the platform's list.
type HostState string

const (
	// HostLive is a host that is not about to stop.
	HostLive HostState = "live"
	// HostLeaving is a host that is about to stop.
	HostLeaving HostState = "leaving"
)

func checkName(name string) error {
	if name == "" || len(name) > MaxNameBytes {
		return errors.Errorf("the name's length %d is outside 1 to %d", len(name), MaxNameBytes)
	}
	for _, part := range strings.Split(name, "/") {
		if part == "" || strings.Trim(part, ".") == "" {
			return errors.Errorf("the name %q has an empty or dotted part", name)
		}
	}
	if i := strings.IndexFunc(name, isForbidden); i >= 0 {
		return errors.Errorf("the name %q has a forbidden character at %d", name, i)
	}
	return nil
}

func isForbidden(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return false
	}
	return !strings.ContainsRune("/._-", r)
}
