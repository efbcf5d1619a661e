package limiter

import "github.com/fescuethread/fescuethread/timer"

// maxPlans bounds the plans that are kept while a host does not report.
const maxPlans = 16

// reporter is what is known of another host's plans.
type reporter struct {
	incarnation uint64
	// held are the versions that its newest incarnation was seen to have in force.
	held map[uint64]bool
	// met tells that it knows this incarnation.
	met bool
	// stopped tells that all its incarnations so far have ended, lapsed that their loans have too.
	stopped bool
	lapsed  timer.Instant
}

// planned is a plan with this host's home shares under it.
type planned struct {
	version uint64
	homes   map[string]Share
	others  []string
	// merged tells that the plan is the minimum of several and cannot be settled itself.
	merged bool
}

// settlement decides which plans bound this host's home shares. A host keeps to the least of all
// plans from the newest one that every host is known to have had in force.
type settlement struct {
	host string
	// plans are ascending; the first is the settled one once settled is not zero.
	plans   []planned
	settled uint64
	// merged is the newest version that was merged with older ones.
	merged uint64
	// held is the newest version that this host's shares and loans fit into.
	held uint64
	// confirmed tells that no plan above ours can be settled without this incarnation.
	confirmed bool
	// platform is a version that the platform gave after this process's start.
	platform  uint64
	reporters map[string]*reporter
}

func newSettlement(host string) *settlement {
	return &settlement{host: host, reporters: make(map[string]*reporter)}
}

func (s *settlement) newest() uint64 {
	if len(s.plans) == 0 {
		return 0
	}
	return s.plans[len(s.plans)-1].version
}

// lists reports whether the newest plan names another host.
func (s *settlement) lists(host string) bool {
	if len(s.plans) == 0 {
		return false
	}
	for _, other := range s.plans[len(s.plans)-1].others {
		if other == host {
			return true
		}
	}
	return false
}

// pending reports whether the home shares may still change without a new plan.
func (s *settlement) pending() bool {
	return !s.confirmed || s.held < s.newest() || s.settled < s.newest()
}

// add appends a newer plan.
func (s *settlement) add(plan Plan) {
	p := planned{
		version: plan.Version,
		homes:   make(map[string]Share, len(plan.Accounts)),
		others:  plan.others(s.host),
	}
	for _, a := range plan.Accounts {
		p.homes[a.Name] = a.Home(s.host, plan.Hosts)
	}
	s.plans = append(s.plans, p)
	if len(s.plans) > maxPlans {
		s.merge()
	}
}

// merge joins the two oldest plans into their minimum, which the newer one's settlement replaces.
func (s *settlement) merge() {
	older, newer := s.plans[0], s.plans[1]
	merged := planned{
		version: newer.version,
		homes:   make(map[string]Share, len(newer.homes)),
		others:  append(append([]string(nil), older.others...), newer.others...),
		merged:  true,
	}
	for name, home := range newer.homes {
		merged.homes[name] = home.Min(older.homes[name])
	}
	s.plans = append([]planned{merged}, s.plans[2:]...)
	s.merged = newer.version
	s.forget(newer.version + 1)
}

func (s *settlement) reporter(host string) *reporter {
	r, ok := s.reporters[host]
	if !ok {
		r = &reporter{held: make(map[uint64]bool)}
		s.reporters[host] = r
	}
	return r
}

// acknowledge notes the version that a host has in force.
func (s *settlement) acknowledge(host string, incarnation, version uint64) {
	r := s.reporter(host)
	if incarnation < r.incarnation || host == s.host {
		return
	}
	if incarnation > r.incarnation {
		*r = reporter{incarnation: incarnation, held: make(map[uint64]bool)}
	}
	if version >= s.settled && version > s.merged {
		r.held[version] = true
	}
}

// meet notes that a host knows this incarnation and had the version in force then.
func (s *settlement) meet(host string, version uint64) {
	if version <= s.newest() {
		s.reporter(host).met = true
	}
}

// stop notes that a host's processes have ended and when their loans will have lapsed.
func (s *settlement) stop(host string, lapsed timer.Instant) {
	r := s.reporter(host)
	if r.stopped {
		return
	}
	r.stopped = true
	r.lapsed = lapsed
}

// confirm notes that the platform gave the version after this process's start.
func (s *settlement) confirm(version uint64) {
	s.platform = max(s.platform, version)
}

// assert notes that a peer knows a version to be settled.
func (s *settlement) assert(version uint64) {
	if version <= s.settled || version > s.held {
		return
	}
	for _, p := range s.plans {
		if p.version == version && !p.merged {
			s.raise(version)
			return
		}
	}
}

// advance settles the newest plan that it can and reports whether anything changed.
func (s *settlement) advance(now timer.Instant, fits bool) bool {
	before := *s
	if !s.confirmed && s.current() {
		s.begin()
	}
	if s.confirmed && fits {
		s.held = s.newest()
	}
	for _, p := range s.plans {
		if s.agreed(now, p) {
			s.raise(p.version)
		}
	}
	return s.confirmed != before.confirmed || s.held != before.held || s.settled != before.settled
}

// begin forgets the plans before the newest one: a former process of this host may have reported
// one between them that this process skipped.
func (s *settlement) begin() {
	s.confirmed = true
	s.plans = s.plans[len(s.plans)-1:]
}

// current reports whether no plan above ours can be in force anywhere without our agreement.
func (s *settlement) current() bool {
	if len(s.plans) == 0 {
		return false
	}
	if s.platform != 0 && s.newest() >= s.platform {
		return true
	}
	return s.every(func(r *reporter) bool { return r.met || r.stopped })
}

func (s *settlement) agreed(now timer.Instant, p planned) bool {
	if p.merged || p.version > s.held || p.version <= s.settled {
		return false
	}
	if p.version == firstVersion {
		return true
	}
	return s.every(func(r *reporter) bool {
		return r.held[p.version] || r.stopped && !now.Before(r.lapsed)
	})
}

// every reports whether all other hosts of the plans satisfy the condition.
func (s *settlement) every(ok func(*reporter) bool) bool {
	for _, p := range s.plans {
		for _, host := range p.others {
			if !ok(s.reporter(host)) {
				return false
			}
		}
	}
	return len(s.plans) > 0
}

// raise drops the plans before the version, which bound no host any more.
func (s *settlement) raise(version uint64) {
	s.settled = version
	var kept []planned
	for _, p := range s.plans {
		if p.version >= version && !p.merged {
			kept = append(kept, p)
		}
	}
	s.plans = kept
	s.forget(version)
}

// forget drops reports of versions that cannot be settled any more.
func (s *settlement) forget(below uint64) {
	for _, r := range s.reporters {
		for v := range r.held {
			if v < below {
				delete(r.held, v)
			}
		}
	}
}

// home is the home share of an account that is safe under all plans that may be in force.
func (s *settlement) home(name string) Share {
	if !s.confirmed || s.settled == 0 {
		return Share{}
	}
	home := s.plans[0].homes[name]
	for _, p := range s.plans[1:] {
		home = home.Min(p.homes[name])
	}
	return home
}
