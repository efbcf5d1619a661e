package registrar

import (
	"fmt"
	"sort"
	"strings"
)

// Fault is one mistake in an inventory: where it stands and what would be right.
type Fault struct {
	// File is the name of the document.
	File string
	// Line counts from 1; 0 means that the fault belongs to no line.
	Line int
	// Path names the field, such as "hosts[2].zone"; indexes count from 0.
	Path string
	// Message says what is wrong and what would be right.
	Message string
}

// String formats the fault as "file:line: path: message".
func (f Fault) String() string {
	var b strings.Builder
	if f.File != "" {
		b.WriteString(f.File + ":")
	}
	if f.Line > 0 {
		fmt.Fprintf(&b, "%d:", f.Line)
	}
	if b.Len() > 0 {
		b.WriteString(" ")
	}
	if f.Path != "" {
		b.WriteString(f.Path + ": ")
	}
	b.WriteString(f.Message)
	return b.String()
}

// Faults lists all mistakes of an inventory in the order of their lines.
type Faults []Fault

// Error joins the faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// collector gathers faults and knows the line of each field.
type collector struct {
	file   string
	lines  map[string]int
	seen   map[string]bool
	faults Faults
}

func newCollector(file string) *collector {
	return &collector{
		file:  file,
		lines: make(map[string]int),
		seen:  make(map[string]bool),
	}
}

func (c *collector) place(path string, line int) {
	c.lines[path] = line
}

// addf records the first fault of each path, so that one mistake isn't reported twice.
func (c *collector) addf(path, format string, args ...any) {
	if c.seen[path] {
		return
	}
	c.seen[path] = true
	c.faults = append(c.faults, Fault{
		File:    c.file,
		Line:    c.line(path),
		Path:    path,
		Message: fmt.Sprintf(format, args...),
	})
}

// line finds the line of a path, or of the nearest section that encloses it.
func (c *collector) line(path string) int {
	for path != "" {
		if line, ok := c.lines[path]; ok {
			return line
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 0
}

func (c *collector) err(op string) error {
	if len(c.faults) == 0 {
		return nil
	}
	sort.SliceStable(c.faults, func(i, j int) bool {
		return c.faults[i].Line < c.faults[j].Line
	})
	return &Error{Op: op, Kind: KindInvalid, Err: c.faults}
}
