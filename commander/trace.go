package commander

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"sort"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/fescuethread/fescuethread/steerer"
)

// maxLineBytes is the maximum length of a log line; a longer one is an error.
const maxLineBytes = 1 << 20

func init() {
	register(newTrace)
}

func newTrace(env Environment, _ *options) *cobra.Command {
	return &cobra.Command{
		Use:   "trace ID FILE...",
		Short: "Show the log lines of a request and why it ended as it did",
		Long: "Trace collects a request's lines from the log files of hosts, sorts them by time and\n" +
			"adds one sentence that says why the request ended as it did. Text before a line's JSON\n" +
			"object, such as a log collector's prefix, is dropped.",
		Example: "  fescuethread trace 9c41d07be2a35f68 edge-1.log edge-2.log",
		Args:    cobra.MinimumNArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			lines, err := readTrace(args[0], args[1:])
			if err != nil {
				return &Error{Op: "trace", Kind: KindInput, Err: err}
			}
			if len(lines) == 0 {
				cause := errors.Errorf("no log line of request %q in the files", args[0])
				return &Error{Op: "trace", Kind: KindInput, Err: cause}
			}
			for _, l := range lines {
				if _, err := fmt.Fprintln(env.Out, l.text); err != nil {
					return failedError("trace", err)
				}
			}
			_, err = fmt.Fprintln(env.Out, summarize(lines))
			return failedError("trace", err)
		},
	}
}

// traceLine is a log line of the traced request.
type traceLine struct {
	Timestamp string                     `json:"timestamp"`
	Fields    map[string]json.RawMessage `json:"fields"`

	text string
}

func (l *traceLine) field(name string) string {
	return strings.Trim(string(l.Fields[name]), `"`)
}

func (l *traceLine) event() string {
	return l.field("event")
}

func readTrace(id string, files []string) ([]traceLine, error) {
	var lines []traceLine
	for _, file := range files {
		f, err := os.Open(file)
		if err != nil {
			return nil, err
		}
		found, err := scanTrace(id, f)
		_ = f.Close()
		if err != nil {
			return nil, errors.Wrap(err, file)
		}
		lines = append(lines, found...)
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Timestamp < lines[j].Timestamp })
	return lines, nil
}

func scanTrace(id string, f *os.File) ([]traceLine, error) {
	var lines []traceLine
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		_, text, found := strings.Cut(scanner.Text(), "{")
		if !found || !strings.Contains(text, id) {
			continue
		}
		l := traceLine{text: "{" + text}
		if json.Unmarshal([]byte(l.text), &l) == nil && l.field("request") == id {
			lines = append(lines, l)
		}
	}
	return lines, scanner.Err()
}

// summarize returns one sentence that says why the request ended as it did.
func summarize(lines []traceLine) string {
	var failure, final *traceLine
	for i := range lines {
		switch lines[i].event() {
		case fmt.Sprint(steerer.EventAttemptFailed.Number), fmt.Sprint(steerer.EventNoTarget.Number):
			failure = &lines[i]
		case fmt.Sprint(steerer.EventEnded.Number), fmt.Sprint(steerer.EventRejected.Number):
			final = &lines[i]
		}
	}
	if final == nil {
		return "cause: the files hold no end of the request: its host stopped, or lines were dropped"
	}
	text := fmt.Sprintf("cause: host %s answered %s after %s tries and %s ms: %s",
		final.field("self"), final.field("status"), final.field("tries"), final.field("took_ms"),
		final.field("reason"))
	if failure == nil {
		return text
	}
	if failure.event() == fmt.Sprint(steerer.EventNoTarget.Number) {
		return text + fmt.Sprintf("; target %s had a load of %s on %s slots",
			failure.field("target"), failure.field("load"), failure.field("slots"))
	}
	return text + fmt.Sprintf("; target %s: %s (%s)",
		failure.field("target"), failure.field("outcome"), failure.field("cause"))
}
