package server

import (
	"net"
	"sync/atomic"

	"github.com/lesismal/nbio"

	"github.com/fescuethread/fescuethread/limiter"
)

// sendConn writes to a caller's connection. What the caller hasn't read yet waits in the
// connection's write queue, which the account holds.
type sendConn struct {
	*nbio.Conn
	account *limiter.Account
	// unsentBytes is the number of bytes that wait in the write queue.
	unsentBytes atomic.Int64
}

func newSendConn(raw *nbio.Conn, responses *limiter.Limiter) *sendConn {
	// A caller that reads too slowly loses its connection.
	return &sendConn{Conn: raw, account: responses.Open(func() { _ = raw.Close() })}
}

// Write queues data; it closes the connection if all responses together exceed their limit.
func (s *sendConn) Write(data []byte) (int, error) {
	if !s.account.Take(len(data)) {
		_ = s.Close()
		return 0, net.ErrClosed
	}
	s.unsentBytes.Add(int64(len(data)))
	return s.Conn.Write(data)
}

// unsent reports whether bytes wait in the write queue; closing the connection would lose them.
func (s *sendConn) unsent() bool {
	return s.unsentBytes.Load() > 0
}

// written releases n bytes that the kernel has taken.
func (s *sendConn) written(n int) {
	s.account.Release(n)
	s.unsentBytes.Add(-int64(n))
}
