package registrar

import (
	"errors"
	"fmt"
	"sort"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// section is one [[name]] table of the document.
type section struct {
	name   string
	path   string
	fields []field
}

// field is a name with its value.
type field struct {
	name  string
	line  int
	value value
}

// value is a TOML value as written.
type value struct {
	kind   unstable.Kind
	text   string
	items  []value
	fields []field
}

// scanner splits a document into its sections.
type scanner struct {
	parser   unstable.Parser
	newlines []int
	counts   map[string]int
	sections []section
	faults   *collector
}

// scan returns the document's sections; faults of layout go to the collector.
func scan(data []byte, faults *collector) ([]section, error) {
	if err := checkSyntax(data, faults); err != nil {
		return nil, err
	}
	s := &scanner{counts: make(map[string]int), faults: faults}
	for i, b := range data {
		if b == '\n' {
			s.newlines = append(s.newlines, i)
		}
	}
	s.parser.Reset(data)
	for s.parser.NextExpression() {
		s.expression(s.parser.Expression())
	}
	if err := s.parser.Error(); err != nil {
		return nil, &Error{Op: "parse", Kind: KindSyntax, Err: err}
	}
	return s.sections, nil
}

func checkSyntax(data []byte, faults *collector) error {
	var document map[string]any
	err := toml.Unmarshal(data, &document)
	if err == nil {
		return nil
	}
	fault := Fault{File: faults.file, Message: err.Error()}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		fault.Line, _ = decode.Position()
	}
	return &Error{Op: "parse", Kind: KindSyntax, Err: Faults{fault}}
}

func (s *scanner) line(n *unstable.Node) int {
	return sort.SearchInts(s.newlines, int(n.Raw.Offset)) + 1
}

func (s *scanner) expression(n *unstable.Node) {
	switch n.Kind {
	case unstable.ArrayTable:
		s.open(n)
	case unstable.KeyValue:
		s.assign(n)
	default:
		name, line := s.key(n)
		s.faults.place(name, line)
		s.faults.addf(name, "write [[%s]] in place of [%s]", name, name)
		s.sections = append(s.sections, section{})
	}
}

func (s *scanner) open(n *unstable.Node) {
	name, line := s.key(n)
	path := fmt.Sprintf("%s[%d]", name, s.counts[name])
	s.counts[name]++
	s.faults.place(path, line)
	s.sections = append(s.sections, section{name: name, path: path})
}

func (s *scanner) assign(n *unstable.Node) {
	f := s.field(n)
	if len(s.sections) == 0 {
		s.faults.place(f.name, f.line)
		s.faults.addf(f.name, "a field must stand below a section such as [[hosts]]")
		return
	}
	current := &s.sections[len(s.sections)-1]
	if current.name == "" {
		return
	}
	s.faults.place(current.path+"."+f.name, f.line)
	current.fields = append(current.fields, f)
}

func (s *scanner) field(n *unstable.Node) field {
	name, line := s.key(n)
	return field{name: name, line: line, value: s.value(n.Value())}
}

// key returns the dotted name of a table or field and its line.
func (s *scanner) key(n *unstable.Node) (string, int) {
	name := ""
	line := 0
	it := n.Key()
	for it.Next() {
		if line == 0 {
			line = s.line(it.Node())
		} else {
			name += "."
		}
		name += string(it.Node().Data)
	}
	return name, line
}

func (s *scanner) value(n *unstable.Node) value {
	v := value{kind: n.Kind, text: string(n.Data)}
	it := n.Children()
	for it.Next() {
		child := it.Node()
		if child.Kind == unstable.KeyValue {
			v.fields = append(v.fields, s.field(child))
			continue
		}
		v.items = append(v.items, s.value(child))
	}
	return v
}
