package commander

import "fmt"

// Kind classifies the package's errors.
type Kind string

const (
	// KindUsage is a call with wrong arguments.
	KindUsage Kind = "usage"
	// KindInput is a file or document that does not pass its check.
	KindInput Kind = "input"
	// KindConflict is a change that another operator's change came before.
	KindConflict Kind = "conflict"
	// KindUnreachable is a platform or host that does not answer.
	KindUnreachable Kind = "unreachable"
	// KindConfirm is a change that needs a confirmation flag.
	KindConfirm Kind = "confirmation needed"
	// KindLate is a wait that ended before what it waited for.
	KindLate Kind = "late"
	// KindUnknown is a write that may or may not have taken effect.
	KindUnknown Kind = "outcome unknown"
	// KindFailed is any other failure.
	KindFailed Kind = "failed"
)

// Exit codes of the program.
const (
	// ExitOK means that the command did what it was asked to do.
	ExitOK = 0
	// ExitFailed is any failure that has no code of its own.
	ExitFailed = 1
	// ExitUsage means wrong arguments.
	ExitUsage = 2
	// ExitInput means a file or document that does not pass its check.
	ExitInput = 3
	// ExitConflict means that another operator's change came before.
	ExitConflict = 4
	// ExitUnreachable means that the platform or host does not answer.
	ExitUnreachable = 5
	// ExitConfirm means that the change needs a confirmation flag.
	ExitConfirm = 6
	// ExitLate means that a wait ended before what it waited for.
	ExitLate = 7
	// ExitUnknown means that a write may or may not have taken effect.
	ExitUnknown = 8
)

// exitCode is one exit code for the help and the manual.
type exitCode struct {
	code    int
	meaning string
}

var exitCodes = []exitCode{
	{ExitOK, "done"},
	{ExitFailed, "failed for a reason that has no code of its own"},
	{ExitUsage, "wrong arguments"},
	{ExitInput, "a file or document does not pass its check"},
	{ExitConflict, "another operator's change came before; nothing was written"},
	{ExitUnreachable, "the platform or a host does not answer"},
	{ExitConfirm, "the change needs a confirmation flag"},
	{ExitLate, "a wait ended before what it waited for"},
	{ExitUnknown, "a write may or may not have taken effect; read before writing again"},
}

// Error is the package's error: the operation, its kind and the cause.
type Error struct {
	// Op is the operation that failed.
	Op string
	// Kind classifies the failure.
	Kind Kind
	// Err is the cause.
	Err error
}

// Error formats the operation, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

func (e *Error) exitCode() int {
	switch e.Kind {
	case KindUsage:
		return ExitUsage
	case KindInput:
		return ExitInput
	case KindConflict:
		return ExitConflict
	case KindUnreachable:
		return ExitUnreachable
	case KindConfirm:
		return ExitConfirm
	case KindLate:
		return ExitLate
	case KindUnknown:
		return ExitUnknown
	default:
		return ExitFailed
	}
}
