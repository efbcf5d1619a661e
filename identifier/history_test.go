package identifier

import (
	"fmt"
	"math/rand"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/fescuethread/fescuethread/timer"
)

// operation is what a model knows of one identity.
type operation struct {
	tokens  []string
	closed  map[string]bool
	run     Claim
	running bool
	effects int
	answer  string
}

// registryMachine drives a registry and, after a planned stop, its successor.
type registryMachine struct {
	now        timer.Instant
	registries []*Registry
	export     []byte
	operations []*operation
}

func (m *registryMachine) draw(t *rapid.T) *operation {
	if len(m.operations) == 0 {
		t.Skip("nothing issued")
	}
	return rapid.SampledFrom(m.operations).Draw(t, "operation")
}

func (m *registryMachine) Issue(t *rapid.T) {
	token, err := m.registries[0].Issue(m.now, booked)
	if err != nil {
		return
	}
	o := &operation{tokens: []string{token}, closed: make(map[string]bool)}
	m.operations = append(m.operations, o)
}

func (m *registryMachine) Begin(t *rapid.T) {
	o := m.draw(t)
	token := rapid.SampledFrom(o.tokens).Draw(t, "token")
	r := rapid.SampledFrom(m.registries).Draw(t, "registry")
	c, err := r.Begin(m.now, token, booked, body)
	if err == nil {
		m.check(t, o, token, c)
	}
}

func (m *registryMachine) Refuse(t *rapid.T) {
	o := m.draw(t)
	token := rapid.SampledFrom(o.tokens).Draw(t, "token")
	r := rapid.SampledFrom(m.registries).Draw(t, "registry")
	if c, err := r.Refuse(m.now, token, booked, "rate"); err == nil {
		m.check(t, o, token, c)
	}
}

func (m *registryMachine) Finish(t *rapid.T) {
	o := m.draw(t)
	if !o.running {
		t.Skip("no run")
	}
	answer := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "answer"))
	result := rapid.SampledFrom([]Result{Answered([]byte(answer)), NotRun("full"), Unknown()})
	end := result.Draw(t, "result")
	o.running = false
	if end.phase != phaseFree {
		o.effects++
		o.answer = answer
	}
	r := rapid.SampledFrom(m.registries).Draw(t, "registry")
	m.check(t, o, o.run.identity.token(t, m), r.Finish(o.run, end))
}

func (id Identity) token(t *rapid.T, m *registryMachine) string {
	token, err := sign(m.registries[0].state.own.key, id)
	if err != nil {
		t.Fatal(err)
	}
	return token
}

func (m *registryMachine) check(t *rapid.T, o *operation, token string, c Claim) {
	switch c.Outcome {
	case OutcomeRun:
		if o.running || o.effects > 0 || o.closed[token] {
			t.Fatalf("second run: %+v", o)
		}
		o.run, o.running = c, true
	case OutcomeRefused:
		if o.effects > 0 {
			t.Fatalf("'not run' of an operation that ran: %+v", o)
		}
		o.closed[token] = true
		o.tokens = append(o.tokens, c.Renewed)
	case OutcomeDone:
		if o.effects != 1 || string(c.Answer) != o.answer {
			t.Fatalf("answer %q of %+v", c.Answer, o)
		}
	}
}

func (m *registryMachine) Pass(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
	for _, r := range m.registries {
		r.Sweep(m.now)
	}
}

func (m *registryMachine) Export(t *rapid.T) {
	body, err := m.registries[0].Export(m.now, heir)
	if err != nil || m.export != nil && string(body) != string(m.export) {
		t.Fatalf("export: %v", err)
	}
	m.export = body
}

func (m *registryMachine) Adopt(t *rapid.T) {
	if m.export == nil {
		t.Skip("not exported")
	}
	adopt(t, m.registries[1], m.now, m.export)
}

func (m *registryMachine) Check(*rapid.T) {}

func TestOperationsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &registryMachine{now: start}
		m.registries = []*Registry{newRegistry(t, owner, nil), newRegistry(t, heir, nil)}
		t.Repeat(rapid.StateMachineActions(m))
	})
}

// call is an operation on the at-most-once register of a history.
type call struct {
	op         string
	generation uint64
	result     Result
}

// register is the sequential model: what Begin and Finish return one after the other.
type register struct {
	phase      phase
	generation uint64
	answer     string
}

func (s register) claim(generation uint64) (register, string) {
	switch {
	case s.phase == phaseFree && s.generation == generation:
		return register{phaseRunning, generation, ""}, OutcomeRun.String()
	case s.phase == phaseFree:
		return s, OutcomeRefused.String()
	default:
		return s, map[phase]string{
			phaseRunning: "join", phaseAnswered: "done" + s.answer, phaseUnknown: "unknown",
		}[s.phase]
	}
}

func (s register) apply(c call) (register, string) {
	running := s.phase == phaseRunning
	switch {
	case c.op == "sweep" && running:
		return register{phaseUnknown, s.generation, ""}, ""
	case c.op == "finish" && running && s.generation == c.generation:
		s = register{c.result.phase, c.generation, string(c.result.answer)}
		if c.result.phase == phaseFree {
			s.generation++
		}
	}
	if c.op == "sweep" {
		return s, ""
	}
	return s.claim(c.generation)
}

var registerModel = porcupine.Model{
	Init: func() any { return register{} },
	Step: func(state, input, output any) (bool, any) {
		s, _ := state.(register)
		c, _ := input.(call)
		next, want := s.apply(c)
		return want == output, next
	},
}

// recorder collects the history of concurrent calls.
type recorder struct {
	mu    sync.Mutex
	clock atomic.Int64
	calls []porcupine.Operation
}

func (h *recorder) record(client int, c call, do func() string) {
	begun := h.clock.Add(1)
	out := do()
	op := porcupine.Operation{
		ClientId: client, Input: c, Call: begun, Output: out, Return: h.clock.Add(1),
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, op)
}

func (h *recorder) client(r *Registry, id int, token string, rnd *rand.Rand) {
	for range 12 {
		current, _ := Parse(token)
		var c Claim
		h.record(id, call{op: "begin", generation: current.Generation}, func() string {
			c, _ = r.Begin(start, token, booked, body)
			return c.Outcome.String() + string(c.Answer)
		})
		if rnd.Intn(20) == 0 {
			h.record(id, call{op: "sweep"}, func() string {
				r.Sweep(start.Add(defaultRunTimeout))
				return ""
			})
		}
		if c.Outcome == OutcomeRefused {
			token = c.Renewed
		}
		if c.Outcome != OutcomeRun {
			continue
		}
		results := []Result{NotRun("full"), NotRun("full"), Answered([]byte{byte('0' + id)})}
		result := results[rnd.Intn(len(results))]
		h.record(id, call{"finish", current.Generation, result}, func() string {
			told := r.Finish(c, result)
			return told.Outcome.String() + string(told.Answer)
		})
	}
}

func TestHistoriesAreLinearizable(t *testing.T) {
	for seed := range int64(40) {
		r := newRegistry(t, owner, nil)
		token := issue(t, r, start)
		var h recorder
		var wg sync.WaitGroup
		for id := range 5 {
			wg.Go(func() { h.client(r, id, token, rand.New(rand.NewSource(seed*10+int64(id)))) })
		}
		wg.Wait()
		if !porcupine.CheckOperations(registerModel, h.calls) {
			t.Fatalf("seed %d: history of %d calls is not linearizable", seed, len(h.calls))
		}
	}
}
