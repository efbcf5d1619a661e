package commander

import (
	"flag"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/spf13/cobra"

	"github.com/fescuethread/fescuethread/logger"
)

var updatePages = flag.Bool("update", false, "regenerate the generated pages")

func TestEventsPageIsCurrent(t *testing.T) {
	checkPage(t, "../docs/EVENTS.md", logger.CatalogueMarkdown())
}

func TestCommandsPageIsCurrent(t *testing.T) {
	checkPage(t, "../docs/COMMANDS.md", Manual())
}

func checkPage(t *testing.T, file, want string) {
	t.Helper()
	if *updatePages {
		if err := os.WriteFile(file, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	page, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if string(page) != want {
		t.Fatalf("%s differs from the code; run go test ./commander -update", file)
	}
}

var defineCall = regexp.MustCompile(`logger\.Define\((\d+),`)

// TestEventsOfAllPackagesAreListed fails if a package that defines events isn't linked into the test
// binary, since the generated page would lack them.
func TestEventsOfAllPackagesAreListed(t *testing.T) {
	files, err := filepath.Glob("../*/*.go")
	if err != nil {
		t.Fatal(err)
	}
	defined := 0
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, match := range defineCall.FindAllStringSubmatch(string(data), -1) {
			defined++
			if !strings.Contains(logger.CatalogueMarkdown(), "\n| "+match[1]+" | ") {
				t.Errorf("%s defines event %s, which is missing from the page", file, match[1])
			}
		}
	}
	if listed := len(logger.Catalogue()); listed != defined {
		t.Errorf("the page lists %d events, the source files define %d", listed, defined)
	}
}

func TestEventsAreDescribed(t *testing.T) {
	for _, e := range logger.Catalogue() {
		if e.Name == "" || !strings.HasSuffix(e.Meaning, ".") || !strings.HasSuffix(e.Action, ".") {
			t.Errorf("event %d needs a name, and a sentence each for meaning and action", e.Number)
		}
		if strings.Contains(e.Meaning+e.Action, "|") {
			t.Errorf("the text of event %d contains the table separator |", e.Number)
		}
	}
}

func TestCommandsHaveHelp(t *testing.T) {
	for _, cmd := range newRoot(Environment{}, &options{}).Commands() {
		checkHelp(t, cmd)
	}
}

var exitConstant = regexp.MustCompile(`(?m)^\tExit\w+ = (\d+)$`)

func TestExitCodesAreListed(t *testing.T) {
	defined := exitConstant.FindAllStringSubmatch(readFile(t, "error.go"), -1)
	if len(defined) != len(exitCodes) {
		t.Fatalf("%d exit codes are defined, %d are listed", len(defined), len(exitCodes))
	}
	for i, code := range defined {
		if strconv.Itoa(exitCodes[i].code) != code[1] {
			t.Errorf("exit code %s is listed as %d", code[1], exitCodes[i].code)
		}
	}
}

func checkHelp(t *testing.T, cmd *cobra.Command) {
	t.Helper()
	if cmd.Short == "" {
		t.Errorf("%s lacks a summary", cmd.CommandPath())
	}
	if !cmd.HasSubCommands() && cmd.Example == "" {
		t.Errorf("%s lacks an example", cmd.CommandPath())
	}
	for _, line := range commandLine.FindAllStringSubmatch(cmd.Example, -1) {
		checkCommand(t, cmd.CommandPath(), strings.Fields(line[1]))
	}
	for _, sub := range cmd.Commands() {
		checkHelp(t, sub)
	}
}
