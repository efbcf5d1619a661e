package server

import (
	"net"

	"github.com/lesismal/nbio"

	"github.com/fescuethread/fescuethread/rationer"
	"github.com/fescuethread/fescuethread/timer"
)

// admit adds a new connection. If there is no descriptor for it, its first request is refused; if
// there is none for that either, it is closed at once.
func (s *Server) admit(conn net.Conn) {
	switch {
	case s.cfg.Descriptors.Take():
		s.add(conn, s.cfg.Descriptors, nil)
	case s.cfg.Refusals.Take():
		s.add(conn, s.cfg.Refusals, tooManyConnections())
	default:
		_ = conn.Close()
	}
}

// add adds a connection whose descriptor was taken from use. If f is set, it is the response to
// the first request.
func (s *Server) add(conn net.Conn, use *rationer.Use, f *fault) {
	raw, err := nbio.NBConn(conn)
	if err != nil {
		_ = conn.Close()
		use.Release()
		return
	}
	c := newConnection(s, raw)
	c.descriptors = use
	now := timer.Now()
	if f != nil {
		c.refusal = f
		c.closeAt.Store(int64(now.Add(lingerTimeout)))
	}
	raw.OnData(s.receive)
	s.openConns.Add(1)
	s.conns.Store(raw, c)
	if f == nil {
		s.idle.add(now, c)
	}
	if _, err := s.engine.AddConn(raw); err != nil {
		s.remove(raw)
		_ = raw.Close()
		return
	}
	_ = raw.SetReadDeadline(s.idleDeadline())
}

// CloseIdle closes the connection that has been without a request for the longest, and releases
// its descriptor. It returns false if none has been so for long enough.
func (s *Server) CloseIdle() bool {
	before := timer.Now().Add(-s.minIdle)
	for range maxIdleChecks {
		c := s.idle.takeFirst(before)
		if c == nil {
			return false
		}
		if c.giveUp() {
			_ = c.raw.Close()
			s.remove(c.raw)
			return true
		}
		// A request is on its way, or the last response.
		s.idle.add(timer.Now(), c)
	}
	return false
}
