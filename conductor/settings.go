package conductor

import (
	"fmt"
	"net/netip"
	"os"

	"github.com/apex/log"
	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"

	"github.com/fescuethread/fescuethread/platform"
)

// Settings are the settings of one process; deploy/settings.toml is the platform's template of the
// file.
type Settings struct {
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
	// Log describes the log.
	Log LogSettings `toml:"log"`
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

// LoadSettings reads and validates a settings file and ignores unknown keys; errors are of
// KindSettings.
func LoadSettings(path string) (Settings, error) {
	s := Settings{Log: LogSettings{Level: "info"}}
	data, err := os.ReadFile(path)
	if err != nil {
		return s, &Error{Op: "read settings", Kind: KindSettings, Err: err}
	}
	if err := toml.Unmarshal(data, &s); err != nil {
		return s, &Error{Op: "decode " + path, Kind: KindSettings, Err: withPosition(err)}
	}
	if err := s.validate(); err != nil {
		return s, &Error{Op: "check " + path, Kind: KindSettings, Err: err}
	}
	return s, nil
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

// validate returns one error that lists all invalid settings.
func (s *Settings) validate() error {
	var problems []string
	report := func(format string, args ...interface{}) {
		problems = append(problems, fmt.Sprintf(format, args...))
	}
	if s.Host.Name == "" {
		report("host.name is missing")
	}
	if _, err := netip.ParseAddr(s.Host.Address); err != nil {
		report("host.address %q is not an IP address", s.Host.Address)
	}
	if _, ok := s.Zones[s.Host.Zone]; !ok {
		report("host.zone %q is not listed in zones", s.Host.Zone)
	}
	for _, a := range []struct{ name, value string }{
		{"listen.callers", s.Listen.Callers},
		{"listen.ready", s.Listen.Ready},
		{"listen.directory", s.Listen.Directory},
		{"store.address", s.Store.Address},
	} {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			report("%s %q is not an IP address and port", a.name, a.value)
		}
	}
	if s.Listen.Peer <= 0 || s.Listen.Peer > 65535 {
		report("listen.peer %d is not a port", s.Listen.Peer)
	}
	if s.Listen.Metrics < 0 || s.Listen.Metrics > 65535 {
		report("listen.metrics %d is not a port", s.Listen.Metrics)
	}
	if s.Host.Memory < 0 || s.Host.Files < 0 {
		report("host.memory and host.files must not be negative")
	}
	if _, err := log.ParseLevel(s.Log.Level); err != nil {
		report("log.level %q is not one of debug, info, warn, error", s.Log.Level)
	}
	if len(problems) == 0 {
		return nil
	}
	return errors.Errorf("%d invalid settings: %v", len(problems), problems)
}
