package commander

import "fmt"

// Kind classifies the package's errors.
type Kind string

const (
	// KindUsage is a call with invalid arguments.
	KindUsage Kind = "usage"
	// KindInput is an input file that is unreadable, invalid or lacks the requested data.
	KindInput Kind = "input"
	// KindUnreachable is a store that is unreachable or unavailable.
	KindUnreachable Kind = "unreachable"
	// KindFailed is any other failure.
	KindFailed Kind = "failed"
)

// Exit codes of the program.
const (
	// ExitOK means success.
	ExitOK = 0
	// ExitFailed means a failure that has no exit code of its own.
	ExitFailed = 1
	// ExitUsage means invalid arguments.
	ExitUsage = 2
	// ExitInput means an input file that is unreadable, invalid or lacks the requested data.
	ExitInput = 3
	// ExitUnreachable means that the store is unreachable or unavailable.
	ExitUnreachable = 4
)

// exitCode describes an exit code in the help and the manual.
type exitCode struct {
	code    int
	meaning string
}

var exitCodes = []exitCode{
	{ExitOK, "success"},
	{ExitFailed, "any other failure"},
	{ExitUsage, "invalid arguments"},
	{ExitInput, "an input file is unreadable, invalid or lacks the requested data"},
	{ExitUnreachable, "the store is unreachable or unavailable"},
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
	case KindUnreachable:
		return ExitUnreachable
	default:
		return ExitFailed
	}
}
