package loader

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Duration is a time span written with a unit, such as "2s" or "150ms".
type Duration time.Duration

// UnmarshalText parses a duration and demands its unit.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("%q is no duration; write it like \"2s\" or \"150ms\"", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText formats the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Std returns the standard library's type.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// Size is a number of bytes written with a unit, such as "64KiB" or "1MiB".
type Size int64

const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20
	gibibyte = 1 << 30
)

type sizeUnit struct {
	suffix string
	factor int64
}

func sizeUnits() []sizeUnit {
	return []sizeUnit{
		{"GiB", gibibyte},
		{"MiB", mebibyte},
		{"KiB", kibibyte},
		{"B", 1},
	}
}

// UnmarshalText parses a size and demands its unit.
func (s *Size) UnmarshalText(text []byte) error {
	for _, u := range sizeUnits() {
		number, ok := strings.CutSuffix(string(text), u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(number, 10, 32)
		if err != nil || n < 0 {
			break
		}
		*s = Size(n * u.factor)
		return nil
	}
	return errors.Errorf("%q is no size; write it like \"64KiB\" or \"1MiB\"", text)
}

// MarshalText formats the size with the largest unit that divides it.
func (s Size) MarshalText() ([]byte, error) {
	for _, u := range sizeUnits() {
		if int64(s)%u.factor == 0 {
			return []byte(strconv.FormatInt(int64(s)/u.factor, 10) + u.suffix), nil
		}
	}
	return []byte(strconv.FormatInt(int64(s), 10) + "B"), nil
}
