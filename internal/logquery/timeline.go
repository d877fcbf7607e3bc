package logquery

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// adoptedEvent is the event of a host that puts a configuration in force.
const adoptedEvent = "configuration_adopted"

// adoption is one host's adoption of a version.
type adoption struct {
	at   time.Time
	host string
}

// Timeline tells when the hosts put one change in force: a version of the configuration or a
// request to evacuate a data centre. Times are those of the hosts' clocks.
type Timeline struct {
	// Version is the version of the configuration; empty for an evacuation.
	Version string
	// Evacuation is the data centre of an evacuation, and Revision where the store wrote the
	// request; both are empty for a configuration.
	Evacuation, Revision string
	// Hosts is the number of hosts that adopted the change, apart from those that started
	// with it.
	Hosts int
	// Started is the number of hosts that had no earlier version, or that started after the
	// first host had the evacuation in force.
	Started int
	// First is the time of the first adoption; Median, P99 and Last are the times after it
	// at which half, 99% and all of Hosts had adopted the version.
	First             time.Time
	Median, P99, Last time.Duration
	// FirstHost and LastHost are the hosts of the first and the last adoption.
	FirstHost, LastHost string
}

// Timelines returns the timelines of all versions in the lines, in the order of their
// first adoptions. Versions that hosts have only started with are left out.
func Timelines(lines []Line) []Timeline {
	adoptions := make(map[string][]adoption)
	started := make(map[string]int)
	seen := make(map[[2]string]struct{})
	for i := range lines {
		l := &lines[i]
		version := l.Get("version")
		key := [2]string{version, l.Host}
		if _, repeated := seen[key]; l.Event != adoptedEvent || repeated {
			continue
		}
		if l.Get("before") == "0" {
			started[version]++
			continue
		}
		seen[key] = struct{}{}
		adoptions[version] = append(adoptions[version], adoption{at: l.Time, host: l.Host})
	}
	timelines := make([]Timeline, 0, len(adoptions))
	for version, all := range adoptions {
		t := newTimeline(all, started[version])
		t.Version = version
		timelines = append(timelines, t)
	}
	sortTimelines(timelines)
	return timelines
}

// sortTimelines sorts the timelines by their first adoptions.
func sortTimelines(timelines []Timeline) {
	slices.SortFunc(timelines, func(a, b Timeline) int {
		return cmp.Or(a.First.Compare(b.First), strings.Compare(a.Version, b.Version), strings.Compare(a.Evacuation+" "+a.Revision, b.Evacuation+" "+b.Revision))
	})
}

// newTimeline summarizes the adoptions of a change, of which there is at least one.
func newTimeline(all []adoption, started int) Timeline {
	slices.SortFunc(all, func(a, b adoption) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return strings.Compare(a.host, b.host)
	})
	first, last := all[0], all[len(all)-1]
	after := func(percent int) time.Duration {
		// The smallest number of hosts that is at least the percentage.
		n := (len(all)*percent + 99) / 100
		return all[n-1].at.Sub(first.at)
	}
	return Timeline{
		Hosts: len(all), Started: started, First: first.at, FirstHost: first.host, LastHost: last.host,
		Median: after(50), P99: after(99), Last: last.at.Sub(first.at),
	}
}

// PrintTimelines prints a line for each timeline.
func PrintTimelines(w io.Writer, timelines []Timeline) error {
	for _, t := range timelines {
		subject := "version=" + t.Version
		if t.Evacuation != "" {
			subject = "evacuation=" + t.Evacuation + " revision=" + t.Revision
		}
		if _, err := fmt.Fprintf(w, "%s %s hosts=%d started=%d first=%s median_ms=%d p99_ms=%d last_ms=%d last=%s\n",
			t.First.Format("15:04:05.000"), subject, t.Hosts, t.Started, t.FirstHost,
			t.Median.Milliseconds(), t.P99.Milliseconds(), t.Last.Milliseconds(), t.LastHost); err != nil {
			return fmt.Errorf("print timelines: %w", err)
		}
	}
	return nil
}
