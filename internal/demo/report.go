package demo

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/oatlatch/oatlatch/callers"
)

// Count is a number of requests with one outcome and reason.
type Count struct {
	Outcome callers.Outcome
	Reason  string
	Number  int
}

// Imbalance is the largest number of active flows at an upstream of a service
// divided by the mean.
type Imbalance struct {
	Service string
	Ratio   float64
	Limit   float64
}

// Report is what the demo saw.
type Report struct {
	User             string
	FlowsOpened      int
	FlowsOpen        int
	FlowsBroken      int
	PacketsSent      uint64
	PacketsDelivered uint64
	Misdelivered     uint64
	Requests         []Count
	WrongAnswers     int
	// DuplicateRuns counts non-idempotent requests that ran more than once.
	DuplicateRuns int
	// FalseNotRun counts requests that ran although the caller was told "not run".
	FalseNotRun int
	Imbalances  []Imbalance
	// Spread is the longest time from a publication until it was in force on every host.
	Spread time.Duration
}

// Broken returns one line for each promise that did not hold.
func (r *Report) Broken() []string {
	var broken []string
	check := func(bad bool, format string, args ...any) {
		if bad {
			broken = append(broken, fmt.Sprintf(format, args...))
		}
	}
	check(r.FlowsBroken > 0, "%d established flows broke", r.FlowsBroken)
	check(r.Misdelivered > 0, "%d packets reached a service not their own", r.Misdelivered)
	check(r.WrongAnswers > 0, "%d callers got an answer not whole or not theirs", r.WrongAnswers)
	check(r.DuplicateRuns > 0, "%d non-idempotent requests ran more than once", r.DuplicateRuns)
	check(r.FalseNotRun > 0, "%d requests ran although the caller was told not-run", r.FalseNotRun)
	check(r.Spread > spreadLimit, "a configuration took %s to be in force", r.Spread)
	return broken
}

// Print writes the report as a table.
func (r *Report) Print(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(name string, format string, args ...any) {
		fmt.Fprintf(table, "%s\t%s\n", name, fmt.Sprintf(format, args...))
	}
	row("user", "%s", r.User)
	row("flows opened", "%d", r.FlowsOpened)
	row("flows open at the end", "%d", r.FlowsOpen)
	row("flows broken", "%d", r.FlowsBroken)
	row("packets sent", "%d", r.PacketsSent)
	row("packets delivered", "%d", r.PacketsDelivered)
	row("packets misdelivered", "%d", r.Misdelivered)
	for _, c := range r.Requests {
		row("requests "+string(c.Outcome), "%d (%s)", c.Number, c.Reason)
	}
	row("wrong answers", "%d", r.WrongAnswers)
	row("duplicates run", "%d", r.DuplicateRuns)
	row("run though told not-run", "%d", r.FalseNotRun)
	for _, i := range r.Imbalances {
		row("imbalance "+i.Service, "%.3f (%.2f is the aim in steady state at 2,000 flows an upstream)", i.Ratio, i.Limit)
	}
	row("configuration spread", "%s", r.Spread.Round(time.Millisecond))
	return table.Flush()
}

// countOutcomes groups results by outcome and reason.
func countOutcomes(results []requestResult) []Count {
	type kind struct {
		outcome callers.Outcome
		reason  string
	}
	numbers := make(map[kind]int)
	for _, result := range results {
		numbers[kind{result.outcome, result.reason}]++
	}
	var counts []Count
	for k, number := range numbers {
		counts = append(counts, Count{Outcome: k.outcome, Reason: k.reason, Number: number})
	}
	sort.Slice(counts, func(i, j int) bool {
		if counts[i].Outcome != counts[j].Outcome {
			return counts[i].Outcome < counts[j].Outcome
		}
		return counts[i].Reason < counts[j].Reason
	})
	return counts
}
