package registrar

import (
	"fmt"
	"regexp"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2/unstable"
)

// bitsPerByte converts link rates.
const bitsPerByte = 8

// MaxLinkBytesPerSecond bounds the rate of a link.
const MaxLinkBytesPerSecond int64 = 1_000_000_000_000

var linkRate = regexp.MustCompile(`^([0-9]{1,15}(?:\.[0-9]{1,9})?) ?([kMGT]?)(bit|B)/s$`)

var unitFactors = map[string]float64{"": 1, "k": 1e3, "M": 1e6, "G": 1e9, "T": 1e12}

// reader takes typed fields out of a section and reports what is wrong or left over.
type reader struct {
	section section
	known   []string
	faults  *collector
}

func (r *reader) path(name string) string {
	return r.section.path + "." + name
}

func (r *reader) find(name string) (value, bool) {
	if !slices.Contains(r.known, name) {
		r.known = append(r.known, name)
	}
	for _, f := range r.section.fields {
		if f.name == name {
			return f.value, true
		}
	}
	return value{}, false
}

// must finds a field and reports its absence.
func (r *reader) must(name string) (value, bool) {
	v, ok := r.find(name)
	if !ok {
		r.faults.addf(r.path(name), "missing; the field is required")
	}
	return v, ok
}

// typed finds an optional field and reports a value of another type.
func (r *reader) typed(name, example string, kind unstable.Kind) (value, bool) {
	v, ok := r.find(name)
	if !ok {
		return v, false
	}
	return v, r.is(name, example, kind, v)
}

func (r *reader) is(name, example string, kind unstable.Kind, v value) bool {
	if v.kind == kind {
		return true
	}
	r.faults.addf(r.path(name), "is %s; want %s such as %s", article(v.kind), article(kind), example)
	return false
}

func article(kind unstable.Kind) string {
	name := strings.ToLower(kind.String())
	if strings.ContainsRune("aeiou", rune(name[0])) {
		return "an " + name
	}
	return "a " + name
}

// text reads an optional string.
func (r *reader) text(name string) string {
	v, ok := r.typed(name, `"text"`, unstable.String)
	if !ok {
		return ""
	}
	return v.text
}

// mustText reads a required string.
func (r *reader) mustText(name string) string {
	v, ok := r.must(name)
	if !ok || !r.is(name, `"text"`, unstable.String, v) {
		return ""
	}
	if v.text == "" {
		r.faults.addf(r.path(name), "is empty; the field is required")
	}
	return v.text
}

// integer reads an optional integer between two bounds.
func (r *reader) integer(name string, fallback, low, high int64) int64 {
	v, ok := r.find(name)
	if !ok {
		return fallback
	}
	if !r.is(name, strconv.FormatInt(low, 10), unstable.Integer, v) {
		return max(fallback, low)
	}
	n, err := strconv.ParseInt(v.text, 0, 64)
	if err != nil || n < low || n > high {
		r.faults.addf(r.path(name), "is %s; want a number from %d to %d", v.text, low, high)
		return max(fallback, low)
	}
	return n
}

// mustInteger reads a required integer between two bounds.
func (r *reader) mustInteger(name string, low, high int64) int64 {
	if _, ok := r.must(name); !ok {
		return low
	}
	return r.integer(name, low, low, high)
}

// share reads a required number from 0 to 1.
func (r *reader) share(name string) float64 {
	v, ok := r.must(name)
	if !ok {
		return 0
	}
	if v.kind != unstable.Integer && !r.is(name, "0.5", unstable.Float, v) {
		return 0
	}
	n, err := strconv.ParseFloat(strings.ReplaceAll(v.text, "_", ""), 64)
	if err != nil || !(n >= 0 && n <= 1) {
		r.faults.addf(r.path(name), "is %s; want a number from 0 to 1", v.text)
		return 0
	}
	return n
}

