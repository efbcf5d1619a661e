package loader

import (
	"bytes"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// Load reads settings from a file and checks them as a whole.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, &Error{Op: "load " + file, Kind: KindRead, Err: err}
	}
	return Parse(file, data)
}

// Parse decodes settings over the defaults and checks them as a whole; file is named in errors.
func Parse(file string, data []byte) (Settings, error) {
	s := Defaults()
	d := toml.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return Settings{}, &Error{Op: "load " + file, Kind: KindSyntax, Err: explain(err)}
	}
	if faults := check(s); len(faults) > 0 {
		cause := errors.New(strings.Join(faults, "\n"))
		return Settings{}, &Error{Op: "load " + file, Kind: KindValue, Err: cause}
	}
	return s, nil
}

func explain(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		return unknownFields(strict)
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, column := decode.Position()
		key := strings.Join(decode.Key(), ".")
		return errors.Errorf("line %d, column %d, field %q: %s", row, column, key, decode.Error())
	}
	return err
}

func unknownFields(strict *toml.StrictMissingError) error {
	lines := make([]string, 0, len(strict.Errors))
	for i := range strict.Errors {
		e := &strict.Errors[i]
		row, _ := e.Position()
		key := strings.Join(e.Key(), ".")
		line := errors.Errorf("line %d: unknown field %q; see docs/SETTINGS.md", row, key)
		lines = append(lines, line.Error())
	}
	return errors.New(strings.Join(lines, "\n"))
}
