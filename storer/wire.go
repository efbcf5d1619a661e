package storer

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

const (
	// ObjectsPath is the path of the collection of objects.
	ObjectsPath = "/v1/objects"
	// HostsPath is the path of the list of hosts.
	HostsPath = "/v1/hosts"
	// ChangeHeader holds the writer's change identifier.
	ChangeHeader = "X-Change"

	maxAnswerBytes = 32 << 20
)

// WireObject is an object in the JSON of a listing.
type WireObject struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Change  string `json:"change"`
	Body    []byte `json:"body"`
}

// WireListing is the JSON answer to a list or a watch.
type WireListing struct {
	Revision uint64       `json:"revision"`
	Objects  []WireObject `json:"objects"`
}

// WireHost is a host in the JSON of the list of hosts.
type WireHost struct {
	Name  string    `json:"name"`
	State HostState `json:"state"`
}

// WireHosts is the JSON answer to a call for the list of hosts.
type WireHosts struct {
	Hosts []WireHost `json:"hosts"`
}

// FormatVersion returns the entity tag of a version.
func FormatVersion(version uint64) string {
	return `"` + strconv.FormatUint(version, 10) + `"`
}

// ParseVersion returns the version of an entity tag.
func ParseVersion(tag string) (uint64, error) {
	if len(tag) < 3 || !strings.HasPrefix(tag, `"`) || !strings.HasSuffix(tag, `"`) {
		return 0, errors.Errorf("the entity tag %q is not a quoted number", tag)
	}
	return strconv.ParseUint(tag[1:len(tag)-1], 10, 64)
}

func setPrecondition(h http.Header, expected uint64) {
	if expected == 0 {
		h.Set("If-None-Match", "*")
		return
	}
	h.Set("If-Match", FormatVersion(expected))
}

func kindOfStatus(status int) Kind {
	switch status {
	case http.StatusNotFound:
		return KindMissing
	case http.StatusPreconditionFailed:
		return KindConflict
	case http.StatusRequestEntityTooLarge:
		return KindTooLarge
	case http.StatusBadRequest, http.StatusPreconditionRequired:
		return KindInvalid
	default:
		return KindUnavailable
	}
}
