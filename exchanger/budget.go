package exchanger

import "sync/atomic"

// bufferBudget bounds the bytes of the response bodies that are being received on all connections:
// servers that send without end must not exhaust the memory.
type bufferBudget struct {
	maxBytes int64
	used     atomic.Int64
}

// take reserves n bytes, or returns false if they exceed the budget.
func (b *bufferBudget) take(n int) bool {
	if b.used.Add(int64(n)) <= b.maxBytes {
		return true
	}
	b.used.Add(-int64(n))
	return false
}

// release returns n reserved bytes.
func (b *bufferBudget) release(n int) {
	b.used.Add(-int64(n))
}
