package logger

import (
	"fmt"
	"strings"
)

const catalogueHeader = `# Log events

Each log line carries its event's number in the field "event" and the event's name as its message.
docs/OPERATIONS.md says for each number what to check. The command
"go test ./commander -update" generates this page.

| number | level | name | meaning | action |
|---|---|---|---|---|
`

// CatalogueMarkdown returns the content of docs/EVENTS.md: a table of all events of the linked
// packages.
func CatalogueMarkdown() string {
	var b strings.Builder
	b.WriteString(catalogueHeader)
	for _, e := range Catalogue() {
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s |\n",
			e.Number, e.Level, e.Name, e.Meaning, e.Action)
	}
	return b.String()
}
