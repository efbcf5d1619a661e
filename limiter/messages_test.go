package limiter_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fescuethread/fescuethread/limiter"
	"github.com/fescuethread/fescuethread/timer"
)

// mesh is a fleet of limiters whose messages take no time.
type mesh struct {
	tb       testing.TB
	now      timer.Instant
	names    []string
	limiters map[string]*limiter.Limiter
	messages int
	bytes    int
}

func newMesh(tb testing.TB, hosts, accounts int) *mesh {
	m := &mesh{tb: tb, now: timer.Instant(time.Hour), limiters: make(map[string]*limiter.Limiter)}
	for i := range hosts {
		m.names = append(m.names, fmt.Sprintf("h%04d", i))
	}
	for _, name := range m.names {
		m.start(name, 1)
		m.configure(name, accounts, 1)
	}
	return m
}

func (m *mesh) start(name string, incarnation uint64) {
	l, err := limiter.New(limiter.Config{
		Host: name, Incarnation: incarnation, Exclusive: true,
		Now: func() timer.Instant { return m.now },
	})
	if err != nil {
		m.tb.Fatal(err)
	}
	m.limiters[name] = l
}

func (m *mesh) configure(name string, accounts int, version uint64) {
	plan := limiter.Plan{Version: version, Hosts: m.names}
	for i := range accounts {
		plan.Accounts = append(plan.Accounts, limiter.Account{
			Name: fmt.Sprintf("a%02d", i), Rate: 1000, Burst: 1000,
		})
	}
	if err := m.limiters[name].Configure(plan); err != nil {
		m.tb.Fatal(err)
	}
}

// tick lets every host that is not left out send its requests; those to a lost host fail.
func (m *mesh) tick(lost string) {
	m.now = m.now.Add(limiter.DefaultTick)
	for _, name := range m.names {
		if name == lost {
			continue
		}
		for _, ask := range m.limiters[name].Requests() {
			m.messages++
			m.bytes += proto.Size(ask.Request)
			if ask.Peer == lost {
				continue
			}
			reply, err := m.limiters[ask.Peer].Lend(ask.Request)
			if err != nil {
				m.tb.Fatal(err)
			}
			m.bytes += proto.Size(reply)
			if err := m.limiters[name].Credit(ask.Peer, reply); err != nil {
				m.tb.Fatal(err)
			}
		}
	}
}

// homed reports whether a host has home shares of its own or needs none.
func (m *mesh) homed(name string) bool {
	for _, a := range m.limiters[name].Snapshot().Accounts {
		for _, seat := range a.Seats {
			if seat == name && a.Home.IsZero() {
				return false
			}
		}
	}
	return true
}

// until returns the seconds until a host has its home shares; -1 is never.
func (m *mesh) until(name, lost string) float64 {
	const most = 20 * time.Second
	for start := m.now; m.now.Sub(start) < most; {
		m.tick(lost)
		if m.homed(name) {
			return m.now.Sub(start).Seconds()
		}
	}
	return -1
}

// BenchmarkMessages measures the messages of a fleet at its start, at rest, with each account in use
// at one host, and of one host that starts again.
func BenchmarkMessages(b *testing.B) {
	const accounts, seconds = 16, 10
	for _, hosts := range []int{8, 32, 64, 96} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			for b.Loop() {
				m := newMesh(b, hosts, accounts)
				b.ReportMetric(m.until(m.names[0], ""), "start-s")
				b.ReportMetric(float64(m.messages)/float64(hosts), "start-messages/host")
				m.rest(seconds)
				b.ReportMetric(float64(m.messages)/float64(hosts*seconds), "rest-messages/host/s")
				m.use(accounts, seconds)
				b.ReportMetric(float64(m.messages)/float64(accounts*seconds), "messages/account/s")
				b.ReportMetric(float64(m.bytes)/float64(accounts*seconds), "B/account/s")
				m.start(m.names[1], 2)
				m.configure(m.names[1], accounts, 1)
				b.ReportMetric(m.until(m.names[1], ""), "restart-s")
			}
		})
	}
}

func (m *mesh) rest(seconds int) {
	m.messages, m.bytes = 0, 0
	for range seconds * int(time.Second/limiter.DefaultTick) {
		m.tick("")
	}
}

// use spends 0.9 of each account's rate at one host.
func (m *mesh) use(accounts, seconds int) {
	m.messages, m.bytes = 0, 0
	for range seconds * int(time.Second/limiter.DefaultTick) {
		for i := range accounts {
			name := m.names[i*len(m.names)/accounts]
			for range 90 {
				m.limiters[name].Admit(fmt.Sprintf("a%02d", i), 1)
			}
		}
		m.tick("")
	}
}

// BenchmarkRequests measures one host's tick at rest with 16 accounts.
func BenchmarkRequests(b *testing.B) {
	for _, hosts := range []int{8, 16, 32, 64} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			m := newMesh(b, hosts, 16)
			m.until(m.names[0], "")
			l := m.limiters[m.names[0]]
			for b.Loop() {
				m.now = m.now.Add(limiter.DefaultTick)
				l.Requests()
			}
		})
	}
}
