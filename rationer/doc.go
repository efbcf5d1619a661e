// Package rationer divides the file descriptors of the process among their uses: some uses have
// descriptors that no other may take, and the idle connections of others give way.
package rationer
