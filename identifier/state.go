package identifier

import (
	"github.com/pkg/errors"

	"github.com/fescuethread/fescuethread/timer"
)

// calendarBuckets is the number of slices that a token's lifetime is counted in.
const calendarBuckets = 32

// state is the registry without its lock; instants are arguments.
type state struct {
	cfg        Config
	own        *ledger
	ledgers    map[Owner]*ledger
	calendar   *calendar
	running    map[*record]struct{}
	answers    *answers
	last       uint64
	lastExpiry timer.Instant
	frozen     bool
	export     *exported
	// adopted lists whose handover was taken; taking it again would forget what ran since.
	adopted map[Owner]struct{}
}

func newState(cfg Config, key []byte) *state {
	own := newLedger(cfg.Owner, key)
	return &state{
		cfg:      cfg,
		own:      own,
		ledgers:  map[Owner]*ledger{cfg.Owner: own},
		calendar: newCalendar(max(cfg.Lifetime/calendarBuckets, 1)),
		running:  make(map[*record]struct{}),
		answers:  newAnswers(cfg.MaxAnswerBytes),
		adopted:  make(map[Owner]struct{}),
	}
}

func (s *state) issue(now timer.Instant, work Work) (string, error) {
	const op = "issue"
	if s.frozen {
		return "", &Error{Op: op, Kind: KindFrozen}
	}
	s.forget(now)
	// A customer may hold as many as are left free, so that none can take all of them.
	free := s.cfg.MaxIdentities - s.calendar.outstand
	if s.calendar.issued[work.Customer] >= free {
		return "", &Error{Op: op, Kind: KindFull}
	}
	id := Identity{
		Owner:  s.cfg.Owner,
		Work:   work,
		Expiry: now.Add(s.cfg.Lifetime),
		Number: s.last + 1,
	}
	token, err := sign(s.own.key, id)
	if err != nil {
		return "", err
	}
	s.last++
	s.lastExpiry = id.Expiry
	s.calendar.reserve(work.Customer, 1, id.Expiry)
	return token, nil
}

func (s *state) begin(now timer.Instant, token string, work Work, digest [32]byte) (Claim, error) {
	claim, err := s.find(now, token, work)
	if err != nil {
		return Claim{}, err
	}
	if claim.record == nil {
		return s.resume(claim), nil
	}
	if !claim.record.bind(digest) {
		err := errors.New("the identity was first used for another path or body")
		return Claim{}, &Error{Op: "begin", Kind: KindConflict, Err: err}
	}
	if !claim.startable() {
		return s.resume(claim), nil
	}
	if s.frozen {
		return Claim{}, &Error{Op: "begin", Kind: KindFrozen}
	}
	s.start(now, claim.record)
	claim.Outcome = OutcomeRun
	return claim, nil
}

// refuse makes sure that the token runs nothing, unless a run was begun before.
func (s *state) refuse(now timer.Instant, token string, work Work, reason string) (Claim, error) {
	claim, err := s.find(now, token, work)
	if err != nil {
		return Claim{}, err
	}
	if claim.record != nil && claim.startable() {
		s.settle(claim.record, NotRun(reason))
	}
	return s.resume(claim), nil
}

// find returns the claim of a token; its record is nil when the ledger is closed to new ones.
func (s *state) find(now timer.Instant, token string, work Work) (Claim, error) {
	s.forget(now)
	l, id, err := s.admit(now, token, work)
	if err != nil {
		return Claim{}, err
	}
	rec := l.records[id.Number]
	if rec == nil && !l.closed {
		rec = s.add(l, id)
	}
	return Claim{identity: id, ledger: l, record: rec}, nil
}

