package rationer

// Config describes a use of descriptors.
type Config struct {
	// Name is the name of the use in logs and metrics.
	Name string
	// Reserve is the number of descriptors that no other use may take.
	Reserve int
	// Limit is the maximum number of descriptors; 0 means no limit of its own.
	Limit int
	// Spare is the number of free descriptors below which the use is crowded.
	Spare int
}

// Use is one use of descriptors, such as the connections of a listener; nil is a use without
// limits that isn't counted.
type Use struct {
	cfg      Config
	rationer *Rationer
	// claims are the uses whose idle connections give way to this use, in their order.
	claims []*Use
	// yield closes an idle connection and reports whether it did; nil if none may be closed.
	yield func() bool

	// The rationer's mutex guards the usage.
	usage Usage
}

// OnYield sets the function that closes an idle connection of the use and releases its descriptor;
// it returns false if there is none. It must be set before the first call of Take.
func (u *Use) OnYield(yield func() bool) {
	u.yield = yield
}

// Claim makes idle connections of the listed uses give way to this one, those of the first use
// first. It must be called before the first call of Take.
func (u *Use) Claim(uses ...*Use) {
	u.claims = append(u.claims, uses...)
}

// Take takes a descriptor. If there is none, idle connections are closed; it returns false if no
// idle connection gives way either.
func (u *Use) Take() bool {
	if u == nil {
		return true
	}
	for range maxYields {
		if u.tryTake() {
			return true
		}
		if !u.makeRoom() {
			break
		}
	}
	return u.tryTake() || u.refuse()
}

// Release returns a descriptor that Take has taken.
func (u *Use) Release() {
	if u == nil {
		return
	}
	r := u.rationer
	r.mu.Lock()
	defer r.mu.Unlock()
	u.usage.Used--
	r.used--
	if u.usage.Used < u.cfg.Reserve {
		r.reserved++
	}
}

// Crowded reports whether the use should end connections that it could keep, since few descriptors
// are free.
func (u *Use) Crowded() bool {
	if u == nil || u.rationer.total == 0 {
		return false
	}
	r := u.rationer
	r.mu.Lock()
	defer r.mu.Unlock()
	return u.usage.Used > u.cfg.Reserve && r.free() < u.cfg.Spare
}

func (u *Use) tryTake() bool {
	r := u.rationer
	r.mu.Lock()
	defer r.mu.Unlock()
	within := u.usage.Used < u.cfg.Reserve
	if u.full() || r.total > 0 && !within && r.free() <= 0 {
		return false
	}
	u.usage.Used++
	u.usage.Peak = max(u.usage.Peak, u.usage.Used)
	r.used++
	if within {
		r.reserved--
	}
	return true
}

// full reports whether the use has reached its own limit. The caller holds the rationer's mutex.
func (u *Use) full() bool {
	return u.cfg.Limit > 0 && u.usage.Used >= u.cfg.Limit
}

// makeRoom closes an idle connection for this use.
func (u *Use) makeRoom() bool {
	for _, other := range u.claims {
		if u.gainsFrom(other) && other.giveWay() {
			return true
		}
	}
	return false
}

// gainsFrom reports whether a descriptor that other releases is one for this use: at its own limit
// only its own are, and what others have of their reserve stays theirs.
func (u *Use) gainsFrom(other *Use) bool {
	if other == u {
		return true
	}
	u.rationer.mu.Lock()
	defer u.rationer.mu.Unlock()
	return !u.full() && other.usage.Used > other.cfg.Reserve
}

// giveWay closes an idle connection of the use.
func (u *Use) giveWay() bool {
	if u.yield == nil || !u.yield() {
		return false
	}
	u.rationer.mu.Lock()
	defer u.rationer.mu.Unlock()
	u.usage.Yielded++
	return true
}

// refuse counts a refusal and returns false.
func (u *Use) refuse() bool {
	u.rationer.mu.Lock()
	defer u.rationer.mu.Unlock()
	u.usage.Refused++
	return false
}
