package accepter

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/fescuethread/fescuethread/pacer"
)

const (
	// minPause and maxPause bound the pause after an error; it doubles with each further error.
	minPause = 5 * time.Millisecond
	maxPause = 80 * time.Millisecond
)

// Listener is a net.Listener whose Accept returns only errors after which nothing more can be
// accepted.
type Listener struct {
	net.Listener
	// onError is called with each error that passes; it may be nil.
	onError func(error)
	sleeper pacer.Sleeper
	// closed ends when the listener is closed.
	closed context.Context
	cancel context.CancelFunc
}

// New returns a listener that accepts connections of l and passes errors that pass to onError,
// which may be nil.
func New(l net.Listener, onError func(error)) *Listener {
	a := &Listener{Listener: l, onError: onError, sleeper: pacer.Clock{}}
	a.closed, a.cancel = context.WithCancel(context.Background())
	return a
}

// Accept waits for the next connection. After an error that passes it tries again; connections
// wait in the kernel meanwhile.
func (l *Listener) Accept() (net.Conn, error) {
	for pause := minPause; ; pause = min(2*pause, maxPause) {
		conn, err := l.Listener.Accept()
		if err == nil || final(err) {
			return conn, err
		}
		if l.onError != nil {
			l.onError(err)
		}
		if l.sleeper.Sleep(l.closed, pause) != nil {
			return nil, err
		}
	}
}

// Close closes the listener; Accept returns.
func (l *Listener) Close() error {
	l.cancel()
	return l.Listener.Close()
}

// final reports whether a listener that returned err can't accept anything more. All other errors
// are about one connection, or end when other connections do.
func final(err error) bool {
	return errors.Is(err, net.ErrClosed) || errors.Is(err, syscall.EBADF) ||
		errors.Is(err, syscall.EINVAL) || errors.Is(err, syscall.ENOTSOCK)
}
