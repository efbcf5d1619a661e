package prover

import (
	"io"
	"net"
	"sync"
	"testing"
)

// platformIP stands for the platform in cuts.
const platformIP = "platform"

// pair is the two ends of a connection, in either order.
type pair struct {
	a, b string
}

func newPair(a, b string) pair {
	if b < a {
		a, b = b, a
	}
	return pair{a, b}
}

// network relays connections between processes, and cuts them.
type network struct {
	mu        sync.Mutex
	cuts      map[pair]bool
	conns     map[pair][]net.Conn
	listeners []net.Listener
	relays    sync.WaitGroup
}

func newNetwork() *network {
	return &network{cuts: make(map[pair]bool), conns: make(map[pair][]net.Conn)}
}

// relay listens for connections to a host, whose source is told by their IP number.
func (n *network) relay(t *testing.T, listen, to, target string) string {
	t.Helper()
	return n.listen(t, listen, target, func(c net.Conn) pair {
		source, _, _ := net.SplitHostPort(c.RemoteAddr().String())
		return newPair(source, to)
	})
}

// relayFrom listens for connections of one known source.
func (n *network) relayFrom(t *testing.T, listen, from, to, target string) string {
	t.Helper()
	return n.listen(t, listen, target, func(net.Conn) pair { return newPair(from, to) })
}

func (n *network) listen(
	t *testing.T, address, target string, pairOf func(net.Conn) pair,
) string {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	n.listeners = append(n.listeners, l)
	n.relays.Add(1)
	go func() {
		defer n.relays.Done()
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n.relays.Add(1)
			go func() {
				defer n.relays.Done()
				n.join(c, target, pairOf(c))
			}()
		}
	}()
	return l.Addr().String()
}

func (n *network) join(c net.Conn, target string, p pair) {
	defer func() { _ = c.Close() }()
	d, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer func() { _ = d.Close() }()
	if !n.track(p, c, d) {
		return
	}
	done := make(chan struct{})
	go func() {
		_, _ = io.Copy(d, c)
		_ = d.Close()
		close(done)
	}()
	_, _ = io.Copy(c, d)
	_ = c.Close()
	<-done
}

func (n *network) track(p pair, conns ...net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cuts[p] {
		return false
	}
	n.conns[p] = append(n.conns[p], conns...)
	return true
}

// cut ends all connections between two ends and refuses new ones until heal.
func (n *network) cut(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := newPair(a, b)
	n.cuts[p] = true
	for _, c := range n.conns[p] {
		_ = c.Close()
	}
	delete(n.conns, p)
}

func (n *network) heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cuts, newPair(a, b))
}

func (n *network) close() {
	for _, l := range n.listeners {
		_ = l.Close()
	}
	n.mu.Lock()
	for _, conns := range n.conns {
		for _, c := range conns {
			_ = c.Close()
		}
	}
	n.mu.Unlock()
	n.relays.Wait()
}
