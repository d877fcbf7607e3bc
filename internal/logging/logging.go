// Package logging provides loggers that write each event as one line of key=value
// pairs.
package logging

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/rs/zerolog"
)

// New returns a logger that writes events of the given level and above to w.
// The level is debug, info, warn or error.
func New(w io.Writer, level string) (zerolog.Logger, error) {
	return newLogger(newConsoleWriter(w), level)
}

// NewRateLimited returns a logger like that of New, but one that never blocks, because
// it writes to a RateLimitedWriter.
func NewRateLimited(w *RateLimitedWriter, level string) (zerolog.Logger, error) {
	return newLogger(w, level)
}

func newLogger(w io.Writer, level string) (zerolog.Logger, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil || parsed < zerolog.DebugLevel || parsed > zerolog.ErrorLevel {
		return zerolog.Nop(), fmt.Errorf("unknown log level %q: use debug, info, warn or error", level)
	}
	return zerolog.New(w).Level(parsed).With().Timestamp().Logger(), nil
}

// newConsoleWriter returns a writer that converts zerolog's JSON to key=value pairs.
func newConsoleWriter(w io.Writer) zerolog.ConsoleWriter {
	return zerolog.ConsoleWriter{
		Out:             w,
		NoColor:         true,
		FormatTimestamp: func(v any) string { return "time=" + fmt.Sprint(v) },
		FormatLevel:     func(v any) string { return "level=" + fmt.Sprint(v) },
		FormatMessage:   func(v any) string { return "event=" + formatEvent(v) },
	}
}

// formatEvent returns the event name, quoted if it is empty or contains characters that
// would break the line or the key=value format.
func formatEvent(v any) string {
	text, _ := v.(string)
	if text != "" && !strings.ContainsAny(text, " \t\r\n\"=\\") {
		return text
	}
	return fmt.Sprintf("%q", text)
}

func init() {
	// zerolog has only global settings for these, none for a single logger.
	zerolog.TimeFieldFormat = time.RFC3339Nano
	zerolog.MessageFieldName = "event"
}
