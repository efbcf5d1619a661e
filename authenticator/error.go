package authenticator

import "fmt"

// Kind classifies the package's errors.
type Kind string

const (
	// KindDocument is a key document that can't be read or has a fault.
	KindDocument Kind = "document"
	// KindMalformed is a text that no key can have.
	KindMalformed Kind = "malformed"
	// KindUnknown is a key or digest that the document doesn't list.
	KindUnknown Kind = "unknown"
	// KindWithdrawn is a key that has been withdrawn.
	KindWithdrawn Kind = "withdrawn"
	// KindDuplicate is a digest that the document lists already.
	KindDuplicate Kind = "duplicate"
	// KindCustomer is a customer that is missing or isn't in the inventory.
	KindCustomer Kind = "customer"
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
		return fmt.Sprintf("authenticator: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("authenticator: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
