package storer_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/fescuethread/fescuethread/standin/platformer"
	"github.com/fescuethread/fescuethread/storer"
)

func write(expected uint64, change string) storer.Write {
	return storer.Write{Name: doc, Expected: expected, Change: change, Body: []byte(change)}
}

func TestPutResolvedFindsLostWrite(t *testing.T) {
	for _, f := range []platformer.Faults{{Lose: 1}, {Drop: 2}, {Late: 1}} {
		p, c := start()
		p.SetFaults(f)
		o, err := c.PutResolved(context.Background(), write(0, "a"))
		if err != nil || o.Version != 1 {
			t.Fatalf("%+v: %+v, %v", f, o, err)
		}
		p.Land()
		if o, err := c.Get(context.Background(), doc); err != nil || o.Version != 1 {
			t.Fatalf("%+v: a late copy took effect: %+v, %v", f, o, err)
		}
	}
}

func TestPutResolvedReportsConflict(t *testing.T) {
	ctx := context.Background()
	p, c := start()
	if _, err := c.PutResolved(ctx, write(0, "a")); err != nil {
		t.Fatal(err)
	}
	p.SetFaults(platformer.Faults{Drop: 1})
	o, err := c.PutResolved(ctx, write(0, "b"))
	if !storer.IsKind(err, storer.KindConflict) || o.Change != "a" {
		t.Fatalf("%+v, %v", o, err)
	}
}

// interloper calls before ahead of the nth request.
type interloper struct {
	next   storer.Doer
	n      int
	before func()
}

func (d *interloper) Do(req *http.Request) (*http.Response, error) {
	d.n--
	if d.n == 0 {
		d.before()
	}
	return d.next.Do(req)
}

func TestPutResolvedDoesNotKnowOverwrittenWrite(t *testing.T) {
	ctx := context.Background()
	p, other := start()
	p.SetFaults(platformer.Faults{Lose: 1})
	d := &interloper{next: p, n: 2, before: func() {
		if _, err := other.Put(ctx, doc, 1, "b", nil); err != nil {
			t.Error(err)
		}
	}}
	c := storer.New("http://platform", d, longTime).WithRetry(1, noPause{})
	o, err := c.PutResolved(ctx, write(0, "a"))
	if !storer.IsKind(err, storer.KindUnknown) || o.Change != "b" {
		t.Fatalf("%+v, %v", o, err)
	}
}

// A write that expects a version yet to come can't be called refused while a copy is on its way.
func TestPutResolvedWaitsForLateCopyOfEarlyWrite(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	p, other := start()
	p.SetFaults(platformer.Faults{Late: 1})
	d := &interloper{next: p, n: 5, before: cancel}
	c := storer.New("http://platform", d, longTime).WithRetry(1, noPause{})
	if _, err := c.PutResolved(ctx, write(1, "a")); !storer.IsKind(err, storer.KindUnknown) {
		t.Fatal(err)
	}
	ctx = context.Background()
	if _, err := other.Put(ctx, doc, 0, "b", nil); err != nil {
		t.Fatal(err)
	}
	p.Land()
	if o, err := other.Get(ctx, doc); err != nil || o.Change != "a" {
		t.Fatalf("%+v, %v", o, err)
	}
}