// admit finds the ledger of a token and checks the token against it.
func (s *state) admit(now timer.Instant, token string, work Work) (*ledger, Identity, error) {
	const op = "begin"
	payload, mac, err := split(token)
	if err != nil {
		return nil, Identity{}, err
	}
	id, err := decode(payload)
	if err != nil {
		return nil, Identity{}, err
	}
	l := s.ledgers[id.Owner]
	if l == nil {
		return nil, id, &Error{Op: op, Kind: KindForeign}
	}
	if !verify(l.key, payload, mac) {
		return nil, id, &Error{Op: op, Kind: KindForged}
	}
	if s.export != nil {
		err := errors.Errorf("handed over to %s", s.export.successor.Host)
		return nil, id, &Error{Op: op, Kind: KindMoved, Err: err}
	}
	if !now.Before(l.expiry(id)) {
		return nil, id, &Error{Op: op, Kind: KindExpired}
	}
	if id.Work != work {
		err := errors.New("the identity was issued for other work")
		return nil, id, &Error{Op: op, Kind: KindMismatch, Err: err}
	}
	return l, id, nil
}

func (s *state) add(l *ledger, id Identity) *record {
	rec := &record{customer: id.Work.Customer, number: id.Number, expiry: l.expiry(id)}
	l.records[id.Number] = rec
	s.calendar.add(l, rec)
	return rec
}

func (s *state) start(now timer.Instant, rec *record) {
	rec.phase = phaseRunning
	rec.timeout = now.Add(s.cfg.RunTimeout)
	rec.done = make(chan struct{})
	s.running[rec] = struct{}{}
}

// resume returns what a claim's operation has come to; it starts no run.
func (s *state) resume(c Claim) Claim {
	out := Claim{identity: c.identity, ledger: c.ledger, record: c.record}
	if c.record == nil {
		out.Outcome = OutcomeUnknown
		return out
	}
	switch c.record.phase {
	case phaseRunning:
		out.Outcome = OutcomeJoin
		out.Done = c.record.done
	case phaseAnswered:
		out.Outcome = OutcomeDone
		out.Answer = c.record.answer
	case phaseSpent:
		out.Outcome = OutcomeSpent
	case phaseUnknown:
		out.Outcome = OutcomeUnknown
	case phaseFree:
		return s.refused(out)
	}
	return out
}

func (s *state) refused(c Claim) Claim {
	id := c.identity
	id.Generation = c.record.generation
	token, err := sign(c.ledger.key, id)
	if err != nil {
		c.Outcome = OutcomeUnknown
		return c
	}
	c.Outcome = OutcomeRefused
	c.Reason = c.record.reason
	c.Renewed = token
	return c
}

// finish ends the run that the claim was told to make and returns what to tell its caller.
func (s *state) finish(c Claim, result Result) Claim {
	if !s.runs(c) {
		return s.resume(c)
	}
	s.settle(c.record, result)
	if result.phase != phaseAnswered {
		return s.resume(c)
	}
	s.answers.keep(c.record, result.answer)
	c.Outcome = OutcomeDone
	c.Answer = result.answer
	return c
}

func (s *state) runs(c Claim) bool {
	if c.Outcome != OutcomeRun || c.record == nil {
		return false
	}
	return c.record.phase == phaseRunning && c.record.generation == c.identity.Generation
}

func (s *state) settle(rec *record, result Result) {
	rec.phase = result.phase
	if result.phase == phaseFree {
		rec.generation++
		rec.reason = result.reason[:min(len(result.reason), maxReasonBytes)]
	}
	delete(s.running, rec)
	if rec.done != nil {
		close(rec.done)
		rec.done = nil
	}
}

// sweep forgets what expired and gives up runs past their timeout.
func (s *state) sweep(now timer.Instant) {
	s.forget(now)
	for rec := range s.running {
		if !now.Before(rec.timeout) {
			s.settle(rec, Unknown())
		}
	}
}

func (s *state) forget(now timer.Instant) {
	for _, e := range s.calendar.expire(now) {
		e.record.forgotten = true
		s.answers.drop(e.record)
		delete(e.ledger.records, e.record.number)
	}
	for owner, l := range s.ledgers {
		if l != s.own && !now.Before(l.end.Add(s.cfg.Lifetime)) {
			delete(s.ledgers, owner)
		}
	}
}
