package sharer

import (
	"time"

	"github.com/fescuethread/fescuethread/timer"
)

// LotTTL is how long a host without a share may spend tokens that a holder has sent, from its
// request on. Tokens that are kept longer would add to the burst of all hosts together.
const LotTTL = 300 * time.Millisecond

// lot is a number of tokens from one transfer.
type lot struct {
	tokens    uint32
	expiresAt timer.Instant
}

// lots holds the tokens of a host without a share, those that expire first in front.
type lots []lot

// add adds the tokens of a transfer that was requested at requestedAt.
func (l *lots) add(now, requestedAt timer.Instant, tokens uint32) {
	l.expire(now)
	expiresAt := requestedAt.Add(LotTTL)
	if tokens == 0 || requestedAt > now || !now.Before(expiresAt) {
		return
	}
	at := len(*l)
	for at > 0 && (*l)[at-1].expiresAt > expiresAt {
		at--
	}
	*l = append(*l, lot{})
	copy((*l)[at+1:], (*l)[at:])
	(*l)[at] = lot{tokens: tokens, expiresAt: expiresAt}
}

// spend spends one token, or returns false if there is none.
func (l *lots) spend(now timer.Instant) bool {
	l.expire(now)
	if len(*l) == 0 {
		return false
	}
	(*l)[0].tokens--
	if (*l)[0].tokens == 0 {
		*l = (*l)[1:]
	}
	return true
}

func (l *lots) expire(now timer.Instant) {
	for len(*l) > 0 && !now.Before((*l)[0].expiresAt) {
		*l = (*l)[1:]
	}
}
