package limiter

import (
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

const (
	// MaxSeats is the largest number of hosts that an account's home shares sit on.
	MaxSeats = 8

	// firstVersion is the version that no plan can have come before.
	firstVersion = 1
	// maxUnits bounds rates and bursts, so that sums of thousandths fit into 64 bits.
	maxUnits = 1 << 50
)

// Account is a customer's rate and burst, the cap of a link or the cap of a shift.
type Account struct {
	// Name identifies the account.
	Name string
	// Rate is in units a second.
	Rate int64
	// Burst is in units.
	Burst int64
}

// Plan is one version of the limits and of the hosts that share them.
type Plan struct {
	// Version rises with each plan; version 1 is the first that ever was.
	Version uint64
	// Hosts are the hosts of the inventory.
	Hosts []string
	// Former are hosts of earlier versions whose stop has not been proved.
	Former []string
	// Accounts are the limits.
	Accounts []Account
}

// Seats returns the hosts that hold an account's home shares, by rendezvous hashing.
func Seats(account string, hosts []string) []string {
	seats := append([]string(nil), hosts...)
	weights := make(map[string]uint64, len(seats))
	for _, h := range seats {
		weights[h] = xxhash.Sum64String(h + "\x00" + account)
	}
	sort.Slice(seats, func(i, j int) bool {
		a, b := weights[seats[i]], weights[seats[j]]
		return a > b || a == b && seats[i] < seats[j]
	})
	return seats[:min(len(seats), MaxSeats)]
}

// Home returns a host's home share of an account.
func (a Account) Home(host string, hosts []string) Share {
	seats := a.seats(hosts)
	for i, seat := range seats {
		if seat == host {
			return Share{
				Rate:  part(a.Rate*scale, len(seats), i),
				Burst: part(a.Burst, len(seats), i) * scale,
			}
		}
	}
	return Share{}
}

// seats leaves out hosts whose part of the burst would be under one unit, the least that is spent.
func (a Account) seats(hosts []string) []string {
	seats := Seats(a.Name, hosts)
	n := min(int64(len(seats)), max(1, a.Burst))
	return seats[:n]
}

// part returns the i-th of n parts of total; all parts together are exactly total.
func part(total int64, n, i int) int64 {
	size := total / int64(n)
	if int64(i) < total%int64(n) {
		size++
	}
	return size
}

func (p Plan) validate() error {
	if p.Version == 0 {
		return errors.New("the version is zero")
	}
	if len(p.Hosts) == 0 {
		return errors.New("there are no hosts")
	}
	if err := distinct(p.Hosts); err != nil {
		return errors.Wrap(err, "hosts")
	}
	names := make([]string, 0, len(p.Accounts))
	for _, a := range p.Accounts {
		if a.Rate < 0 || a.Rate > maxUnits || a.Burst < 0 || a.Burst > maxUnits {
			return errors.Errorf("account %q: the rate or burst is out of range", a.Name)
		}
		names = append(names, a.Name)
	}
	return errors.Wrap(distinct(names), "accounts")
}

func distinct(names []string) error {
	seen := make(map[string]bool, len(names))
	for _, name := range names {
		if name == "" {
			return errors.New("a name is empty")
		}
		if seen[name] {
			return errors.Errorf("%q occurs twice", name)
		}
		seen[name] = true
	}
	return nil
}

// others returns the hosts that may run under the plan or an older one, without the given host.
func (p Plan) others(host string) []string {
	var names []string
	for _, h := range p.Hosts {
		if h != host {
			names = append(names, h)
		}
	}
	for _, h := range p.Former {
		if h != host {
			names = append(names, h)
		}
	}
	return names
}
