package watcher

// Subscription receives the versions of a document that come into force; a slow subscriber misses
// all but the newest.
type Subscription struct {
	shelf *Shelf
	name  string
	ch    chan Document
}

// C returns the channel on which documents arrive.
func (s *Subscription) C() <-chan Document {
	return s.ch
}

// Close ends the subscription.
func (s *Subscription) Close() {
	s.shelf.remove(s)
}

// replace puts doc in the place of one that wasn't taken; the caller holds the shelf's lock.
func (s *Subscription) replace(doc Document) {
	select {
	case <-s.ch:
	default:
	}
	s.ch <- doc
}
