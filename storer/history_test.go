package storer_test

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/fescuethread/fescuethread/standin/platformer"
	"github.com/fescuethread/fescuethread/storer"
)

const (
	historyClients = 5
	historyWrites  = 8
	historySeeds   = 40
)

type operation struct {
	read bool
	w    storer.Write
}

type register struct {
	version uint64
	change  string
}

type observation struct {
	kind storer.Kind
	register
}

// casRegister is a register with conditional writes whose versions count them.
var casRegister = porcupine.NondeterministicModel{
	Init: func() []interface{} { return []interface{}{register{}} },
	Step: func(state, input, output interface{}) []interface{} {
		r, _ := state.(register)
		in, _ := input.(operation)
		out, _ := output.(observation)
		matches := r.version == in.w.Expected
		next := register{version: r.version + 1, change: in.w.Change}
		switch {
		case in.read && out.register == r:
			return []interface{}{r}
		case !in.read && out.kind == "" && matches && out.register == next:
			return []interface{}{next}
		case !in.read && out.kind == storer.KindConflict && !matches:
			return []interface{}{r}
		case !in.read && out.kind == storer.KindUnknown && matches:
			return []interface{}{r, next}
		case !in.read && out.kind == storer.KindUnknown:
			return []interface{}{r}
		}
		return nil
	},
	Equal: func(a, b interface{}) bool { return a == b },
}

// history records what concurrent clients see.
type history struct {
	mu  sync.Mutex
	ops []porcupine.Operation
	now int64
}

func (h *history) tick() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.now++
	return h.now
}

func (h *history) add(op porcupine.Operation) {
	op.Return = h.tick()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, op)
}

// close returns the operations; unknown writes may take effect until the end.
func (h *history) close() []porcupine.Operation {
	end := h.tick()
	for i, op := range h.ops {
		if out, _ := op.Output.(observation); out.kind == storer.KindUnknown {
			h.ops[i].Return = end
		}
	}
	return h.ops
}

// faultyClient breaks the platform as its seed says and gives up some writes.
type faultyClient struct {
	id   int
	p    *platformer.Server
	rand *rand.Rand
	h    *history
}

func (c *faultyClient) run() {
	client := storer.New("http://platform", c.p, longTime).WithRetry(int64(c.id), noPause{})
	ctx := context.Background()
	for i := range historyWrites {
		c.p.SetFaults(c.faults())
		current, ok := c.read(ctx, client)
		if !ok {
			c.p.Land()
			continue
		}
		c.write(client, storer.Write{
			Name:     doc,
			Expected: current.Version + uint64(c.rand.Intn(8)/7),
			Change:   fmt.Sprintf("%d-%d", c.id, i),
		})
		if c.rand.Intn(2) == 0 {
			c.p.Land()
		}
	}
}

func (c *faultyClient) faults() platformer.Faults {
	switch c.rand.Intn(6) {
	case 0:
		return platformer.Faults{Lose: 1 + c.rand.Intn(2)}
	case 1:
		return platformer.Faults{Drop: 1 + c.rand.Intn(2)}
	case 2:
		return platformer.Faults{Late: 1 + c.rand.Intn(2)}
	case 3:
		return platformer.Faults{Down: true}
	default:
		return platformer.Faults{}
	}
}

func (c *faultyClient) read(ctx context.Context, client *storer.Client) (storer.Object, bool) {
	start := c.h.tick()
	o, err := client.Get(ctx, doc)
	if err != nil && !storer.IsKind(err, storer.KindMissing) {
		return o, false
	}
	c.h.add(porcupine.Operation{
		ClientId: c.id,
		Input:    operation{read: true},
		Call:     start,
		Output:   observation{register: register{version: o.Version, change: o.Change}},
	})
	return o, true
}

func (c *faultyClient) write(client *storer.Client, w storer.Write) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	client = client.WithRetry(int64(c.id), &patience{left: c.rand.Intn(4), cancel: cancel})
	start := c.h.tick()
	o, err := client.PutResolved(ctx, w)
	out := observation{register: register{version: o.Version, change: o.Change}}
	for _, kind := range []storer.Kind{storer.KindConflict, storer.KindUnknown} {
		if storer.IsKind(err, kind) {
			out.kind = kind
		}
	}
	if err != nil && out.kind == "" {
		out.kind = storer.KindInvalid
	}
	c.h.add(porcupine.Operation{
		ClientId: c.id, Input: operation{w: w}, Call: start, Output: out,
	})
}

// patience ends a write after a number of retries.
type patience struct {
	left   int
	cancel func()
}

func (p *patience) Pause(ctx context.Context, _ time.Duration) error {
	if p.left == 0 {
		p.cancel()
	}
	p.left--
	return ctx.Err()
}

func TestPutResolvedHistoryIsLinearizable(t *testing.T) {
	for seed := range int64(historySeeds) {
		h := &history{}
		p := platformer.New(platformer.Config{})
		var clients sync.WaitGroup
		for id := range historyClients {
			c := &faultyClient{
				id: id, p: p, h: h, rand: rand.New(rand.NewSource(seed*historyClients + int64(id))),
			}
			clients.Go(c.run)
		}
		clients.Wait()
		p.Land()
		ops := h.close()
		if !porcupine.CheckOperations(casRegister.ToModel(), ops) {
			t.Fatalf("seed %d: the history of %d operations isn't linearizable", seed, len(ops))
		}
	}
}
