package demo

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/oatlatch/oatlatch/callers"
)

// OutcomeCount is the number of requests with one outcome and reason.
type OutcomeCount struct {
	Outcome  callers.Outcome
	Reason   string
	Requests int
}

// Imbalance is the uneven distribution of a service's flows over its upstreams.
type Imbalance struct {
	Service string
	// Ratio is the number of established flows at the most loaded upstream divided by the
	// mean of all upstreams.
	Ratio float64
	// Target is the ratio to stay below in steady state. It is not checked.
	Target float64
}

// Report is the result of a run of the demo.
type Report struct {
	User        string
	FlowsOpened int
	// FlowsOpen counts the established flows at the end of the run.
	FlowsOpen int
	// FlowsBroken counts flows whose packets reached more than one upstream or no longer
	// reach their upstream.
	FlowsBroken      int
	PacketsSent      uint64
	PacketsDelivered uint64
	// Misdelivered counts packets that reached an upstream of another service.
	Misdelivered uint64
	Requests     []OutcomeCount
	// WrongAnswers counts answers that were incomplete or belonged to another request.
	WrongAnswers int
	// DuplicateRuns counts non-idempotent requests that ran more than once.
	DuplicateRuns int
	// FalseNotRun counts requests that ran although the caller was told that they did not.
	FalseNotRun int
	Imbalances  []Imbalance
	// Propagation is the longest time that a publication took to be adopted by every host.
	Propagation time.Duration
}

// Violations returns one line for each guarantee of the load balancer that was violated.
func (r *Report) Violations() []string {
	var violations []string
	addIf := func(violated bool, format string, args ...any) {
		if violated {
			violations = append(violations, fmt.Sprintf(format, args...))
		}
	}
	addIf(r.FlowsBroken > 0, "%d established flows broke", r.FlowsBroken)
	addIf(r.Misdelivered > 0, "%d packets reached an upstream of another service", r.Misdelivered)
	addIf(r.WrongAnswers > 0, "%d answers were incomplete or belonged to another request", r.WrongAnswers)
	addIf(r.DuplicateRuns > 0, "%d non-idempotent requests ran more than once", r.DuplicateRuns)
	addIf(r.FalseNotRun > 0, "%d requests ran although their callers were told not-run", r.FalseNotRun)
	addIf(r.Propagation > propagationLimit, "a configuration took %s to be adopted by every host", r.Propagation)
	return violations
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
		row("requests "+string(c.Outcome), "%d (%s)", c.Requests, c.Reason)
	}
	row("wrong answers", "%d", r.WrongAnswers)
	row("duplicate runs", "%d", r.DuplicateRuns)
	row("run despite not-run answer", "%d", r.FalseNotRun)
	for _, i := range r.Imbalances {
		row("imbalance "+i.Service, "%.3f (target %.2f in steady state at 2,000 flows per upstream)", i.Ratio, i.Target)
	}
	row("configuration propagation", "%s", r.Propagation.Round(time.Millisecond))
	return table.Flush()
}

// countOutcomes counts the results by outcome and reason, sorted in that order.
func countOutcomes(results []requestResult) []OutcomeCount {
	type outcomeReason struct {
		outcome callers.Outcome
		reason  string
	}
	requests := make(map[outcomeReason]int)
	for _, result := range results {
		requests[outcomeReason{result.outcome, result.reason}]++
	}
	var counts []OutcomeCount
	for k, number := range requests {
		counts = append(counts, OutcomeCount{Outcome: k.outcome, Reason: k.reason, Requests: number})
	}
	sort.Slice(counts, func(i, j int) bool {
		if counts[i].Outcome != counts[j].Outcome {
			return counts[i].Outcome < counts[j].Outcome
		}
		return counts[i].Reason < counts[j].Reason
	})
	return counts
}
