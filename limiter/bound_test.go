package limiter

import (
	"math/rand"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// machine draws what happens to a fleet; the world checks the bound at each admission.
type machine struct {
	*world
	hosts []string
}

func drawAccount(t *rapid.T, name string) Account {
	return Account{
		Name:  name,
		Rate:  rapid.Int64Range(1, 40).Draw(t, "rate"),
		Burst: rapid.Int64Range(1, 30).Draw(t, "burst"),
	}
}

func drawDrift(t *rapid.T) int64 {
	return rapid.Int64Range(-testDriftPPM, testDriftPPM).Draw(t, "drift")
}

func (m *machine) drawPlan(t *rapid.T) Plan {
	n := rapid.IntRange(2, len(m.hosts)).Draw(t, "hosts")
	hosts := rapid.Permutation(m.hosts).Draw(t, "order")[:n]
	var former []string
	for _, h := range m.hosts {
		former = append(former, h)
		for _, in := range hosts {
			if in == h {
				former = former[:len(former)-1]
				break
			}
		}
	}
	plan := Plan{Hosts: hosts, Former: former, Accounts: []Account{drawAccount(t, "a")}}
	if rapid.Bool().Draw(t, "second account") {
		plan.Accounts = append(plan.Accounts, drawAccount(t, "b"))
	}
	return plan
}

func (m *machine) drawProc(t *rapid.T) *proc {
	living := alive(m.procs)
	if len(living) == 0 {
		t.Skip("no process runs")
	}
	return rapid.SampledFrom(living).Draw(t, "process")
}

func (m *machine) wait(t *rapid.T) {
	m.advance(time.Duration(rapid.Int64Range(1, 2500).Draw(t, "ms")) * time.Millisecond)
}

func (m *machine) drawAdmit(t *rapid.T) {
	p := m.drawProc(t)
	name := rapid.SampledFrom([]string{"a", "a", "b"}).Draw(t, "account")
	units := rapid.Int64Range(1, 4).Draw(t, "units")
	for range rapid.IntRange(1, 30).Draw(t, "count") {
		if !m.admit(p, name, units).Admitted {
			return
		}
	}
}

// drawPausedAdmit stops a process at one of its clock readings while the others go on.
func (m *machine) drawPausedAdmit(t *rapid.T) {
	p := m.drawProc(t)
	p.after = 0
	p.pause = func() {
		m.paused = p
		var others []*proc
		for _, q := range alive(m.procs) {
			if q != p {
				others = append(others, q)
			}
		}
		for range rapid.IntRange(1, 4).Draw(t, "steps") {
			m.wait(t)
			for _, q := range others {
				m.tick(q)
			}
			m.flushExcept(p)
			for _, q := range others {
				for range 20 {
					m.admit(q, "a", 1)
				}
			}
		}
	}
	m.admit(p, "a", 1)
	p.pause = nil
	m.paused = nil
}

// flushExcept delivers what is under way but for a paused process.
func (w *world) flushExcept(paused *proc) {
	var kept []*message
	for len(w.messages) > 0 {
		m := w.messages[0]
		w.messages = w.messages[1:]
		for _, p := range w.receivers(m) {
			if p == paused {
				kept = append(kept, m)
				continue
			}
			w.deliver(m, p)
		}
	}
	w.messages = kept
}

func (m *machine) drawTick(t *rapid.T) {
	m.tick(m.drawProc(t))
}

func (m *machine) drawGossip(t *rapid.T) {
	m.gossip(m.drawProc(t), rapid.SampledFrom(m.hosts).Draw(t, "to"))
}

// drawDeliver takes any message; it may stay, to be delivered again later.
func (m *machine) drawDeliver(t *rapid.T) {
	if len(m.messages) == 0 {
		t.Skip("nothing is under way")
	}
	i := rapid.IntRange(0, len(m.messages)-1).Draw(t, "message")
	msg := m.messages[i]
	if !rapid.Bool().Draw(t, "again") {
		m.messages = append(m.messages[:i], m.messages[i+1:]...)
	}
	for _, p := range m.receivers(msg) {
		m.deliver(msg, p)
	}
}

func (m *machine) drawLose(t *rapid.T) {
	if len(m.messages) == 0 {
		t.Skip("nothing is under way")
	}
	m.messages = m.messages[rapid.IntRange(1, len(m.messages)).Draw(t, "lost"):]
}

// drawSurge sends more than is admitted to some hosts, while messages pass with drawn delays.
func (m *machine) drawSurge(t *rapid.T) {
	hot := rapid.SliceOfNDistinct(rapid.SampledFrom(m.hosts), 1, 3, rapid.ID).Draw(t, "hot")
	name := rapid.SampledFrom([]string{"a", "a", "b"}).Draw(t, "account")
	r := rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))
	for range rapid.IntRange(1, 30).Draw(t, "rounds") {
		for _, p := range alive(m.procs) {
			if slices.Contains(hot, p.host) {
				m.drain(p, name)
			}
			m.tick(p)
		}
		m.disturb(r)
		m.disturb(r)
		m.advance(DefaultTick)
	}
}

