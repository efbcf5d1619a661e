package applier

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/fescuethread/fescuethread/standin/platformer"
	"github.com/fescuethread/fescuethread/storer"
)

const doc = "config/inventory"

type noPause struct{}

func (noPause) Pause(ctx context.Context, _ time.Duration) error { return ctx.Err() }

func isKind(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}

func TestApplyShowsConflict(t *testing.T) {
	ctx := context.Background()
	p := platformer.New(platformer.Config{})
	c := storer.New("http://platform", p, time.Hour).WithRetry(1, noPause{})
	p.SetFaults(platformer.Faults{Lose: 1})
	o, err := Apply(ctx, c, Change{Name: doc, ID: "a"})
	if err != nil || o.Version != 1 {
		t.Fatalf("%+v, %v", o, err)
	}
	o, err = Apply(ctx, c, Change{Name: doc, ID: "b"})
	if !isKind(err, KindConflict) || o.Change != "a" {
		t.Fatalf("%+v, %v", o, err)
	}
	if _, err := Apply(ctx, c, Change{Name: "a?b", ID: "c"}); !isKind(err, KindRefused) {
		t.Fatal(err)
	}
	p.SetFaults(platformer.Faults{Down: true})
	ctx, cancel := context.WithCancel(ctx)
	cancel()
	if _, err := Apply(ctx, c, Change{Name: doc, Expected: 1, ID: "d"}); !isKind(err, KindUnknown) {
		t.Fatal(err)
	}
}

// rollout has one more host at version 2 at each question.
type rollout struct {
	asked int
	waits int
}

func (r *rollout) HostVersions(context.Context) ([]HostVersion, error) {
	r.asked++
	if r.asked == 1 {
		return nil, errors.New("cut off")
	}
	return []HostVersion{{Host: "a", Version: 2}, {Host: "b", Version: uint64(r.asked) - 1}}, nil
}

func (r *rollout) Wait(context.Context) error {
	r.waits--
	if r.waits < 0 {
		return context.DeadlineExceeded
	}
	return nil
}

func TestAwaitWaitsForEveryHost(t *testing.T) {
	r := &rollout{waits: 9}
	if lagging, err := Await(context.Background(), r, r, 2); err != nil || len(lagging) != 0 || r.asked != 3 {
		t.Fatalf("%v, %v after %d questions", lagging, err, r.asked)
	}
	r = &rollout{waits: 1}
	lagging, err := Await(context.Background(), r, r, 2)
	if !isKind(err, KindPending) || len(lagging) != 1 || lagging[0].Host != "b" {
		t.Fatalf("%v, %v", lagging, err)
	}
}
