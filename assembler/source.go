package assembler

import (
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/fescuethread/fescuethread/detector"
	"github.com/fescuethread/fescuethread/drainer"
	"github.com/fescuethread/fescuethread/limiter"
	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/reporter"
	"github.com/fescuethread/fescuethread/router"
	"github.com/fescuethread/fescuethread/timer"
)

// milliUnit is the part of a unit that the limiter counts in.
const milliUnit = 1000

// Ready returns an empty string when the host can serve, and otherwise the reason.
func (h *Host) Ready() string {
	s := h.enforcer.Snapshot()
	if s == nil {
		return "no configuration"
	}
	if _, ok := s.Inventory.Host(h.settings.Host.Name); !ok {
		return "the inventory does not name this host"
	}
	if !h.joined.Load() {
		return "joining"
	}
	if phase := drainer.Phase(h.phase.Load()); phase != drainer.PhaseServing {
		return phase.String()
	}
	return ""
}

// Status returns the host's state.
func (h *Host) Status() reporter.Status {
	now := timer.Now()
	s := reporter.Status{
		Host:        h.settings.Host.Name,
		Zone:        h.settings.Host.Zone,
		Incarnation: h.incarnation,
		Phase:       drainer.Phase(h.phase.Load()).String(),
		Contact:     toMillis(h.contactAge(now)),
		Freshness:   string(h.keys.judge(now).Freshness),
		Documents:   toDocuments(h.enforcer.Versions()),
		Operations:  h.registry.Stats().Records,
		Connections: h.connections(),
	}
	for _, m := range h.detector.Members(now) {
		s.Members = append(s.Members, reporter.Member{
			Host:        m.Host.Name,
			Zone:        m.Host.Zone,
			State:       m.State.String(),
			Incarnation: m.Incarnation,
			Age:         toMillis(m.Age),
			Documents:   toDocuments(m.Documents),
		})
	}
	for _, l := range h.loads() {
		s.Loads = append(s.Loads, reporter.Load{
			Service: l.GetAz() + "/" + l.GetService(),
			Slots:   int(l.GetSlots()),
			Ready:   int(l.GetReady()),
			Busy:    int(l.GetBusy()),
			Queued:  int(l.GetQueued()),
		})
	}
	for _, a := range h.limiter.Snapshot().Accounts {
		s.Accounts = append(s.Accounts, toAccount(a))
	}
	return s
}

// counter is a service that counts its connections.
type counter interface {
	Connections() int
}

// connections finds the callers' service by its name.
func (h *Host) connections() int {
	s, err := h.kernel.Find(serviceCallers)
	if err != nil {
		return 0
	}
	c, ok := s.(counter)
	if !ok {
		return 0
	}
	return c.Connections()
}

func toAccount(a limiter.AccountSnapshot) reporter.Account {
	rate := a.Home.Rate - a.Lent.Rate + a.Held.Rate
	burst := a.Home.Burst - a.Lent.Burst + a.Held.Burst
	return reporter.Account{
		Name:   a.Name,
		Rate:   float64(rate) / milliUnit,
		Burst:  float64(burst) / milliUnit,
		Tokens: float64(a.Tokens) / milliUnit,
	}
}

func toDocuments(in []*messenger.DocumentVersion) []reporter.Document {
	out := make([]reporter.Document, 0, len(in))
	for _, d := range in {
		out = append(out, reporter.Document{Name: d.GetName(), Version: d.GetVersion()})
	}
	return out
}

// toMillis returns -1 for an age that has no number.
func toMillis(age time.Duration) int64 {
	if age == detector.NoContact {
		return -1
	}
	return age.Milliseconds()
}

// Explain returns the signals, the rules and the outcome for a hypothetical request.
func (h *Host) Explain(values url.Values) (reporter.Explanation, error) {
	q := router.Query{Service: values.Get("service"), Customer: values.Get("customer")}
	now := timer.Now()
	inv := h.enforcer.Inventory()
	if inv == nil {
		return reporter.Explanation{}, errors.New("no configuration")
	}
	if _, ok := inv.Service(q.Service); !ok {
		return reporter.Explanation{}, errors.Errorf("the inventory names no service %q", q.Service)
	}
	e := reporter.Explanation{Service: q.Service, Customer: q.Customer}
	zones := h.surveyor.Survey(now, q)
	for _, z := range zones {
		e.Signals = append(e.Signals, toSignal(z))
	}
	e.Verdicts = h.verdicts(now, q.Service, zones)
	d := h.surveyor.Route(now, q)
	for _, c := range d.Choices {
		e.Choices = append(e.Choices, reporter.Choice{
			Zone: c.Zone, Host: c.Host, Rule: string(c.Rule), Delay: c.Delay.Microseconds(),
		})
	}
	for _, o := range d.Passed {
		e.Passed = append(e.Passed, reporter.Omission{Zone: o.Zone, Reason: string(o.Reason)})
	}
	return e, nil
}

func toSignal(z router.Zone) reporter.Signal {
	s := reporter.Signal{
		Zone:     z.Name,
		Near:     z.Near,
		Hosts:    z.Hosts,
		Age:      -1,
		Ready:    z.Load.Ready,
		Busy:     z.Load.Busy,
		Queued:   z.Load.Queued,
		RTT:      z.RTT.Microseconds(),
		Draining: z.Draining,
	}
	if z.Load.Known {
		s.Age = z.Load.Age.Milliseconds()
	}
	return s
}
