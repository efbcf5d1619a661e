package limiter

import (
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
	p.after = rapid.IntRange(0, 2).Draw(t, "reading")
	p.pause = func() {
		living := m.procs
		var others []*proc
		for _, q := range alive(living) {
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

func (m *machine) drawRounds(t *rapid.T) {
	for range rapid.IntRange(1, 40).Draw(t, "rounds") {
		m.round()
		m.advance(DefaultTick)
	}
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
	m.start(host, rapid.Int64Range(-500, 500).Draw(t, "drift"), exclusive)
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

func TestBoundHoldsInEveryWindow(t *testing.T) {
	admitted := 0
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{world: newWorld(t), hosts: names(4)}
		m.publish(Plan{Hosts: m.hosts, Accounts: []Account{drawAccount(t, "a"), drawAccount(t, "b")}})
		for _, h := range m.hosts {
			m.learn(m.start(h, rapid.Int64Range(-500, 500).Draw(t, "drift"), true))
		}
		m.settleDown(4 * time.Second)
		t.Repeat(map[string]func(*rapid.T){
			"wait": m.wait, "admit": m.drawAdmit, "admit more": m.drawAdmit, "paused": m.drawPausedAdmit,
			"tick": m.drawTick, "gossip": m.drawGossip, "deliver": m.drawDeliver, "lose": m.drawLose,
			"rounds": m.drawRounds, "rounds more": m.drawRounds, "publish": m.drawPublish, "learn": m.drawLearn,
			"copy": m.drawCopy, "restart": m.drawRestart, "kill": m.drawKill, "proof": m.drawProof,
		})
		admitted += m.admitted
	})
	t.Logf("%d admissions checked", admitted)
}
