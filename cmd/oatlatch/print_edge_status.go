package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/oatlatch/oatlatch/internal/edge"
)

// printEdgeStatus prints a table of an edge host's status. Times are those of the host's
// clock, and durations count to the time at which it responded.
func printEdgeStatus(w io.Writer, s *edge.Status) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(format string, args ...any) { fmt.Fprintf(table, format+"\n", args...) }
	row("host\t%s in %s\t%s", s.Host, s.DataCentre, edgeReadiness(s))
	row("configuration\tversion %d", s.ConfigurationVersion)
	age := "never in contact with the store"
	if s.Knowledge.AgeMillis != nil {
		age = fmt.Sprintf("%d ms old", *s.Knowledge.AgeMillis)
	}
	row("knowledge\t%s\tfrom %s\trevision %d of epoch %d", age, s.Knowledge.Source, s.Knowledge.Revision, s.Knowledge.Epoch)
	row("flows\tknown %d\twaiting for a slot %d", s.Flows, s.WaitingFlows)
	if len(s.Evacuations) == 0 {
		row("evacuated\tnothing")
	}
	for _, e := range s.Evacuations {
		row("evacuated\t%s\t%s\trevision %d of epoch %d\tupstreams %d\topen flows %d\toutstanding %d",
			e.DataCentre, since(s.Now, e.Since), e.Revision, e.Epoch, e.Upstreams, e.OpenFlows, e.Outstanding)
		printEvacuationTotals(row, &e.EvacuationTotals)
	}
	for _, e := range s.EvacuationsElsewhere {
		row("not in force\t%s\ton this host\trevision %d of epoch %d", e.DataCentre, e.Revision, e.Epoch)
		printEvacuationTotals(row, &e.EvacuationTotals)
	}
	n := &s.UpstreamCounts
	row("upstreams\tusable %d\tdraining %d\tdeparted %d\tevacuated %d\tsuspected %d\tejected %d\tcold %d",
		n.Usable, n.Draining, n.Departed, n.Evacuated, n.Suspected, n.Ejected, n.Cold)
	for i := range s.Upstreams {
		u := &s.Upstreams[i]
		row("  %s\t%s\t%s\topen flows %d\toutstanding %d\t%s", u.Name, u.Service, u.DataCentre, u.OpenFlows, u.Outstanding, strings.Join(upstreamStates(s.Now, u), ", "))
	}
	if s.UpstreamsOmitted > 0 {
		row("  and %d more", s.UpstreamsOmitted)
	}
	return table.Flush()
}

// printEvacuationTotals prints the numbers of all hosts.
func printEvacuationTotals(row printRow, t *edge.EvacuationTotals) {
	row("  all hosts\tin force on %d\tcounted %d of %d known\topen flows %d\toutstanding %d",
		t.HostsInForce, t.HostsCounted, t.HostsKnown, t.OpenFlowsTotal, t.OutstandingTotal)
}

// edgeReadiness returns whether the host is ready, in words.
func edgeReadiness(s *edge.Status) string {
	switch {
	case s.Stopping:
		return "stopping"
	case s.Ready:
		return "ready"
	default:
		return "not ready: knows no configuration and upstreams yet"
	}
}

// upstreamStates returns the states of an upstream with their reasons.
func upstreamStates(now time.Time, u *edge.UpstreamStatus) []string {
	var states []string
	if u.Suspicion != nil {
		states = append(states, fmt.Sprintf("suspected %s (%s)", since(now, u.Suspicion.Since), u.Suspicion.Reason))
	}
	if j := u.Ejection; j != nil {
		why := fmt.Sprintf("%.1f of %.1f answers failed at %d hosts", j.Failed, j.Answers, j.Hosts)
		if left := j.Until.Sub(now); left > 0 {
			states = append(states, fmt.Sprintf("ejected for %s more (%s)", left.Round(time.Millisecond), why))
		} else {
			states = append(states, fmt.Sprintf("returns from an ejection with %.0f%% of its flows (%s)", 100*j.Share, why))
		}
	}
	if u.Draining {
		states = append(states, "draining")
	}
	if u.ColdMillis > 0 {
		states = append(states, fmt.Sprintf("cold for %s more", time.Duration(u.ColdMillis)*time.Millisecond))
	}
	if u.Evacuated {
		states = append(states, "evacuated")
	}
	return states
}

// since formats a time with its age.
func since(now, then time.Time) string {
	return fmt.Sprintf("since %s (%s)", then.Format(time.TimeOnly), now.Sub(then).Round(time.Millisecond))
}
