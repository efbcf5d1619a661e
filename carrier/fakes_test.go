package carrier

import (
	"context"
	"io"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/fescuethread/fescuethread/authenticator"
	"github.com/fescuethread/fescuethread/forwarder"
	"github.com/fescuethread/fescuethread/identifier"
	"github.com/fescuethread/fescuethread/limiter"
	"github.com/fescuethread/fescuethread/locator"
	"github.com/fescuethread/fescuethread/logger"
	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/registrar"
	"github.com/fescuethread/fescuethread/retrier"
	"github.com/fescuethread/fescuethread/router"
	"github.com/fescuethread/fescuethread/timer"
)

// fate is what happens to one try at a target or peer.
type fate int

const (
	fateAnswered fate = iota
	fateNotRun
	fateUnknown
	fates
)

// world is all that a carrier works with.
type world struct {
	mu     sync.Mutex
	fates  []fate
	runs   int
	admits bool
	refuse bool
	stale  bool
	zones  []string
	// fullLooks is the number of decisions that find no room.
	fullLooks int
	snap      *Snapshot
	key       string
}

func (w *world) next() fate {
	w.mu.Lock()
	defer w.mu.Unlock()
	f := fateAnswered
	if len(w.fates) > 0 {
		f = w.fates[0]
		w.fates = w.fates[1:]
	}
	if f != fateNotRun {
		w.runs++
	}
	return f
}

func (w *world) Snapshot() *Snapshot              { return w.snap }
func (w *world) MayServeKeyed(timer.Instant) bool { return !w.stale }
func (w *world) Admit(string, int64) limiter.Decision {
	return limiter.Decision{Admitted: w.admits, Retry: time.Second}
}

func (w *world) Route(timer.Instant, router.Query) router.Decision {
	if w.fullLooks > 0 {
		w.fullLooks--
		full := router.Omission{Zone: "west-a", Reason: router.OmitAllotment}
		return router.Decision{Passed: []router.Omission{full}}
	}
	d := router.Decision{Choices: []router.Choice{{Zone: "east-a"}}}
	for _, z := range w.zones {
		d.Choices = append(d.Choices, router.Choice{Zone: z, Host: "west-a-1"})
	}
	return d
}

func (w *world) Begin(timer.Instant, string, router.Choice) bool           { return true }
func (w *world) End(timer.Instant, string, router.Choice, router.Feedback) {}
func (w *world) Send(string, int64) bool                                   { return true }
func (w *world) Reply(context.Context, string, int64) error                { return nil }
func (w *world) State(string) locator.State                                { return locator.Live }
func (w *world) Owner(o identifier.Owner) string                           { return o.Host }
func (w *world) First(timer.Instant, string)                               {}
func (w *world) Pause(ctx context.Context, _ time.Duration) error          { return ctx.Err() }
func (w *world) Tell(timer.Instant) [][]byte                               { return nil }
func (w *world) Hear(timer.Instant, string, [][]byte)                      {}
func (w *world) Target() registrar.Target                                  { return registrar.Target{Name: "t"} }
func (w *world) Release(Result)                                            {}
func (w *world) Decide(_ timer.Instant, a retrier.Attempt) retrier.Decision {
	if !a.Idempotent && !a.NotRun {
		return retrier.Decision{Reason: retrier.ReasonUnsafe}
	}
	return retrier.Decision{Reason: retrier.ReasonRetry}
}

func (w *world) Acquire(context.Context, SlotQuery) (Slot, error) {
	if w.refuse {
		return nil, &Error{Op: "acquire", Kind: KindCapacity, Err: errors.New("full")}
	}
	return w, nil
}

func (w *world) Do(
	context.Context, forwarder.Target, *forwarder.Request,
) (*forwarder.Answer, error) {
	switch w.next() {
	case fateAnswered:
		return &forwarder.Answer{Status: 200, Body: []byte("done")}, nil
	case fateNotRun:
		return nil, &forwarder.Error{Op: "do", Kind: forwarder.KindNotRun, Err: io.EOF}
	default:
		return nil, &forwarder.Error{Op: "do", Kind: forwarder.KindUnknown, Err: io.EOF}
	}
}

func (w *world) Forward(
	_ context.Context, _ string, in *messenger.Request,
) (*messenger.Reply, error) {
	switch w.next() {
	case fateAnswered:
		return Result{Outcome: messenger.Outcome_OUTCOME_ANSWERED, Status: 200}.toReply(in.GetId()), nil
	case fateNotRun:
		return notRun(503, ReasonCapacity).toReply(in.GetId()), nil
	default:
		return unknown(502, ReasonTarget).toReply(in.GetId()), nil
	}
}

func newWorld(t *testing.T) (*world, *Carrier) {
	t.Helper()
	data, err := os.ReadFile("../examples/demo.toml")
	if err != nil {
		t.Fatal(err)
	}
	inv, err := registrar.Parse("demo.toml", data)
	if err != nil {
		t.Fatal(err)
	}
	key, err := authenticator.Generate()
	if err != nil {
		t.Fatal(err)
	}
	keys, err := new(authenticator.Document).WithGrant(authenticator.DigestOf(key), "mill")
	if err != nil {
		t.Fatal(err)
	}
	w := &world{admits: true, key: key, zones: []string{"west-a", "east-b"}, snap: &Snapshot{
		Inventory: inv, Version: 1, Table: locator.New(inv), Ring: authenticator.NewRing(keys, 1),
	}}
	registry, err := identifier.New(identifier.DefaultConfig(identifier.Owner{Host: "east-a-1", Incarnation: 1}))
	if err != nil {
		t.Fatal(err)
	}
	c := New(Config{Host: "east-a-1", Zone: "east-a", Incarnation: 1, Timeout: time.Minute}, Parts{
		Configuration: w, Freshness: w, Limiter: w, Router: w, Slots: w, Targets: w, Peers: w,
		Members: w, Budget: w, Pauser: w, Suspects: w, Registry: registry,
		Log: logger.New(io.Discard, logger.FormatJSON, log.ErrorLevel), Now: timer.Now,
	})
	return w, c
}
