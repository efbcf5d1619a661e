package limiter

import "github.com/fescuethread/fescuethread/timer"

// Snapshot is what a limiter held at one instant.
type Snapshot struct {
	// Version is the newest plan that the host has in force.
	Version uint64
	// Newest is the newest plan that the host knows.
	Newest uint64
	// Settled is the newest plan that every host is known to have had in force.
	Settled uint64
	// Usable tells that the home shares are free of loans of the host's earlier processes.
	Usable bool
	// Accounts are the host's parts of the accounts, sorted by name.
	Accounts []AccountSnapshot
}

// AccountSnapshot is a host's part of one account.
type AccountSnapshot struct {
	// Name identifies the account.
	Name string
	// Home is the home share.
	Home Share
	// Lent is what of it is lent to others.
	Lent Share
	// Held is what is held of others' home shares.
	Held Share
	// Tokens is what can be spent now, in thousandths of a unit.
	Tokens int64
	// Demand is in thousandths of a unit a second.
	Demand int64
	// Seats are the hosts that hold the account's home shares.
	Seats []string
}

// Snapshot returns the current shares.
func (l *Limiter) Snapshot() Snapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Now()
	l.rehome(now)
	s := Snapshot{
		Version: l.settlement.held,
		Newest:  l.settlement.newest(),
		Settled: l.settlement.settled,
		Usable:  l.open,
	}
	for _, name := range l.names() {
		s.Accounts = append(s.Accounts, l.accounts[name].snapshot(now))
	}
	return s
}

func (a *account) snapshot(now timer.Instant) AccountSnapshot {
	a.settle(now)
	return AccountSnapshot{
		Name:   a.name,
		Home:   a.home,
		Lent:   a.lentOut(),
		Held:   a.heldIn(),
		Tokens: a.bucket.tokens,
		Demand: int64(a.meter.rate),
		Seats:  append([]string(nil), a.seats...),
	}
}
