package conductor

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// Problem is a setting that is invalid, or unknown.
type Problem struct {
	// Line is the line of the key in the file; 0 if the key is missing.
	Line int `json:"line"`
	// Key is the key with its table.
	Key string `json:"key"`
	// Found is the value that was found.
	Found string `json:"found,omitempty"`
	// Allowed says which values are allowed.
	Allowed string `json:"allowed"`
	// Warning says that the file can be used all the same.
	Warning bool `json:"warning"`
}

// String formats the problem in one line, without the file.
func (p Problem) String() string {
	place := "missing"
	if p.Line > 0 {
		place = fmt.Sprintf("line %d", p.Line)
	}
	if p.Warning {
		return fmt.Sprintf("warning: %s (%s) is unknown and ignored", p.Key, place)
	}
	return fmt.Sprintf("%s (%s) is %s; allowed: %s", p.Key, place, p.Found, p.Allowed)
}

// unknownKeys returns a warning for each key that has no setting.
func unknownKeys(data []byte) []Problem {
	d := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	var missing *toml.StrictMissingError
	if !errors.As(d.Decode(&Settings{}), &missing) {
		return nil
	}
	var list []Problem
	for i := range missing.Errors {
		key := strings.Join(missing.Errors[i].Key(), ".")
		list = append(list, Problem{Key: key, Allowed: "a known key", Warning: true})
	}
	return list
}

// keyLines returns the line of each key of a TOML file, by the key with its table.
func keyLines(data []byte) map[string]int {
	lines := map[string]int{}
	table := ""
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			table = strings.Trim(line, "[] ")
			continue
		}
		key, _, found := strings.Cut(line, "=")
		if !found || strings.HasPrefix(line, "#") {
			continue
		}
		name := strings.Trim(strings.TrimSpace(key), `"`)
		if table != "" {
			name = table + "." + name
		}
		lines[name] = i + 1
	}
	return lines
}