func (r *reader) flag(name string) bool {
	v, ok := r.typed(name, "true", unstable.Bool)
	return ok && v.text == "true"
}

// duration reads an optional duration between two bounds.
func (r *reader) duration(name string, fallback, low, high time.Duration) time.Duration {
	v, ok := r.typed(name, `"2s"`, unstable.String)
	if !ok {
		return fallback
	}
	d, err := time.ParseDuration(v.text)
	if err != nil {
		r.faults.addf(r.path(name), `is %q; want a duration with a unit such as "2s" or "35ms"`, v.text)
		return fallback
	}
	if d < low || d > high {
		r.faults.addf(r.path(name), "is %s; want a duration from %s to %s", d, low, high)
		return fallback
	}
	return d
}

// bytesPerSecond reads a required link rate.
func (r *reader) bytesPerSecond(name string) int64 {
	const example = `"4Gbit/s" or "500MB/s"`
	v, ok := r.must(name)
	if !ok || !r.is(name, example, unstable.String, v) {
		return 0
	}
	parts := linkRate.FindStringSubmatch(v.text)
	if parts == nil {
		r.faults.addf(r.path(name), "is %q; want a rate with a unit such as %s", v.text, example)
		return 0
	}
	number, _ := strconv.ParseFloat(parts[1], 64)
	rate := number * unitFactors[parts[2]]
	if parts[3] == "bit" {
		rate /= bitsPerByte
	}
	if rate < 1 || rate > float64(MaxLinkBytesPerSecond) {
		r.faults.addf(r.path(name), "is %q; want a rate from 8bit/s to 8Tbit/s", v.text)
		return 0
	}
	return int64(rate)
}

// list reads an optional list of strings and reports whether it is present.
func (r *reader) list(name string) ([]string, bool) {
	v, ok := r.typed(name, `["text"]`, unstable.Array)
	if !ok {
		return nil, false
	}
	texts := make([]string, 0, len(v.items))
	for i, item := range v.items {
		element := fmt.Sprintf("%s[%d]", name, i)
		if !r.is(element, `"text"`, unstable.String, item) {
			continue
		}
		if slices.Contains(texts, item.text) {
			r.faults.addf(r.path(element), "lists %q twice; list it once", item.text)
			continue
		}
		texts = append(texts, item.text)
	}
	return texts, true
}

// mustList reads a required list of strings.
func (r *reader) mustList(name string) []string {
	if _, ok := r.must(name); !ok {
		return nil
	}
	texts, ok := r.list(name)
	if ok && len(texts) == 0 {
		r.faults.addf(r.path(name), "is empty; list at least one")
	}
	return texts
}

// weights reads a required table of zones with their shares.
func (r *reader) weights(name string) []Weight {
	v, ok := r.must(name)
	if !ok || !r.is(name, "{ east-a = 2, east-b = 1 }", unstable.InlineTable, v) {
		return nil
	}
	weights := make([]Weight, 0, len(v.fields))
	for _, f := range v.fields {
		n, err := strconv.ParseInt(f.value.text, 0, 32)
		if f.value.kind != unstable.Integer || err != nil || n < 0 || n > maxWeight {
			r.faults.addf(r.path(name), "gives %q no number from 0 to %d", f.name, maxWeight)
			continue
		}
		weights = append(weights, Weight{Zone: f.name, Weight: int(n)})
	}
	sort.Slice(weights, func(i, j int) bool { return weights[i].Zone < weights[j].Zone })
	return weights
}

// finish reports the fields that nothing has asked for.
func (r *reader) finish() {
	for _, f := range r.section.fields {
		if slices.Contains(r.known, f.name) {
			continue
		}
		r.faults.addf(r.path(f.name), "unknown field; the fields are %s", strings.Join(r.known, ", "))
	}
}

// skip accepts all fields of a section that can't be read.
func (r *reader) skip() {
	for _, f := range r.section.fields {
		r.known = append(r.known, f.name)
	}
}
