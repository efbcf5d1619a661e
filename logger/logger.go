package logger

import (
	"io"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/text"
)

// Format is the output format of log lines.
type Format string

const (
	// FormatJSON writes one JSON object per line.
	FormatJSON Format = "json"
	// FormatText writes aligned, human-readable text.
	FormatText Format = "text"
)

// Logger writes events as log lines.
type Logger struct {
	entry *log.Entry
}

// Field is one named value of a log line.
type Field struct {
	// Name is the field's key in the log line.
	Name string
	// Value is formatted by the log library.
	Value interface{}
}

// F returns a field.
func F(name string, value interface{}) Field {
	return Field{Name: name, Value: value}
}

// New returns a logger that writes to w and drops events below level.
func New(w io.Writer, format Format, level log.Level) *Logger {
	l := &log.Logger{Level: level}
	if format == FormatText {
		l.Handler = text.New(w)
	} else {
		l.Handler = json.New(w)
	}
	return &Logger{entry: log.NewEntry(l)}
}

// With returns a logger that adds the fields to each event.
func (l *Logger) With(fields ...Field) *Logger {
	return &Logger{entry: l.entry.WithFields(toFields(fields))}
}

// Log writes an event with the fields, unless its level is below the logger's.
func (l *Logger) Log(e Event, fields ...Field) {
	if e.Level < l.entry.Logger.Level {
		return
	}
	f := toFields(fields)
	f["event"] = e.Number
	entry := l.entry.WithFields(f)
	switch e.Level {
	case log.DebugLevel:
		entry.Debug(e.Name)
	case log.WarnLevel:
		entry.Warn(e.Name)
	case log.ErrorLevel, log.FatalLevel:
		// Entry.Fatal would end the process.
		entry.Error(e.Name)
	default:
		entry.Info(e.Name)
	}
}

func toFields(fields []Field) log.Fields {
	f := make(log.Fields, len(fields)+1)
	for _, field := range fields {
		f[field.Name] = field.Value
	}
	return f
}
