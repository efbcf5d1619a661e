package identifier

import (
	"encoding/json"
	"sort"
	"time"

	"github.com/pkg/errors"

	"github.com/fescuethread/fescuethread/timer"
)

const (
	handoverVersion = 1
	// handoverEnvelopeBytes is set aside for the parts of a handover that aren't counted.
	handoverEnvelopeBytes = 4096
	// handoverRecordBytes is an ordinary record without its answer.
	handoverRecordBytes = 80
	// handoverIssuedBytes is a count of issued identities.
	handoverIssuedBytes = 128
	// maxLeft bounds the times in a handover, far above any lifetime.
	maxLeft = 24 * time.Hour
	// base64 makes four bytes of three.
	base64Numerator   = 4
	base64Denominator = 3
)

// exported is the handover that was made; it may only be repeated.
type exported struct {
	successor Owner
	body      []byte
}

// handover is the encoded registry; its durations count from the instant of the export.
type handover struct {
	Version   int          `json:"version"`
	From      Owner        `json:"from"`
	Successor Owner        `json:"successor"`
	Ledgers   []ledgerPart `json:"ledgers"`
	Issued    []issuedPart `json:"issued"`
}

type ledgerPart struct {
	Owner  Owner         `json:"owner"`
	Key    []byte        `json:"key"`
	Shift  time.Duration `json:"shift"`
	Left   time.Duration `json:"left"`
	Closed bool          `json:"closed,omitempty"`
	// Records are encoded one by one, so that their sizes are known.
	Records []json.RawMessage `json:"records"`
}

type recordPart struct {
	Number      uint64        `json:"n"`
	Generation  uint64        `json:"g,omitempty"`
	Left        time.Duration `json:"l"`
	Fingerprint []byte        `json:"f,omitempty"`
	Phase       phase         `json:"p"`
	Reason      string        `json:"r,omitempty"`
	Answer      []byte        `json:"a,omitempty"`
	Customer    string        `json:"c,omitempty"`
}

type issuedPart struct {
	Customer string        `json:"customer"`
	Count    int           `json:"count"`
	Left     time.Duration `json:"left"`
}

func (s *state) exportTo(now timer.Instant, successor Owner) ([]byte, error) {
	const op = "export"
	if s.export != nil && s.export.successor == successor {
		return s.export.body, nil
	}
	if s.export != nil {
		err := errors.Errorf("handed over to %s", s.export.successor.Host)
		return nil, &Error{Op: op, Kind: KindMoved, Err: err}
	}
	if successor == s.cfg.Owner {
		return nil, &Error{Op: op, Kind: KindMismatch, Err: errors.New("no successor of its own")}
	}
	s.forget(now)
	h, err := s.pack(now, successor)
	if err != nil {
		return nil, err
	}
	body, err := json.Marshal(h)
	if err != nil {
		return nil, &Error{Op: op, Kind: KindMalformed, Err: errors.Wrap(err, "encode")}
	}
	// From here on this process runs nothing, whether or not the successor ever hears of it.
	s.frozen = true
	s.export = &exported{successor: successor, body: body}
	return body, nil
}

func (s *state) pack(now timer.Instant, successor Owner) (handover, error) {
	h := handover{Version: handoverVersion, From: s.cfg.Owner, Successor: successor}
	h.Issued = s.calendar.parts(now)
	budget := s.cfg.MaxHandoverBytes - handoverEnvelopeBytes
	budget -= len(h.Issued) * handoverIssuedBytes
	p := packer{now: now, budget: budget, answers: make(map[*record]bool)}
	p.chooseAnswers(s)
	for _, l := range s.sortedLedgers() {
		part, err := p.ledger(l, s.end(l))
		if err != nil {
			return handover{}, err
		}
		h.Ledgers = append(h.Ledgers, part)
	}
	return h, nil
}

func (s *state) sortedLedgers() []*ledger {
	out := make([]*ledger, 0, len(s.ledgers))
	for _, l := range s.ledgers {
		out = append(out, l)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].owner.before(out[j].owner) })
	return out
}

