package conductor

import (
	"fmt"
	"net/netip"
	"os"
	"strings"

	"github.com/apex/log"
	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"

	"github.com/fescuethread/fescuethread/platform"
	"github.com/fescuethread/fescuethread/selector"
)

// maxPort is the highest port.
const maxPort = 65535

// Settings are the settings of one process; deploy/settings.toml is the platform's template of the
// file.
type Settings struct {
	// Contracts names the parts of the platform's rules that are in force.
	Contracts platform.Contracts `toml:"contracts"`
	// Host describes the host.
	Host HostSettings `toml:"host"`
	// Listen holds the addresses to listen on.
	Listen ListenSettings `toml:"listen"`
	// Store describes the platform's store.
	Store StoreSettings `toml:"store"`
	// Zones maps each availability zone to its region.
	Zones map[string]string `toml:"zones"`
	// Bounds are the users' limits and tolerances for the deployment.
	Bounds platform.Bounds `toml:"bounds"`
	// Placement says where objects are served.
	Placement PlacementSettings `toml:"placement"`
	// Directory says which hosts callers are directed to.
	Directory DirectorySettings `toml:"directory"`
	// Log describes the log.
	Log LogSettings `toml:"log"`
}

// PlacementSettings say where objects are served.
type PlacementSettings struct {
	// Mode says whether objects have fixed places: auto, always or never; empty is auto.
	Mode selector.Mode `toml:"mode"`
}

// HostSettings describe the host.
type HostSettings struct {
	// Name is unique among the hosts.
	Name string `toml:"name"`
	// Address is the host's IP address.
	Address string `toml:"address"`
	// Zone is the availability zone.
	Zone string `toml:"zone"`
	// Memory is the most memory that the process may use, in MiB; 0 means no limit.
	Memory int64 `toml:"memory"`
	// Processor is the part of a processor that the process may use; 0 means unknown.
	Processor float64 `toml:"processor"`
	// Link is the bandwidth of the host's link in Mbit/s; 0 means unknown.
	Link float64 `toml:"link"`
	// Files is the most file descriptors that the process may use. The limit on callers' connections
	// is derived from it and has a fixed minimum, which also applies if Files is 0.
	Files int `toml:"files"`
}

// ListenSettings hold the addresses to listen on: an IP address and port, or a port on the host's
// address.
type ListenSettings struct {
	// Callers is the IP address and port for callers' requests.
	Callers string `toml:"callers"`
	// Ready is the IP address and port for the platform's readiness checks.
	Ready string `toml:"ready"`
	// Directory is the IP address and port on which callers look up hosts to connect to.
	Directory string `toml:"directory"`
	// Peer is the port for datagrams and RPCs of other hosts.
	Peer int `toml:"peer"`
	// Metrics is the port for metrics; 0 disables them.
	Metrics int `toml:"metrics"`
}

// StoreSettings describe the platform's store.
type StoreSettings struct {
	// Address is the store's IP address and port.
	Address string `toml:"address"`
}

// LogSettings describe the log.
type LogSettings struct {
	// Level is the minimum level to log: debug, info, warn or error.
	Level string `toml:"level"`
}

// DirectorySettings say which hosts callers are directed to.
type DirectorySettings struct {
	// Spread says whether callers are spread over the hosts by their capacity: auto, always or never;
	// auto, and empty, is where objects have fixed places.
	Spread selector.Mode `toml:"spread"`
}

// LoadSettings reads and validates a settings file and ignores unknown keys; errors are of
// KindSettings.
func LoadSettings(path string) (Settings, error) {
	s, problems, err := CheckSettings(path)
	if err != nil {
		return s, err
	}
	var faults []string
	for _, p := range problems {
		if !p.Warning {
			faults = append(faults, p.String())
		}
	}
	if len(faults) > 0 {
		cause := errors.Errorf("%d invalid settings: %s", len(faults), strings.Join(faults, "; "))
		return s, &Error{Op: "check " + path, Kind: KindSettings, Err: cause}
	}
	return s, nil
}

// CheckSettings reads a settings file and returns all its problems; an error of KindSettings means
// that the file can't be read or decoded.
func CheckSettings(path string) (Settings, []Problem, error) {
	s := Settings{Log: LogSettings{Level: "info"}}
	data, err := os.ReadFile(path)
	if err != nil {
		return s, nil, &Error{Op: "read settings", Kind: KindSettings, Err: err}
	}
	if err := toml.Unmarshal(data, &s); err != nil {
		return s, nil, &Error{Op: "decode " + path, Kind: KindSettings, Err: withPosition(err)}
	}
	problems := append(s.problems(), unknownKeys(data)...)
	lines := keyLines(data)
	for i := range problems {
		problems[i].Line = lines[problems[i].Key]
	}
	return s, problems, nil
}

// withPosition adds line and column to a TOML decoding error.
func withPosition(err error) error {
	var e *toml.DecodeError
	if !errors.As(err, &e) {
		return err
	}
	line, column := e.Position()
	return errors.Errorf("line %d, column %d: %s", line, column, e.Error())
}

// problems returns the invalid settings.
func (s *Settings) problems() []Problem {
	var list []Problem
	report := func(valid bool, key string, found interface{}, allowed string) {
		if !valid {
			quoted := fmt.Sprintf("%q", fmt.Sprint(found))
			list = append(list, Problem{Key: key, Found: quoted, Allowed: allowed})
		}
	}
	report(s.Host.Name != "", "host.name", s.Host.Name, "a name")
	_, err := netip.ParseAddr(s.Host.Address)
	report(err == nil, "host.address", s.Host.Address, "an IP address")
	_, ok := s.Zones[s.Host.Zone]
	report(ok, "host.zone", s.Host.Zone, "a zone of [zones]")
	for _, a := range []struct{ key, value string }{
		{"listen.callers", s.Listen.Callers},
		{"listen.ready", s.Listen.Ready},
		{"listen.directory", s.Listen.Directory},
		{"store.address", s.Store.Address},
	} {
		_, err := netip.ParseAddrPort(a.value)
		report(err == nil, a.key, a.value, "an IP address and port")
	}
	report(s.Listen.Peer > 0 && s.Listen.Peer <= maxPort, "listen.peer", s.Listen.Peer,
		"a port from 1 to 65535")
	report(s.Listen.Metrics >= 0 && s.Listen.Metrics <= maxPort, "listen.metrics", s.Listen.Metrics,
		"a port from 1 to 65535, or 0")
	report(s.Host.Memory >= 0, "host.memory", s.Host.Memory, "0 or more MiB")
	report(s.Host.Processor >= 0, "host.processor", s.Host.Processor, "0 or more")
	report(s.Host.Link >= 0, "host.link", s.Host.Link, "0 or more Mbit/s")
	report(s.Host.Files >= 0, "host.files", s.Host.Files, "0 or more")
	report(s.Placement.Mode.Valid(), "placement.mode", s.Placement.Mode, "auto, always or never")
	report(s.Directory.Spread.Valid(), "directory.spread", s.Directory.Spread,
		"auto, always or never")
	_, err = log.ParseLevel(s.Log.Level)
	report(err == nil, "log.level", s.Log.Level, "debug, info, warn or error")
	return list
}
