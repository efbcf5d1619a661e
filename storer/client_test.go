package storer_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/fescuethread/fescuethread/standin/platformer"
	"github.com/fescuethread/fescuethread/storer"
)

const (
	longTime = 10 * time.Minute
	doc      = "config/inventory"
)

// noPause retries at once.
type noPause struct{}

func (noPause) Pause(ctx context.Context, _ time.Duration) error { return ctx.Err() }

func start() (*platformer.Server, *storer.Client) {
	p := platformer.New(platformer.Config{})
	return p, storer.New("http://platform", p, longTime).WithRetry(1, noPause{})
}

func TestPutIsConditional(t *testing.T) {
	ctx := context.Background()
	_, c := start()
	if _, err := c.Get(ctx, doc); !storer.IsKind(err, storer.KindMissing) {
		t.Fatal(err)
	}
	for expected := uint64(0); expected < 3; expected++ {
		version, err := c.Put(ctx, doc, expected, "a", []byte{byte(expected)})
		if err != nil || version != expected+1 {
			t.Fatalf("version %d, %v", version, err)
		}
		if _, err := c.Put(ctx, doc, expected, "b", nil); !storer.IsKind(err, storer.KindConflict) {
			t.Fatal(err)
		}
	}
	o, err := c.Get(ctx, doc)
	if err != nil || o.Version != 3 || o.Change != "a" || len(o.Body) != 1 || o.Body[0] != 2 {
		t.Fatalf("%+v, %v", o, err)
	}
	if err := c.Delete(ctx, doc, 2); !storer.IsKind(err, storer.KindConflict) {
		t.Fatal(err)
	}
	if err := c.Delete(ctx, doc, 3); err != nil {
		t.Fatal(err)
	}
}

func TestPutRefusesBadCalls(t *testing.T) {
	ctx := context.Background()
	_, c := start()
	large := make([]byte, storer.MaxBodyBytes+1)
	if _, err := c.Put(ctx, doc, 0, "a", large); !storer.IsKind(err, storer.KindTooLarge) {
		t.Fatal(err)
	}
	for _, name := range []string{"", "a//b", "../b", "a?b", "a b"} {
		if _, err := c.Put(ctx, name, 0, "a", nil); !storer.IsKind(err, storer.KindInvalid) {
			t.Fatalf("%q: %v", name, err)
		}
	}
}

func TestWatchOverTCP(t *testing.T) {
	p := platformer.New(platformer.Config{})
	server := httptest.NewServer(p)
	defer server.Close()
	ctx := context.Background()
	c := storer.New(server.URL, server.Client(), longTime)
	if _, err := c.Put(ctx, doc, 0, "a", []byte("1")); err != nil {
		t.Fatal(err)
	}
	l, err := c.List(ctx, "config/")
	if err != nil || len(l.Objects) != 1 {
		t.Fatalf("%+v, %v", l, err)
	}
	if l, err = c.Watch(ctx, "config/", l.Revision, 0); err != nil || len(l.Objects) != 0 {
		t.Fatalf("%+v, %v", l, err)
	}
	got := make(chan storer.Listing, 1)
	go func() {
		l, _ := c.Watch(ctx, "config/", l.Revision, time.Minute)
		got <- l
	}()
	if _, err := c.Put(ctx, "status/other", 0, "a", nil); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Put(ctx, doc, 1, "b", []byte("2")); err != nil {
		t.Fatal(err)
	}
	if l := <-got; len(l.Objects) != 1 || l.Objects[0].Version != 2 {
		t.Fatalf("%+v", l)
	}
}

func TestOutageCutsWaitingWatch(t *testing.T) {
	p, c := start()
	got := make(chan error, 1)
	go func() {
		_, err := c.Watch(context.Background(), "", 0, time.Minute)
		got <- err
	}()
	p.SetFaults(platformer.Faults{Down: true})
	if err := <-got; !storer.IsKind(err, storer.KindUnavailable) {
		t.Fatal(err)
	}
}

func TestHostsLag(t *testing.T) {
	now := time.Unix(0, 0)
	p := platformer.New(platformer.Config{
		Lag: time.Second, Now: func() time.Time { return now },
	})
	c := storer.New("http://platform", p, longTime)
	p.SetHost("a", "live")
	if hosts, err := c.Hosts(context.Background()); err != nil || len(hosts) != 0 {
		t.Fatalf("%v, %v", hosts, err)
	}
	now = now.Add(time.Second)
	hosts, err := c.Hosts(context.Background())
	if err != nil || len(hosts) != 1 || hosts[0].State != storer.HostLive {
		t.Fatalf("%v, %v", hosts, err)
	}
}
