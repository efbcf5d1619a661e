package commander

import (
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/fescuethread/fescuethread/logger"
)

const (
	pageAPI        = "../docs/API.md"
	pageOperations = "../docs/OPERATIONS.md"
)

var (
	reasonConstant = regexp.MustCompile(`\bReason\w+\s+Reason = "([^"]+)"`)
	metricName     = regexp.MustCompile(`"(fescuethread_[a-z_]+)`)
	eventRow       = regexp.MustCompile(`(?m)^\| ([\d, ]+) \|`)
	commandLine    = regexp.MustCompile(`(?m)^ +(?:\$ )?fescuethread ([^\n|;]+)`)
)

func TestRunbookHasEveryEvent(t *testing.T) {
	page := readFile(t, pageOperations)
	_, events, found := strings.Cut(page, "\n## Events\n")
	if !found {
		t.Fatal("the section Events is missing")
	}
	events, _, _ = strings.Cut(events, "\n## ")
	listed := make(map[string]bool)
	for _, row := range eventRow.FindAllStringSubmatch(events, -1) {
		for number := range strings.SplitSeq(row[1], ", ") {
			listed[number] = true
		}
	}
	for _, e := range logger.Catalogue() {
		if !listed[strconv.Itoa(e.Number)] {
			t.Errorf("%s lacks event %d", pageOperations, e.Number)
		}
		delete(listed, strconv.Itoa(e.Number))
	}
	for number := range listed {
		t.Errorf("%s lists event %s, which is not defined", pageOperations, number)
	}
}

func TestPageHasEveryReason(t *testing.T) {
	page := readFile(t, pageAPI)
	reasons := reasonConstant.FindAllStringSubmatch(readFile(t, "../steerer/reason.go"), -1)
	if len(reasons) == 0 {
		t.Fatal("no reasons found in steerer")
	}
	for _, reason := range reasons {
		if !strings.Contains(page, "\n| `"+reason[1]+"` |") {
			t.Errorf("%s lacks the reason %q", pageAPI, reason[1])
		}
	}
}

func TestRunbookHasEveryMetric(t *testing.T) {
	page := readFile(t, pageOperations)
	files, err := filepath.Glob("../*/*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		for _, metric := range metricName.FindAllStringSubmatch(readFile(t, file), -1) {
			if !strings.Contains(page, metric[1]) {
				t.Errorf("%s lacks the metric %s, defined in %s", pageOperations, metric[1], file)
			}
		}
	}
}

// TestCommandsOfPagesParse parses the arguments of every command shown in the docs, without running
// it.
func TestCommandsOfPagesParse(t *testing.T) {
	pages, err := filepath.Glob("../docs/*.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, page := range append(pages, "../README.md") {
		for _, line := range commandLine.FindAllStringSubmatch(readFile(t, page), -1) {
			checkCommand(t, page, strings.Fields(line[1]))
		}
	}
}

func checkCommand(t *testing.T, page string, args []string) {
	t.Helper()
	cmd, rest, err := newRoot(Environment{}, &options{}).Find(args)
	if err != nil {
		t.Errorf("%s: %v: %v", page, args, err)
		return
	}
	if err := cmd.ParseFlags(rest); err != nil {
		t.Errorf("%s: %v: %v", page, args, err)
		return
	}
	if err := cmd.ValidateArgs(cmd.Flags().Args()); err != nil {
		t.Errorf("%s: %v: %v", page, args, err)
	}
	if err := cmd.ValidateRequiredFlags(); err != nil {
		t.Errorf("%s: %v: %v", page, args, err)
	}
}

func readFile(t *testing.T, file string) string {
	t.Helper()
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}
