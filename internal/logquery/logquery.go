package logquery

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

const (
	// maxLineBytes is the maximum length of a log line.
	maxLineBytes = 1 << 20
	// contextBefore and contextAfter are the times before a flow's first line and after
	// its last line within which lines of a flowContext are selected.
	contextBefore = 10 * time.Second
	contextAfter  = 3 * time.Second
)

// Filter selects log lines. Zero fields are ignored. Flow takes precedence over
// Upstream, Upstream over Version, and Version over Evacuation.
type Filter struct {
	// Flow is the flow's ID, CALLER>ADDRESS, or the address of its caller alone.
	Flow string
	// Upstream is an upstream's name.
	Upstream string
	// Version is the version of a configuration.
	Version string
	// Evacuation is the data centre of evacuations.
	Evacuation string
	// Since and Until are the earliest and the latest time of selected lines, both
	// inclusive.
	Since, Until time.Time
}

// Read reads a log. It skips lines of text that are not log lines, or longer than
// maxLineBytes, and returns their number.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	reader := bufio.NewReader(r)
	var text []byte
	for tooLong := false; ; {
		part, isPrefix, err := reader.ReadLine()
		switch {
		case errors.Is(err, io.EOF):
			return lines, skipped, nil
		case err != nil:
			return lines, skipped, fmt.Errorf("read log: %w", err)
		}
		if tooLong = tooLong || len(text)+len(part) > maxLineBytes; !tooLong {
			text = append(text, part...)
		}
		if isPrefix {
			continue
		}
		if line, ok := Parse(string(text)); ok && !tooLong {
			lines = append(lines, line)
		} else {
			skipped++
		}
		text, tooLong = text[:0], false
	}
}

// Select returns the lines that the filter selects, sorted by time. If the filter has a
// flow, these include the lines of its flowContext, which explain decisions about it.
func Select(lines []Line, filter Filter) []Line {
	var selected []Line
	nearby := newFlowContext(lines, filter)
	for i := range lines {
		l := &lines[i]
		if filter.inTimeRange(l.Time) && (filter.matches(l) || nearby.contains(l)) {
			selected = append(selected, *l)
		}
	}
	slices.SortStableFunc(selected, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return selected
}

// inTimeRange reports whether the time is not before Since and not after Until.
func (f *Filter) inTimeRange(t time.Time) bool {
	return (f.Since.IsZero() || !t.Before(f.Since)) && (f.Until.IsZero() || !t.After(f.Until))
}

// matches reports whether the filter selects the line, regardless of its time. A filter
// without a subject matches every line.
func (f *Filter) matches(l *Line) bool {
	switch {
	case f.Flow != "":
		return matchesFlow(f.Flow, l.Get("flow"))
	case f.Upstream != "":
		return l.Get("upstream") == f.Upstream
	case f.Version != "":
		return strings.HasPrefix(l.Event, "configuration_") && l.Get("version") == f.Version
	case f.Evacuation != "":
		return strings.HasPrefix(l.Event, "evacuation_") && l.Get("data_centre") == f.Evacuation
	default:
		return true
	}
}

// matchesFlow reports whether the pattern is the flow's ID or the address of its caller.
func matchesFlow(pattern, flow string) bool {
	return flow != "" && (flow == pattern || strings.HasPrefix(flow, pattern+">"))
}

// flowContext selects lines that explain decisions about a flow without naming it: the
// lines that the flow's hosts logged around the time of the flow about themselves and
// about the flow's upstreams.
type flowContext struct {
	upstreams map[string]bool
	hosts     map[string]bool
	from, to  time.Time
}

// newFlowContext returns the context of the filter's flow. If the filter has no flow,
// the context contains no lines.
func newFlowContext(lines []Line, filter Filter) *flowContext {
	c := &flowContext{upstreams: make(map[string]bool), hosts: make(map[string]bool)}
	if filter.Flow == "" {
		return c
	}
	for i := range lines {
		l := &lines[i]
		if !filter.matches(l) {
			continue
		}
		c.upstreams[l.Get("upstream")] = true
		c.hosts[l.Host] = true
		if from := l.Time.Add(-contextBefore); c.from.IsZero() || from.Before(c.from) {
			c.from = from
		}
		if to := l.Time.Add(contextAfter); to.After(c.to) {
			c.to = to
		}
	}
	return c
}

// hostEvents are the events about a host itself.
var hostEvents = map[string]bool{
	"started": true, "ready": true, "stopping": true, "stopped": true, "source_lost": true, "store_restored": true, "source_changed": true,
	"configuration_adopted": true, "configuration_refused": true, "settings_reloaded": true, "settings_refused": true,
}

// contains reports whether the line is in the context.
func (c *flowContext) contains(l *Line) bool {
	if l.Time.Before(c.from) || l.Time.After(c.to) || !c.hosts[l.Host] || l.Get("flow") != "" {
		return false
	}
	return hostEvents[l.Event] || strings.HasPrefix(l.Event, "upstream_") && c.upstreams[l.Get("upstream")]
}

// Print prints a line for each log line, with the time since the first one and without
// the level.
func Print(w io.Writer, lines []Line) error {
	for i := range lines {
		l := &lines[i]
		var fields strings.Builder
		for _, f := range l.Fields {
			if f.Key != "level" {
				fmt.Fprintf(&fields, " %s=%s", f.Key, f.Value)
			}
		}
		since := l.Time.Sub(lines[0].Time)
		if _, err := fmt.Fprintf(w, "%s %+10.3fs %-24s %s%s\n", l.Time.Format("15:04:05.000"), since.Seconds(), l.Host, l.Event, &fields); err != nil {
			return fmt.Errorf("print log lines: %w", err)
		}
	}
	return nil
}

// Count is the number of lines with the same event and reason.
type Count struct {
	Event, Reason string
	Lines         int
}

// Summarize counts the lines for each event and reason, most frequent first.
func Summarize(lines []Line) []Count {
	counts := make(map[[2]string]int)
	for i := range lines {
		counts[[2]string{lines[i].Event, lines[i].Get("reason")}]++
	}
	summary := make([]Count, 0, len(counts))
	for key, n := range counts {
		summary = append(summary, Count{Event: key[0], Reason: key[1], Lines: n})
	}
	slices.SortFunc(summary, func(a, b Count) int {
		if a.Lines != b.Lines {
			return b.Lines - a.Lines
		}
		return strings.Compare(a.Event+a.Reason, b.Event+b.Reason)
	})
	return summary
}