func (o Owner) before(other Owner) bool {
	if o.Host != other.Host {
		return o.Host < other.Host
	}
	return o.Incarnation < other.Incarnation
}

func (s *state) end(l *ledger) timer.Instant {
	if l != s.own {
		return l.end
	}
	return s.lastExpiry
}

// packer encodes ledgers within a budget of bytes.
type packer struct {
	now     timer.Instant
	budget  int
	answers map[*record]bool
}

// chooseAnswers keeps the newest answers that fit beside all records.
func (p *packer) chooseAnswers(s *state) {
	spare := p.budget
	for _, l := range s.ledgers {
		spare -= len(l.records) * handoverRecordBytes
	}
	for _, rec := range s.answers.newest() {
		spare -= answerBytes(rec)
		if spare < 0 {
			return
		}
		p.answers[rec] = true
	}
}

func answerBytes(rec *record) int {
	return (len(rec.answer) + base64Denominator) * base64Numerator / base64Denominator
}

func (p *packer) ledger(l *ledger, end timer.Instant) (ledgerPart, error) {
	part := ledgerPart{
		Owner:  l.owner,
		Key:    l.key,
		Shift:  l.offset - time.Duration(p.now),
		Left:   end.Sub(p.now),
		Closed: l.closed,
	}
	for _, rec := range l.sorted() {
		raw, err := json.Marshal(p.record(rec))
		if err != nil {
			return part, &Error{Op: "export", Kind: KindMalformed, Err: errors.Wrap(err, "encode")}
		}
		p.budget -= len(raw) + 1
		if p.budget < 0 {
			// What is left out must not look unused to the successor.
			part.Closed = true
			break
		}
		part.Records = append(part.Records, raw)
	}
	return part, nil
}

func (l *ledger) sorted() []*record {
	out := make([]*record, 0, len(l.records))
	for _, rec := range l.records {
		out = append(out, rec)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].number < out[j].number })
	return out
}

func (p *packer) record(rec *record) recordPart {
	part := recordPart{
		Number:     rec.number,
		Generation: rec.generation,
		Left:       rec.expiry.Sub(p.now),
		Phase:      rec.phase,
		Reason:     rec.reason,
	}
	switch {
	case rec.phase == phaseRunning:
		part.Phase = phaseUnknown
	case rec.phase == phaseAnswered && p.answers[rec]:
		part.Answer = rec.answer
		part.Customer = rec.customer
	case rec.phase == phaseAnswered:
		part.Phase = phaseSpent
	}
	// Spent and unknown operations get the same reply whatever the request.
	replies := part.Phase == phaseFree || part.Phase == phaseAnswered
	if rec.bound && replies {
		part.Fingerprint = rec.fingerprint[:]
	}
	return part
}

func (c *calendar) parts(now timer.Instant) []issuedPart {
	var out []issuedPart
	for i, b := range c.buckets {
		end := timer.Instant((i + 1) * int64(c.width))
		for customer, n := range b.issued {
			out = append(out, issuedPart{Customer: customer, Count: n, Left: end.Sub(now)})
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Left != out[j].Left {
			return out[i].Left < out[j].Left
		}
		return out[i].Customer < out[j].Customer
	})
	return out
}

func (s *state) adopt(now timer.Instant, body []byte) error {
	const op = "adopt"
	var h handover
	if err := json.Unmarshal(body, &h); err != nil {
		return &Error{Op: op, Kind: KindMalformed, Err: errors.Wrap(err, "decode")}
	}
	if h.Version != handoverVersion {
		return &Error{Op: op, Kind: KindMalformed, Err: errors.Errorf("version %d", h.Version)}
	}
	if h.Successor != s.cfg.Owner || h.From == s.cfg.Owner {
		err := errors.New("the handover is meant for another process")
		return &Error{Op: op, Kind: KindMismatch, Err: err}
	}
	if _, ok := s.adopted[h.From]; ok {
		return nil
	}
	if s.export != nil {
		return &Error{Op: op, Kind: KindMoved}
	}
	return s.take(now, h)
}

