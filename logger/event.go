package logger

import (
	"fmt"
	"sort"
	"sync"

	"github.com/apex/log"
)

// Event is a kind of log line, identified by a number.
type Event struct {
	// Number identifies the event in logs and in the catalogue.
	Number int
	// Name is the message of the log line.
	Name string
	// Level is the severity that the event is logged with.
	Level log.Level
	// Meaning says in one sentence what has happened.
	Meaning string
	// Action says in one sentence what the operator should do.
	Action string
}

var (
	catalogueMu sync.Mutex
	catalogue   = make(map[int]Event)
)

// Define registers an event in the catalogue; it panics on a number that is already in use.
func Define(number int, level log.Level, name, meaning, action string) Event {
	catalogueMu.Lock()
	defer catalogueMu.Unlock()
	if other, ok := catalogue[number]; ok {
		panic(fmt.Sprintf("logger: event %d is defined twice, as %q and %q", number, other.Name, name))
	}
	e := Event{Number: number, Name: name, Level: level, Meaning: meaning, Action: action}
	catalogue[number] = e
	return e
}

// Catalogue returns all defined events in the order of their numbers.
func Catalogue() []Event {
	catalogueMu.Lock()
	defer catalogueMu.Unlock()
	events := make([]Event, 0, len(catalogue))
	for _, e := range catalogue {
		events = append(events, e)
	}
	sort.Slice(events, func(i, j int) bool { return events[i].Number < events[j].Number })
	return events
}
