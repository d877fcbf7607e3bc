// Package logquery reads the logs of several hosts, selects the lines about one flow,
// upstream or configuration version, and prints them in chronological order.
package logquery

import (
	"strconv"
	"strings"
	"time"
)

// Line is a parsed line of a host's log.
type Line struct {
	Time  time.Time
	Host  string
	Event string
	// Fields are the remaining key=value pairs in the order of the line.
	Fields []Field
}

// Field is a key=value pair.
type Field struct {
	Key, Value string
}

// Get returns the value of the first field with the key, or "" if there is none.
func (l *Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// timePrefix is the start of a log line. Any text before it was added by the tool that
// collected the logs.
const timePrefix = "time="

// Parse parses a log line. It returns false if the text is not a log line.
func Parse(text string) (Line, bool) {
	start := strings.Index(text, timePrefix)
	if start < 0 {
		return Line{}, false
	}
	var line Line
	rest := text[start:]
	for rest = strings.TrimLeft(rest, " "); rest != ""; rest = strings.TrimLeft(rest, " ") {
		var f Field
		var ok bool
		if f, rest, ok = cutField(rest); !ok {
			return Line{}, false
		}
		if !line.setField(f) {
			return Line{}, false
		}
	}
	return line, line.Event != "" && !line.Time.IsZero()
}

// setField stores the field in the line. It returns false if the field is an invalid
// time.
func (l *Line) setField(f Field) bool {
	switch f.Key {
	case "time":
		var err error
		l.Time, err = time.Parse(time.RFC3339Nano, f.Value)
		return err == nil
	case "event":
		l.Event = f.Value
	case "host":
		l.Host = f.Value
	default:
		l.Fields = append(l.Fields, f)
	}
	return true
}

// cutField returns the first key=value pair of the text, with its value unquoted, and
// the text after it. It returns false if the text does not begin with a valid pair.
func cutField(text string) (f Field, rest string, ok bool) {
	key, value, found := strings.Cut(text, "=")
	if !found || key == "" || strings.ContainsRune(key, ' ') {
		return Field{}, "", false
	}
	if strings.HasPrefix(value, `"`) {
		quoted, err := strconv.QuotedPrefix(value)
		if err != nil {
			return Field{}, "", false
		}
		unquoted, err := strconv.Unquote(quoted)
		return Field{Key: key, Value: unquoted}, value[len(quoted):], err == nil
	}
	bareValue, rest, _ := strings.Cut(value, " ")
	return Field{Key: key, Value: bareValue}, rest, true
}
