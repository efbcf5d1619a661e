package commander

import (
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// texter is a result that people can read.
type texter interface {
	text() string
}

// print writes a result in the form that the operator asked for.
func (o *options) print(w io.Writer, result texter) error {
	if o.output == outputText {
		return failed("print", writeString(w, result.text()))
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return failed("print", encoder.Encode(result))
}

func writeString(w io.Writer, s string) error {
	_, err := io.WriteString(w, s)
	return err
}

func failed(op string, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Op: op, Kind: KindFailed, Err: errors.WithStack(err)}
}