func (s *state) take(now timer.Instant, h handover) error {
	s.forget(now)
	if len(s.ledgers)+len(h.Ledgers) > maxLedgers {
		return &Error{Op: "adopt", Kind: KindFull}
	}
	taken, err := s.decodeLedgers(now, h.Ledgers)
	if err != nil {
		return err
	}
	if err := checkIssued(h.Issued); err != nil {
		return err
	}
	for _, part := range h.Issued {
		s.calendar.reserve(part.Customer, part.Count, now.Add(part.Left))
	}
	for _, l := range taken {
		s.enter(l)
	}
	s.adopted[h.From] = struct{}{}
	return nil
}

func checkIssued(parts []issuedPart) error {
	for _, part := range parts {
		if part.Count < 0 || !sane(part.Left) {
			err := errors.New("count of identities")
			return &Error{Op: "adopt", Kind: KindMalformed, Err: err}
		}
	}
	return nil
}

func (s *state) decodeLedgers(now timer.Instant, parts []ledgerPart) ([]*ledger, error) {
	out := make([]*ledger, 0, len(parts))
	for _, part := range parts {
		l, err := part.ledger(now)
		if err != nil {
			return nil, err
		}
		if s.ledgers[l.owner] != nil {
			err := errors.Errorf("%s is answered for already", l.owner.Host)
			return nil, &Error{Op: "adopt", Kind: KindMismatch, Err: err}
		}
		out = append(out, l)
	}
	return out, nil
}

func (s *state) enter(l *ledger) {
	s.ledgers[l.owner] = l
	for _, rec := range l.sorted() {
		s.calendar.add(l, rec)
		if rec.phase == phaseAnswered {
			s.answers.keep(rec, rec.answer)
		}
	}
}

// sane reports whether a time to expiry is one that a registry can export.
func sane(left time.Duration) bool {
	return left > -maxLeft && left < maxLeft
}

func (p ledgerPart) ledger(now timer.Instant) (*ledger, error) {
	if len(p.Key) != keyBytes || !sane(p.Left) {
		return nil, &Error{Op: "adopt", Kind: KindMalformed, Err: errors.New("ledger")}
	}
	l := newLedger(p.Owner, p.Key)
	l.offset = p.Shift + time.Duration(now)
	l.end = now.Add(p.Left)
	l.closed = p.Closed
	for _, raw := range p.Records {
		rec, err := decodeRecord(now, raw)
		if err != nil {
			return nil, err
		}
		l.records[rec.number] = rec
	}
	return l, nil
}

func decodeRecord(now timer.Instant, raw []byte) (*record, error) {
	var part recordPart
	if err := json.Unmarshal(raw, &part); err != nil {
		return nil, &Error{Op: "adopt", Kind: KindMalformed, Err: errors.Wrap(err, "decode")}
	}
	return part.record(now)
}

func (p recordPart) record(now timer.Instant) (*record, error) {
	if p.Phase == phaseRunning || p.Phase > phaseUnknown || !sane(p.Left) {
		return nil, &Error{Op: "adopt", Kind: KindMalformed, Err: errors.New("record")}
	}
	rec := &record{
		customer:   p.Customer,
		number:     p.Number,
		generation: p.Generation,
		expiry:     now.Add(p.Left),
		phase:      p.Phase,
		reason:     p.Reason,
		answer:     p.Answer,
	}
	if len(p.Fingerprint) == 0 {
		return rec, nil
	}
	if len(p.Fingerprint) != fingerprintBytes {
		return nil, &Error{Op: "adopt", Kind: KindMalformed, Err: errors.New("fingerprint")}
	}
	rec.fingerprint = [fingerprintBytes]byte(p.Fingerprint)
	rec.bound = true
	return rec, nil
}
