package rationer

import (
	"syscall"

	"github.com/pkg/errors"
)

// Shortage reports whether err means that this process or its machine lacks descriptors, memory or
// buffers, which says nothing of whoever is at the other end. A lack of ports isn't one: its error
// also means that nobody can connect to the address.
func Shortage(err error) bool {
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return false
	}
	switch errno {
	case syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM:
		return true
	}
	return false
}
