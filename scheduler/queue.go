package scheduler

import (
	"cmp"
	"slices"
)

// fairQueue is a start-time fair queue: each customer has a flow, and the request with the
// lowest start tag goes first.
type fairQueue struct {
	virtual int64
	flows   map[string]*flow
	size    int
}

type flow struct {
	name    string
	finish  int64
	tickets []*Ticket
}

func newFairQueue() *fairQueue {
	return &fairQueue{flows: map[string]*flow{}}
}

func (q *fairQueue) flow(customer string) *flow {
	f, ok := q.flows[customer]
	if !ok {
		f = &flow{name: customer}
		q.flows[customer] = f
	}
	return f
}

// nextStart returns the start tag that the customer's next request gets.
func (q *fairQueue) nextStart(customer string) int64 {
	if f, ok := q.flows[customer]; ok {
		return max(q.virtual, f.finish)
	}
	return q.virtual
}

func (q *fairQueue) push(t *Ticket) {
	f := q.flow(t.work.Customer)
	t.start = max(q.virtual, f.finish)
	f.finish = t.start + t.work.Cost
	f.tickets = append(f.tickets, t)
	q.size++
}

// head returns the ticket whose turn it is.
func (q *fairQueue) head() *Ticket {
	var first *Ticket
	for _, f := range q.flows {
		if len(f.tickets) > 0 && f.tickets[0].goesBefore(first) {
			first = f.tickets[0]
		}
	}
	return first
}

func (t *Ticket) goesBefore(other *Ticket) bool {
	if other == nil || t.start != other.start {
		return other == nil || t.start < other.start
	}
	return t.seq < other.seq
}

// idempotent returns the first ticket of idempotent work.
func (q *fairQueue) idempotent() *Ticket {
	var first *Ticket
	for _, f := range q.flows {
		for _, t := range f.tickets {
			if t.work.Idempotent && t.goesBefore(first) {
				first = t
			}
		}
	}
	return first
}

// serve removes t and moves the virtual time to its start.
func (q *fairQueue) serve(t *Ticket) {
	f := q.flows[t.work.Customer]
	i := slices.Index(f.tickets, t)
	f.tickets = slices.Delete(f.tickets, i, i+1)
	q.size--
	q.virtual = max(q.virtual, t.start)
	q.forget()
}

// remove takes a ticket out that was not served and gives its cost back to its customer.
func (q *fairQueue) remove(t *Ticket) {
	f := q.flows[t.work.Customer]
	kept := f.tickets[:0]
	shift := int64(0)
	for _, other := range f.tickets {
		if other == t {
			shift = t.work.Cost
			q.size--
			continue
		}
		other.start -= shift
		kept = append(kept, other)
	}
	f.tickets = kept
	f.finish -= shift
	q.forget()
}

// forget drops the flows that have no claim left.
func (q *fairQueue) forget() {
	if q.size == 0 {
		clear(q.flows)
		q.virtual = 0
		return
	}
	for name, f := range q.flows {
		if len(f.tickets) == 0 && f.finish <= q.virtual {
			delete(q.flows, name)
		}
	}
}

// ahead counts the requests that go before one with the given start tag.
func (q *fairQueue) ahead(start int64) int {
	n := 0
	for _, f := range q.flows {
		for _, t := range f.tickets {
			if t.start > start {
				break
			}
			n++
		}
	}
	return n
}

func (q *fairQueue) length(customer string) int {
	if f, ok := q.flows[customer]; ok {
		return len(f.tickets)
	}
	return 0
}

// longest returns the flow with the most waiting requests.
func (q *fairQueue) longest() *flow {
	var long *flow
	for _, f := range q.flows {
		if long == nil || f.longerThan(long) {
			long = f
		}
	}
	return long
}

func (f *flow) longerThan(other *flow) bool {
	if len(f.tickets) != len(other.tickets) {
		return len(f.tickets) > len(other.tickets)
	}
	return f.name > other.name
}

// ordered lists the waiting requests in the order in which they would be served.
func (q *fairQueue) ordered() []*Ticket {
	list := make([]*Ticket, 0, q.size)
	for _, f := range q.flows {
		list = append(list, f.tickets...)
	}
	slices.SortFunc(list, func(a, b *Ticket) int {
		return cmp.Or(cmp.Compare(a.start, b.start), cmp.Compare(a.seq, b.seq))
	})
	return list
}
