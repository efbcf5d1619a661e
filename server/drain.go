package server

import "time"

// DisableKeepAlives sets the header Connection: close on all later responses.
func (s *Server) DisableKeepAlives() {
	s.keepAlivesDisabled.Store(true)
}

// Unsent reports whether callers have not read all of their responses yet.
func (s *Server) Unsent() bool {
	unsent := false
	s.conns.Range(func(_, v interface{}) bool {
		c, ok := v.(*connection)
		unsent = ok && c.out.unsent()
		return !unsent
	})
	return unsent
}

// drain closes each connection once it has no request: those that still arrive are answered. It
// waits for all requests, and then for at most closeTimeout until the callers have closed the
// connections whose last response was written: to close them sooner may truncate a response.
func (s *Server) drain() {
	end := time.Now().Add(closeTimeout)
	for {
		pending, lingering := s.closeIdle()
		if pending {
			end = time.Now().Add(closeTimeout)
		}
		if !pending && (!lingering || time.Now().After(end)) {
			return
		}
		time.Sleep(closePollInterval)
	}
}

// closeIdle closes all connections without requests. It reports whether requests are pending, and
// whether last responses are still being read.
func (s *Server) closeIdle() (pending, lingering bool) {
	s.conns.Range(func(_, v interface{}) bool {
		c, ok := v.(*connection)
		if !ok {
			return true
		}
		switch c.retire() {
		case retirePending:
			pending = true
		case retireLingering:
			lingering = true
		case retireNow:
			_ = c.raw.Close()
		}
		return true
	})
	return pending, lingering
}

func (s *Server) closeAll() {
	s.conns.Range(func(_, c interface{}) bool {
		if conn, ok := c.(*connection); ok {
			_ = conn.raw.Close()
		}
		return true
	})
}
