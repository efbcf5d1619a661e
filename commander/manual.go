package commander

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"
)

const manualHead = `# Commands

The program "fescuethread" runs hosts and has commands for operators. Results go to standard
output, errors to standard error. "fescuethread COMMAND --help" prints the same texts. The command
"go test ./commander -update" generates this page.

## Exit codes

| code | meaning |
|---|---|
`

// Manual returns the content of docs/COMMANDS.md: the help of every command.
func Manual() string {
	var b strings.Builder
	b.WriteString(manualHead)
	for _, c := range exitCodes {
		fmt.Fprintf(&b, "| %d | %s |\n", c.code, c.meaning)
	}
	root := newRoot(Environment{}, &options{})
	b.WriteString("\n## Options of all commands\n\n")
	writeBlock(&b, root.PersistentFlags().FlagUsages())
	for _, cmd := range root.Commands() {
		writeCommand(&b, cmd)
	}
	return b.String()
}

func writeCommand(b *strings.Builder, cmd *cobra.Command) {
	fmt.Fprintf(b, "\n## %s\n\n%s.\n", cmd.CommandPath(), cmd.Short)
	if !cmd.HasSubCommands() {
		b.WriteString("\n")
		writeBlock(b, cmd.UseLine())
	}
	if cmd.Long != "" {
		fmt.Fprintf(b, "\n%s\n", cmd.Long)
	}
	if cmd.HasAvailableLocalFlags() {
		b.WriteString("\nOptions:\n\n")
		writeBlock(b, cmd.LocalFlags().FlagUsages())
	}
	if cmd.Example != "" {
		b.WriteString("\nExamples:\n\n")
		writeBlock(b, cmd.Example)
	}
	for _, sub := range cmd.Commands() {
		writeCommand(b, sub)
	}
}

// writeBlock writes text as a code block; each line loses up to two spaces of indentation.
func writeBlock(b *strings.Builder, text string) {
	b.WriteString("```\n")
	for line := range strings.Lines(strings.TrimRight(text, "\n")) {
		b.WriteString(strings.TrimRight(strings.TrimPrefix(line, "  "), " \n") + "\n")
	}
	b.WriteString("```\n")
}
