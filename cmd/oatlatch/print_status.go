package main

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/oatlatch/oatlatch"
)

// printStatus prints a table of the most important parts of a host's status. The
// flag --json prints the whole status.
func printStatus(w io.Writer, s *oatlatch.HostStatus) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(format string, args ...any) { fmt.Fprintf(table, format+"\n", args...) }
	state := "ready"
	if !s.Ready {
		state = "not ready: " + s.NotReady
	}
	row("host\t%s in %s\t%s", s.Host.ID, s.Host.DataCentre, state)
	printConfiguration(row, s)
	for _, m := range s.Members.Members {
		row("  member\t%s\t%s\t%s", m.Host, m.DataCentre, m.State)
	}
	row("upstreams")
	for _, u := range s.Upstreams {
		row("  %s\t%s\t%s since %s\t%s", u.Service, u.Upstream, u.State, u.Since.Format(time.TimeOnly), u.Reason)
	}
	printFlows(row, s)
	printRequests(row, s)
	return table.Flush()
}

// printRow adds a row to the table. The columns of the format are separated by tabs.
type printRow func(format string, args ...any)

func printConfiguration(row printRow, s *oatlatch.HostStatus) {
	c := s.Configuration
	row("configuration\tversion %d\tfrom %s at %s", c.Version, c.Source, c.AdoptedAt.Format(time.DateTime))
	row("  platform\twatching %t\tfailed reads %d", c.Watching, c.WatchFailures)
}

func printFlows(row printRow, s *oatlatch.HostStatus) {
	row("flows\tconfirmed %d\tunconfirmed %d\tevicted %d", s.Flows.Confirmed, s.Flows.Unconfirmed, s.Flows.Evicted)
	for _, f := range s.Flows.Services {
		row("  %s\ttracked slots %d\towned here %d\tagreements pending %d", f.Name, f.TrackedSlots, f.OwnedSlots, f.PendingRounds)
		for _, u := range f.Upstreams {
			row("    %s\tactive flows %d\tslots %d", u.Name, u.ActiveFlows, u.Slots)
		}
	}
	reasons := make([]string, 0, len(s.Flows.Drops))
	for reason := range s.Flows.Drops {
		reasons = append(reasons, reason)
	}
	sort.Strings(reasons)
	for _, reason := range reasons {
		row("  dropped\t%s\t%d", reason, s.Flows.Drops[reason])
	}
}

func printRequests(row printRow, s *oatlatch.HostStatus) {
	row("requests\tin progress %d\tledgers %d", s.Requests.InProgress, s.Requests.Ledgers)
	for _, o := range s.Requests.Outcomes {
		row("  %s\t%s\t%d", o.Outcome, o.Reason, o.Count)
	}
	for _, r := range s.Requests.Retries {
		row("  retried\t%s\t%d", r.Reason, r.Count)
	}
	for _, q := range s.Requests.Services {
		for _, u := range q.Upstreams {
			row("  %s\t%s\tslots in use %d of %d", q.Name, u.Upstream, u.InUse, u.Slots)
		}
	}
}
