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

var updatePages = flag.Bool("update", false, "write the generated pages anew")

func TestEventsAreCommitted(t *testing.T) {
	checkPage(t, "../docs/EVENTS.md", logger.Manual())
}

func TestCommandsAreCommitted(t *testing.T) {
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

var definition = regexp.MustCompile(`logger\.Define\((\d+),`)

// TestEventsOfAllPackagesAreListed finds events of packages that this test binary does not link.
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
		for _, match := range definition.FindAllStringSubmatch(string(data), -1) {
			defined++
			if !strings.Contains(logger.Manual(), "\n| "+match[1]+" | ") {
				t.Errorf("%s defines event %s, which the page lacks", file, match[1])
			}
		}
	}
	if listed := len(logger.Catalogue()); listed != defined {
		t.Errorf("the page lists %d events, the tree defines %d", listed, defined)
	}
}

func TestEventsAreDescribed(t *testing.T) {
	for _, e := range logger.Catalogue() {
		if e.Name == "" || !strings.HasSuffix(e.Meaning, ".") || !strings.HasSuffix(e.Action, ".") {
			t.Errorf("event %d lacks a name, or a whole sentence of meaning or action", e.Number)
		}
		if strings.Contains(e.Meaning+e.Action, "|") {
			t.Errorf("event %d holds a table's separator", e.Number)
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
	defined := exitConstant.FindAllStringSubmatch(readPage(t, "error.go"), -1)
	if len(defined) != len(exitCodes) {
		t.Fatalf("%d exit codes are defined, %d listed", len(defined), len(exitCodes))
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
