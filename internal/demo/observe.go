package demo

import (
	"time"

	"github.com/oatlatch/oatlatch/callers"
	"github.com/oatlatch/oatlatch/internal/service"
	"github.com/oatlatch/oatlatch/internal/standin/fabric"
	"github.com/oatlatch/oatlatch/internal/wait"
)

// sighting is one upstream at which packets of an open flow arrived. A stray
// opening packet is none: the caller resets what it did not ask for.
type sighting struct {
	target  int
	packets uint64
}

// probeRounds is how often a silent flow is tried before it counts as broken:
// loopback sockets may drop a packet under load.
const probeRounds = 3

// Aims for the imbalance in steady state.
const (
	balanceAim = 1.05
	flowsAim   = 1.15
)

// report compares what callers sent and were told with what upstreams saw.
func (r *run) report() (*Report, error) {
	report := &Report{User: r.options.User, Spread: r.spread, FlowsOpened: r.flows.opened, FlowsOpen: len(r.flows.snapshot())}
	broken, err := r.brokenFlows()
	if err != nil {
		return nil, err
	}
	report.FlowsBroken = broken
	report.PacketsSent = r.flows.sent
	for _, t := range r.targets {
		report.PacketsDelivered += t.upstream.Packets()
		report.Misdelivered += t.upstream.Misdelivered()
	}
	report.Requests = countOutcomes(r.requests.results)
	r.countRuns(report)
	r.measureImbalance(report)
	return report, nil
}

// brokenFlows counts flows whose packets reached two upstreams, or whose
// upstream no longer gets their packets.
func (r *run) brokenFlows() (int, error) {
	waiting := r.flows.snapshot()
	for range probeRounds {
		before := r.sightings()
		for i, f := range waiting {
			r.flows.send(f, fabric.Middle)
			// Bursts that overflow socket buffers would count as broken flows.
			if i%200 == 199 {
				if err := wait.For(r.ctx, pollInterval); err != nil {
					return 0, err
				}
			}
		}
		var err error
		if waiting, err = r.waitForProbes(waiting, before); err != nil {
			return 0, err
		}
	}
	broken := len(waiting)
	for _, seen := range r.sightings() {
		if len(seen) > 1 {
			broken++
		}
	}
	return broken, nil
}

// waitForProbes returns the flows whose probe has not arrived at their upstream in time.
func (r *run) waitForProbes(waiting []flowID, before map[flowID][]sighting) ([]flowID, error) {
	deadline := time.Now().Add(settleTimeout)
	for len(waiting) > 0 && time.Now().Before(deadline) {
		if err := wait.For(r.ctx, pollInterval); err != nil {
			return nil, err
		}
		after := r.sightings()
		var missing []flowID
		for _, f := range waiting {
			if packets(after[f]) <= packets(before[f]) {
				missing = append(missing, f)
			}
		}
		waiting = missing
	}
	return waiting, nil
}

func packets(seen []sighting) uint64 {
	if len(seen) == 0 {
		return 0
	}
	return seen[0].packets
}

// sightings returns where the packets of each flow arrived.
func (r *run) sightings() map[flowID][]sighting {
	seen := make(map[flowID][]sighting)
	for i, t := range r.targets {
		for _, count := range t.upstream.Flows() {
			if count.Packets == count.Opening {
				continue
			}
			id := flowID{count.Flow.Source, count.Flow.Destination}
			seen[id] = append(seen[id], sighting{target: i, packets: count.Packets - count.Opening})
		}
	}
	return seen
}

// countRuns compares what callers were told with the upstreams' ledgers.
func (r *run) countRuns(report *Report) {
	runs := make(map[string]int)
	for _, t := range r.targets {
		for _, run := range t.upstream.Runs() {
			runs[run.RequestID]++
		}
	}
	for _, result := range r.requests.results {
		if result.wrong {
			report.WrongAnswers++
		}
		if result.once && runs[result.id] > 1 {
			report.DuplicateRuns++
		}
		if result.outcome == callers.NotRun && runs[result.id] > 0 {
			report.FalseNotRun++
		}
	}
}

// measureImbalance compares the flows of each active upstream with the mean.
func (r *run) measureImbalance(report *Report) {
	flows := make(map[int]int)
	seen := r.sightings()
	for _, f := range r.flows.snapshot() {
		if len(seen[f]) > 0 {
			flows[seen[f][0].target]++
		}
	}
	for _, s := range r.services {
		most, total, number := 0, 0, 0
		for i, t := range r.targets {
			if t.service != s.Name {
				continue
			}
			most = max(most, flows[i])
			total += flows[i]
			number++
		}
		if total == 0 {
			continue
		}
		aim := flowsAim
		if s.Prefer == service.PreferBalance {
			aim = balanceAim
		}
		ratio := float64(most) * float64(number) / float64(total)
		report.Imbalances = append(report.Imbalances, Imbalance{Service: s.Name, Ratio: ratio, Limit: aim})
	}
}
