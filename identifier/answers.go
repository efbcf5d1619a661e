package identifier

import (
	"container/list"
	"sort"
)

// answers keeps the newest answers within a bound; when it is passed, the customer that holds the
// most gives up its oldest.
type answers struct {
	max     int
	bytes   int
	shelves map[string]*shelf
}

// shelf holds the answers of one customer, oldest first.
type shelf struct {
	customer string
	bytes    int
	records  *list.List
}

// slot is the place of a record's answer.
type slot struct {
	shelf   *shelf
	element *list.Element
}

func newAnswers(maxBytes int) *answers {
	return &answers{max: maxBytes, shelves: make(map[string]*shelf)}
}

func (a *answers) keep(rec *record, answer []byte) {
	if len(answer) > a.max {
		rec.phase = phaseSpent
		rec.answer = nil
		return
	}
	rec.answer = answer
	if rec.forgotten {
		return
	}
	a.put(rec)
	for a.bytes > a.max {
		a.evict()
	}
}

func (a *answers) put(rec *record) {
	s := a.shelves[rec.customer]
	if s == nil {
		s = &shelf{customer: rec.customer, records: list.New()}
		a.shelves[rec.customer] = s
	}
	rec.kept = &slot{shelf: s, element: s.records.PushBack(rec)}
	s.bytes += len(rec.answer)
	a.bytes += len(rec.answer)
}

// evict makes the oldest answer of the customer with the most bytes spent.
func (a *answers) evict() {
	var most *shelf
	for _, s := range a.shelves {
		if most == nil || s.larger(most) {
			most = s
		}
	}
	rec, _ := most.records.Front().Value.(*record)
	a.drop(rec)
	rec.phase = phaseSpent
	rec.answer = nil
}

func (s *shelf) larger(other *shelf) bool {
	if s.bytes != other.bytes {
		return s.bytes > other.bytes
	}
	return s.customer < other.customer
}

// newest lists the records with a kept answer, those that expire last first.
func (a *answers) newest() []*record {
	var out []*record
	for _, s := range a.shelves {
		for e := s.records.Front(); e != nil; e = e.Next() {
			rec, _ := e.Value.(*record)
			out = append(out, rec)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].expiry != out[j].expiry {
			return out[i].expiry > out[j].expiry
		}
		return out[i].number > out[j].number
	})
	return out
}

// drop takes a record's answer out of the account.
func (a *answers) drop(rec *record) {
	if rec.kept == nil {
		return
	}
	s := rec.kept.shelf
	s.records.Remove(rec.kept.element)
	s.bytes -= len(rec.answer)
	a.bytes -= len(rec.answer)
	rec.kept = nil
	if s.records.Len() == 0 {
		delete(a.shelves, s.customer)
	}
}
