package follower

// maxLoggedChanges is the maximum number of changes of target entries that are kept for peers.
const maxLoggedChanges = 4096

// batch is the changes of target entries between two revisions of the store.
type batch struct {
	// from and to are the revisions before and after the changes.
	from, to uint64
	changes  []Change
	// difference says that changes which were undone in between are missing, so that the batch leads
	// to the state at to only from that at from.
	difference bool
}

// changelog holds the latest changes of target entries in their order, so that a peer that holds
// an older revision gets what it has missed.
type changelog struct {
	// from is the revision before the first batch; 0 if there is no complete log.
	from    uint64
	batches []batch
	size    int
}

// reset empties the log; it then begins at a revision.
func (l *changelog) reset(revision uint64) {
	*l = changelog{from: revision}
}

// append adds a batch and drops the oldest ones beyond the maximum.
func (l *changelog) append(b batch) {
	if b.to <= b.from || len(b.changes) == 0 && !b.difference {
		return
	}
	l.batches = append(l.batches, b)
	l.size += len(b.changes) + 1
	for l.size > maxLoggedChanges {
		l.size -= len(l.batches[0].changes) + 1
		l.from = l.batches[0].to
		l.batches = l.batches[1:]
	}
}

// since returns the changes after a revision; ok is false if the log can't tell them. A batch that
// includes the revision is returned whole, unless it is a difference: to apply its changes again
// in their order ends in the same state.
func (l *changelog) since(revision uint64) (changes []Change, ok bool) {
	if l.from == 0 || revision < l.from {
		return nil, false
	}
	for _, b := range l.batches {
		if b.difference && b.from < revision && revision < b.to {
			return nil, false
		}
		if b.to > revision {
			changes = append(changes, b.changes...)
		}
	}
	return changes, true
}
