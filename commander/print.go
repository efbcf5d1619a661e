package commander

import (
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// printable is a result with a text form; its JSON form follows from its struct tags.
type printable interface {
	text() string
}

// print writes a result in the output format.
func (o *options) print(w io.Writer, result printable) error {
	if o.output == outputText {
		return failedError("print", writeString(w, result.text()))
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return failedError("print", encoder.Encode(result))
}

func writeString(w io.Writer, s string) error {
	_, err := io.WriteString(w, s)
	return err
}

// failedError wraps err as KindFailed; a nil err stays nil.
func failedError(op string, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Op: op, Kind: KindFailed, Err: errors.WithStack(err)}
}
