package echo

import (
	"fmt"
	"time"
)

// Policy determines how the upstream of a new flow is chosen.
type Policy uint8

// Available policies.
const (
	// LeastUsed takes the upstream with the smallest fraction of its slots in use
	// by this host's flows. For an upstream in another data centre, the fraction
	// counts as greater by remotePenalty.
	LeastUsed Policy = iota
	// Random takes any upstream.
	Random
	// TwoChoices takes the less used of two upstreams picked at random.
	TwoChoices
	// IdleFirst takes any upstream with a free slot, in the host's own data centre
	// if there is one.
	IdleFirst
	// SharedEstimates is LeastUsed that also counts the requests of the other hosts
	// in the data centre, as reported by Options.OutstandingAtPeers.
	SharedEstimates
	// AllKnowing takes the upstream with the lowest actual load, as reported by
	// Options.ActualLoad. It gives experiments an upper bound; no real host has this
	// knowledge.
	AllKnowing
)

var policyNames = [...]string{
	LeastUsed: "least-used", Random: "random", TwoChoices: "two-choices", IdleFirst: "idle-first",
	SharedEstimates: "shared-estimates", AllKnowing: "all-knowing",
}

// String returns the policy's name.
func (p Policy) String() string {
	if int(p) >= len(policyNames) {
		return fmt.Sprintf("Policy(%d)", uint8(p))
	}
	return policyNames[p]
}

// Policies returns all policies.
func Policies() []Policy {
	return []Policy{LeastUsed, Random, TwoChoices, IdleFirst, SharedEstimates, AllKnowing}
}

// cost returns the cost of an upstream under the policy. The upstream with the
// lowest cost is chosen.
func (e *Engine) cost(now time.Time, u *upstream) float64 {
	used := float64(u.outstanding) / u.effectiveSlots(now)
	switch e.options.Policy {
	case Random:
		return 0
	case TwoChoices:
		return used
	case IdleFirst:
		if used < 1 {
			used = 0
		}
	case AllKnowing:
		return e.options.ActualLoad(u.ID)
	case SharedEstimates:
		used += float64(e.options.OutstandingAtPeers(u.ID)) / u.effectiveSlots(now)
	case LeastUsed:
	}
	// Unanswered flows suggest that the upstream may have failed.
	used += float64(u.unansweredFlows)
	if !u.local {
		used += remotePenalty
	}
	return used
}
