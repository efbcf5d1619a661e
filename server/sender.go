package server

import (
	"net"

	"github.com/lesismal/nbio"

	"github.com/fescuethread/fescuethread/limiter"
)

// sendConn writes to a caller's connection. What the caller hasn't read yet waits in the
// connection's write queue, which the account holds.
type sendConn struct {
	*nbio.Conn
	account *limiter.Account
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
	return s.Conn.Write(data)
}

// written releases n bytes that the kernel has taken.
func (s *sendConn) written(n int) {
	s.account.Release(n)
}
