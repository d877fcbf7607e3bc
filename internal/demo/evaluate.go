package demo

import (
	"time"

	"github.com/oatlatch/oatlatch/callers"
	"github.com/oatlatch/oatlatch/internal/service"
	"github.com/oatlatch/oatlatch/internal/standin/fabric"
	"github.com/oatlatch/oatlatch/internal/wait"
)

// arrival counts the packets of a flow that one upstream received, without opening
// packets. An opening packet at a second upstream does not break the flow, because the
// caller resets the connection that it did not ask for.
type arrival struct {
	// upstreamIndex is an index in deployment.upstreams.
	upstreamIndex int
	packets       uint64
}

// probeRounds is the number of times that a flow is probed before it counts as broken. One round is not
// enough, because loopback sockets may drop packets under load.
const probeRounds = 3

// Targets for the imbalance in steady state, by the preference of the service. They are
// shown in the report and not checked.
const (
	balanceImbalanceTarget = 1.05
	flowsImbalanceTarget   = 1.15
)

// report compares the packets sent and the outcomes reported to callers with what the
// upstreams received and ran.
func (r *demoRun) report() (*Report, error) {
	report := &Report{User: r.options.User, Propagation: r.propagation, FlowsOpened: r.flows.openedCount, FlowsOpen: len(r.flows.establishedFlows())}
	broken, err := r.brokenFlows()
	if err != nil {
		return nil, err
	}
	report.FlowsBroken = broken
	report.PacketsSent = r.flows.sent
	for _, u := range r.upstreams {
		report.PacketsDelivered += u.standIn.Packets()
		report.Misdelivered += u.standIn.Misdelivered()
	}
	report.Requests = countOutcomes(r.requests.results)
	r.checkRequests(report)
	r.measureImbalance(report)
	return report, nil
}

// brokenFlows counts the flows whose packets reached more than one upstream and the
// established flows whose packets no longer reach their upstream.
func (r *demoRun) brokenFlows() (int, error) {
	undelivered := r.flows.establishedFlows()
	for range probeRounds {
		before := r.arrivals()
		for i, f := range undelivered {
			r.flows.send(f, fabric.Data)
			// Pause between batches: a burst that overflows the socket buffers would make
			// intact flows count as broken.
			if i%200 == 199 {
				if err := wait.Sleep(r.ctx, pollInterval); err != nil {
					return 0, err
				}
			}
		}
		var err error
		if undelivered, err = r.undeliveredProbes(undelivered, before); err != nil {
			return 0, err
		}
	}
	broken := len(undelivered)
	for _, arrivals := range r.arrivals() {
		if len(arrivals) > 1 {
			broken++
		}
	}
	return broken, nil
}

// undeliveredProbes waits up to probeTimeout for the probes of the given flows to arrive. It
// returns the flows whose upstream has received no more packets than are counted in before.
func (r *demoRun) undeliveredProbes(undelivered []flowID, before map[flowID][]arrival) ([]flowID, error) {
	deadline := time.Now().Add(probeTimeout)
	for len(undelivered) > 0 && time.Now().Before(deadline) {
		if err := wait.Sleep(r.ctx, pollInterval); err != nil {
			return nil, err
		}
		after := r.arrivals()
		var missing []flowID
		for _, f := range undelivered {
			if packetCount(after[f]) <= packetCount(before[f]) {
				missing = append(missing, f)
			}
		}
		undelivered = missing
	}
	return undelivered, nil
}

// packetCount returns the number of packets at the first upstream that received any.
func packetCount(arrivals []arrival) uint64 {
	if len(arrivals) == 0 {
		return 0
	}
	return arrivals[0].packets
}

// arrivals returns the upstreams that received packets of each flow, other than opening
// packets.
func (r *demoRun) arrivals() map[flowID][]arrival {
	arrivals := make(map[flowID][]arrival)
	for i, u := range r.upstreams {
		for _, count := range u.standIn.Flows() {
			if count.Packets == count.SYNs {
				continue
			}
			id := flowID{count.Flow.Source, count.Flow.Destination}
			arrivals[id] = append(arrivals[id], arrival{upstreamIndex: i, packets: count.Packets - count.SYNs})
		}
	}
	return arrivals
}

// checkRequests compares the outcomes reported to callers with the requests that the
// upstreams ran, and counts the contradictions in the report.
func (r *demoRun) checkRequests(report *Report) {
	runs := make(map[string]int)
	for _, u := range r.upstreams {
		for _, run := range u.standIn.Runs() {
			runs[run.RequestID]++
		}
	}
	for _, result := range r.requests.results {
		if result.wrongAnswer {
			report.WrongAnswers++
		}
		if result.nonIdempotent && runs[result.id] > 1 {
			report.DuplicateRuns++
		}
		if result.outcome == callers.NotRun && runs[result.id] > 0 {
			report.FalseNotRun++
		}
	}
}

// measureImbalance computes for each service the ratio of the established flows at its
// most loaded upstream to the mean over all its upstreams.
func (r *demoRun) measureImbalance(report *Report) {
	flows := make(map[int]int)
	arrivals := r.arrivals()
	for _, f := range r.flows.establishedFlows() {
		if len(arrivals[f]) > 0 {
			flows[arrivals[f][0].upstreamIndex]++
		}
	}
	for _, s := range r.services {
		most, total, upstreams := 0, 0, 0
		for i, u := range r.upstreams {
			if u.service != s.Name {
				continue
			}
			most = max(most, flows[i])
			total += flows[i]
			upstreams++
		}
		if total == 0 {
			continue
		}
		target := flowsImbalanceTarget
		if s.Prefer == service.PreferBalance {
			target = balanceImbalanceTarget
		}
		ratio := float64(most) * float64(upstreams) / float64(total)
		report.Imbalances = append(report.Imbalances, Imbalance{Service: s.Name, Ratio: ratio, Target: target})
	}
}
