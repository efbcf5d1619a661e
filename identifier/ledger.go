package identifier

import (
	"time"

	"github.com/fescuethread/fescuethread/timer"
)

// fingerprintBytes is the part of a request's digest that a record keeps.
const fingerprintBytes = 16

type phase uint8

const (
	phaseFree phase = iota
	phaseRunning
	phaseAnswered
	phaseSpent
	phaseUnknown
)

// record is the state of an identity that was used at least once.
type record struct {
	customer    string
	number      uint64
	generation  uint64
	expiry      timer.Instant
	timeout     timer.Instant
	fingerprint [fingerprintBytes]byte
	// bound records have their fingerprint.
	bound     bool
	phase     phase
	forgotten bool
	reason    string
	answer    []byte
	kept      *slot
	done      chan struct{}
}

// bind sets the request that the identity stands for, and reports whether it is this one.
func (r *record) bind(digest [32]byte) bool {
	fingerprint := [fingerprintBytes]byte(digest[:fingerprintBytes])
	if !r.bound {
		r.fingerprint = fingerprint
		r.bound = true
	}
	return r.fingerprint == fingerprint
}

// ledger holds the records of one owner: this process or one whose operations it adopted.
type ledger struct {
	owner Owner
	key   []byte
	// offset converts the owner's clock to this host's.
	offset  time.Duration
	records map[uint64]*record
	// end is the instant on this host's clock at which the last token of an adopted owner expires.
	end timer.Instant
	// closed ledgers answer for an unlisted identity that its outcome is unknown.
	closed bool
}

func newLedger(owner Owner, key []byte) *ledger {
	return &ledger{owner: owner, key: key, records: make(map[uint64]*record)}
}

func (l *ledger) expiry(id Identity) timer.Instant {
	return id.Expiry.Add(l.offset)
}

// bucket groups what expires within the same slice of time.
type bucket struct {
	issued  map[string]int
	records []entry
}

type entry struct {
	ledger *ledger
	record *record
}

// calendar counts outstanding identities and finds the records to forget.
type calendar struct {
	width    time.Duration
	buckets  map[int64]*bucket
	oldest   int64
	issued   map[string]int
	outstand int
}

func newCalendar(width time.Duration) *calendar {
	return &calendar{
		width:   width,
		buckets: make(map[int64]*bucket),
		issued:  make(map[string]int),
	}
}

func (c *calendar) bucket(expiry timer.Instant) *bucket {
	i := int64(expiry) / int64(c.width)
	b := c.buckets[i]
	if b != nil {
		return b
	}
	if len(c.buckets) == 0 || i < c.oldest {
		c.oldest = i
	}
	b = &bucket{issued: make(map[string]int)}
	c.buckets[i] = b
	return b
}

func (c *calendar) reserve(customer string, n int, expiry timer.Instant) {
	c.bucket(expiry).issued[customer] += n
	c.issued[customer] += n
	c.outstand += n
}

func (c *calendar) add(l *ledger, rec *record) {
	b := c.bucket(rec.expiry)
	b.records = append(b.records, entry{ledger: l, record: rec})
}

// expire removes the buckets that ended before now and returns their records.
func (c *calendar) expire(now timer.Instant) []entry {
	var gone []entry
	last := int64(now) / int64(c.width)
	for len(c.buckets) > 0 && c.oldest < last {
		b := c.buckets[c.oldest]
		if b != nil {
			gone = append(gone, b.records...)
			c.release(b)
			delete(c.buckets, c.oldest)
		}
		c.oldest++
	}
	return gone
}

func (c *calendar) release(b *bucket) {
	for customer, n := range b.issued {
		c.outstand -= n
		c.issued[customer] -= n
		if c.issued[customer] == 0 {
			delete(c.issued, customer)
		}
	}
}
