package identifier

import "fmt"

// Kind classifies the package's errors.
type Kind string

const (
	// KindMalformed is a token or handover that does not parse.
	KindMalformed Kind = "malformed"
	// KindForged is a token that its owner did not sign.
	KindForged Kind = "forged"
	// KindExpired is a token past its expiry; its operation may have been run before.
	KindExpired Kind = "expired"
	// KindMismatch is a token used for other work than it was issued for, or a handover to another
	// process.
	KindMismatch Kind = "mismatch"
	// KindConflict is a token that was first used for another path or body, which may have been run.
	KindConflict Kind = "conflict"
	// KindForeign is a token of another owner or of another incarnation of this host.
	KindForeign Kind = "foreign"
	// KindFull is a registry without room for another identity.
	KindFull Kind = "full"
	// KindFrozen is a leaving host's registry, which starts nothing; its successor will.
	KindFrozen Kind = "frozen"
	// KindMoved is a registry whose identities were handed to a successor.
	KindMoved Kind = "moved"
	// KindRandom is a failure of the system's source of random bytes.
	KindRandom Kind = "random"
)

// Error is the package's error: the operation, its kind and the cause.
type Error struct {
	// Op is the operation that failed.
	Op string
	// Kind classifies the failure.
	Kind Kind
	// Err is the cause; it may be nil.
	Err error
}

// Error formats the operation, the kind and the cause.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("identifier: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("identifier: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// NotRun reports whether a refusal with this error may say that the request was not run.
func (e *Error) NotRun() bool {
	switch e.Kind {
	case KindConflict, KindExpired, KindForeign, KindFrozen, KindMoved:
		return false
	default:
		return true
	}
}
