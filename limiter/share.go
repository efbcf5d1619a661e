package limiter

// scale is the number of parts that a unit is counted in.
const scale = 1000

// Share is a part of an account's rate and burst, in thousandths of a unit.
type Share struct {
	// Rate is in thousandths of a unit a second.
	Rate int64
	// Burst is in thousandths of a unit.
	Burst int64
}

// Min returns the smaller rate and the smaller burst.
func (s Share) Min(o Share) Share {
	return Share{Rate: min(s.Rate, o.Rate), Burst: min(s.Burst, o.Burst)}
}

// Max returns the larger rate and the larger burst.
func (s Share) Max(o Share) Share {
	return Share{Rate: max(s.Rate, o.Rate), Burst: max(s.Burst, o.Burst)}
}

// Plus returns the sum of both shares.
func (s Share) Plus(o Share) Share {
	return Share{Rate: s.Rate + o.Rate, Burst: s.Burst + o.Burst}
}

// Minus returns what is left of the share without o, never below zero.
func (s Share) Minus(o Share) Share {
	return Share{Rate: max(0, s.Rate-o.Rate), Burst: max(0, s.Burst-o.Burst)}
}

// Covers reports whether o fits into the share.
func (s Share) Covers(o Share) bool {
	return o.Rate <= s.Rate && o.Burst <= s.Burst
}

// IsZero reports whether the share is empty.
func (s Share) IsZero() bool {
	return s == Share{}
}

// fraction returns the share times f, rounded down.
func (s Share) fraction(f float64) Share {
	return Share{Rate: int64(float64(s.Rate) * f), Burst: int64(float64(s.Burst) * f)}
}

// whole returns the share with its burst rounded down to units; without burst it is empty.
func (s Share) whole() Share {
	s.Burst -= s.Burst % scale
	if s.Burst == 0 {
		return Share{}
	}
	return s
}
