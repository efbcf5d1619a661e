package loader

import (
	"fmt"
	"net/netip"
	"time"
)

type checker struct {
	faults []string
}

func check(s Settings) []string {
	c := &checker{}
	c.host(s)
	c.platform(s.Platform)
	c.peers(s)
	c.callers(s.Callers)
	c.keys(s)
	c.work(s.Work)
	c.duration("drain.limit", s.Drain.Limit, time.Second, time.Hour)
	c.choice("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.choice("log.format", s.Log.Format, "json", "text")
	return c.faults
}

func (c *checker) fault(field, format string, args ...interface{}) {
	c.faults = append(c.faults, field+": "+fmt.Sprintf(format, args...))
}

func (c *checker) host(s Settings) {
	c.name("host.name", s.Host.Name)
	c.name("host.zone", s.Host.Zone)
	c.address("listen.caller", s.Listen.Caller)
	c.address("listen.peer", s.Listen.Peer)
	c.address("listen.admin", s.Listen.Admin)
	c.distinct("listen.caller", s.Listen.Caller, "listen.peer", s.Listen.Peer)
	c.distinct("listen.caller", s.Listen.Caller, "listen.admin", s.Listen.Admin)
	c.distinct("listen.peer", s.Listen.Peer, "listen.admin", s.Listen.Admin)
}

func (c *checker) platform(p Platform) {
	c.address("platform.address", p.Address)
	c.duration("platform.timeout", p.Timeout, 10*time.Millisecond, time.Minute)
	c.duration("platform.watch", p.Watch, 100*time.Millisecond, 10*time.Minute)
}

func (c *checker) peers(s Settings) {
	p := s.Peers
	for i, seed := range p.Seeds {
		c.address(fmt.Sprintf("peers.seeds[%d]", i), seed)
	}
	c.duration("peers.timeout", p.Timeout, 10*time.Millisecond, time.Minute)
	c.duration("peers.beat", p.Beat, 100*time.Millisecond, 2*time.Second)
	largest := max(s.Callers.Body, s.Callers.Answer)
	if p.Message < largest+s.Callers.Header {
		c.fault("peers.message", "%d bytes clash with callers.body, callers.answer and "+
			"callers.header; it must be at least %d bytes", p.Message, largest+s.Callers.Header)
	}
}

func (c *checker) callers(v Callers) {
	c.size("callers.body", v.Body, kibibyte, 64*mebibyte)
	c.size("callers.answer", v.Answer, kibibyte, 64*mebibyte)
	c.size("callers.header", v.Header, kibibyte, mebibyte)
	c.count("callers.connections", v.Connections, 1, 1000000)
	c.duration("callers.idle", v.Idle, time.Second, time.Hour)
	c.duration("callers.timeout", v.Timeout, 10*time.Millisecond, 10*time.Minute)
	c.duration("callers.lifetime", v.Lifetime, time.Second, 10*time.Minute)
}

func (c *checker) keys(s Settings) {
	k := s.Keys
	c.choice("keys.stale", k.Stale, StaleRefuse, StaleServe)
	c.duration("keys.bound", k.Bound, time.Second, time.Hour)
	// The age of a contact reaches twice the wait of a watch and a timeout while all is well. A
	// contact counts as lost at half of the bound, so a healthy one has to stay below that half.
	least := 2 * (2*s.Platform.Watch + s.Platform.Timeout)
	if k.Bound < least {
		c.fault("keys.bound", "%s clashes with platform.watch and platform.timeout; it must be "+
			"at least %s", k.Bound.Std(), least.Std())
	}
}

func (c *checker) work(w Work) {
	c.count("work.identities", w.Identities, 1, 10000000)
	c.size("work.answers", w.Answers, kibibyte, gibibyte)
	c.duration("work.lifetime", w.Lifetime, time.Second, time.Hour)
}

func (c *checker) name(field, value string) {
	if value == "" {
		c.fault(field, "is missing; state the name that the inventory gives")
	}
}

func (c *checker) address(field, value string) {
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		c.fault(field, "%q is no IP number with a port; write it like \"10.0.0.1:7100\"", value)
		return
	}
	if a.Port() == 0 {
		c.fault(field, "%q has port 0; state the port", value)
	}
}

func (c *checker) distinct(a, valueA, b, valueB string) {
	if valueA != "" && valueA == valueB {
		c.fault(a, "clashes with %s: both are %q; give each its own port", b, valueA)
	}
}

func (c *checker) duration(field string, d Duration, least, most time.Duration) {
	if d.Std() < least || d.Std() > most {
		c.fault(field, "%s is out of range; it must lie between %s and %s", d.Std(), least, most)
	}
}

func (c *checker) size(field string, s Size, least, most Size) {
	if s < least || s > most {
		c.fault(field, "%d bytes are out of range; it must lie between %d and %d", s, least, most)
	}
}

func (c *checker) count(field string, n, least, most int) {
	if n < least || n > most {
		c.fault(field, "%d is out of range; it must lie between %d and %d", n, least, most)
	}
}

func (c *checker) choice(field, value string, choices ...string) {
	for _, choice := range choices {
		if value == choice {
			return
		}
	}
	c.fault(field, "%q is not one of %q", value, choices)
}