func (m *machine) drain(p *proc, name string) {
	for range 30 {
		if !m.admit(p, name, 1).Admitted {
			return
		}
	}
}

// drawRecovery ends what runs unseen, starts what is missing and gives everyone the newest plan.
func (m *machine) drawRecovery(t *rapid.T) {
	running := make(map[string]bool)
	for i := len(m.procs) - 1; i >= 0; i-- {
		p := m.procs[i]
		if !p.dead && running[p.host] {
			m.kill(p)
		}
		running[p.host] = running[p.host] || !p.dead
	}
	for _, h := range m.hosts {
		if !running[h] {
			m.start(h, drawDrift(t), true)
		}
	}
	for _, p := range alive(m.procs) {
		p.limiter.Stopped(p.host)
		m.learn(p)
	}
	m.settleDown(time.Duration(rapid.Int64Range(1, 80).Draw(t, "ticks")) * DefaultTick)
}

func (m *machine) drawPublish(t *rapid.T) {
	m.publish(m.drawPlan(t))
}

func (m *machine) drawLearn(t *rapid.T) {
	m.learn(m.drawProc(t))
}

func (m *machine) drawCopy(t *rapid.T) {
	m.copyPlan(m.drawProc(t), m.drawProc(t))
}

// drawRestart starts a host's next process; the older one has died or runs on unseen.
func (m *machine) drawRestart(t *rapid.T) {
	host := rapid.SampledFrom(m.hosts).Draw(t, "host")
	exclusive := rapid.Bool().Draw(t, "exclusive")
	for _, p := range alive(m.procs) {
		if p.host == host && exclusive {
			m.kill(p)
		}
	}
	m.start(host, drawDrift(t), exclusive)
}

func (m *machine) drawKill(t *rapid.T) {
	m.kill(m.drawProc(t))
}

// drawProof tells a process of a host none of whose processes runs, or of its own earlier ones.
func (m *machine) drawProof(t *rapid.T) {
	p := m.drawProc(t)
	host := rapid.SampledFrom(m.hosts).Draw(t, "stopped")
	for _, q := range alive(m.procs) {
		if q.host == host && q != p {
			t.Skip("it runs")
		}
	}
	p.limiter.Stopped(host)
}

func newMachine(t *rapid.T, hosts int) *machine {
	m := &machine{world: newWorld(t), hosts: names(hosts)}
	m.publish(Plan{Hosts: m.hosts, Accounts: []Account{drawAccount(t, "a"), drawAccount(t, "b")}})
	for _, h := range m.hosts {
		m.learn(m.start(h, drawDrift(t), true))
	}
	m.settleDown(4 * time.Second)
	return m
}

func TestBoundHoldsInEveryWindow(t *testing.T) {
	admitted := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t, 4)
		t.Repeat(map[string]func(*rapid.T){
			"wait": m.wait, "admit": m.drawAdmit, "admit more": m.drawAdmit, "paused": m.drawPausedAdmit,
			"tick": m.drawTick, "gossip": m.drawGossip, "deliver": m.drawDeliver, "lose": m.drawLose,
			"surge": m.drawSurge, "surge more": m.drawSurge, "surge again": m.drawSurge,
			"recovery": m.drawRecovery, "recovery more": m.drawRecovery, "publish": m.drawPublish,
			"learn": m.drawLearn, "copy": m.drawCopy, "restart": m.drawRestart, "kill": m.drawKill,
			"proof": m.drawProof,
		})
		admitted += m.admitted
	})
	t.Logf("%d admissions checked", admitted)
}

func TestSharesStayWithinPlansWhileHostsChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t, 3)
		t.Repeat(map[string]func(*rapid.T){
			"wait": m.wait, "tick": m.drawTick, "gossip": m.drawGossip, "gossip more": m.drawGossip,
			"deliver": m.drawDeliver, "deliver more": m.drawDeliver, "recovery": m.drawRecovery,
			"publish": m.drawPublish, "learn": m.drawLearn, "learn more": m.drawLearn,
			"copy": m.drawCopy, "copy more": m.drawCopy, "restart": m.drawRestart, "kill": m.drawKill,
			"proof": m.drawProof, "surge": m.drawSurge,
		})
	})
}
