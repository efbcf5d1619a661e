package exchanger

import (
	"io"
	"syscall"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// endCause returns why raw has nothing more to read: io.EOF after an orderly close. The kernel
// reports the end of a response also where a reset follows it, or has followed it and a write has
// taken the error. A server that ends the connection before it has the whole request resets it.
func (c *Conn) endCause(raw *nbio.Conn) error {
	if !c.endsResponse() {
		return io.EOF
	}
	if c.unsentBytes.Load() > 0 {
		return ErrUnread
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return io.EOF
	}
	cause := io.EOF
	// A socket that can't be asked has ended in order as far as can be known.
	_ = rc.Control(func(fd uintptr) {
		errno, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
		if err == nil && errno != 0 {
			cause = syscall.Errno(errno)
			return
		}
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil && n > 0 {
			cause = ErrUnread
		}
	})
	return cause
}

// endsResponse reports whether the end of the connection marks the end of a response.
func (c *Conn) endsResponse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current != nil && c.current.closeDelimited
}
