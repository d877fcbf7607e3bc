package echo

import (
	"fmt"
	"strings"
	"time"
)

// Policy determines how the upstream of a new flow is chosen.
type Policy uint8

// Available policies.
const (
	// LeastUsed takes the upstream with the smallest fraction of its slots in use
	// by this host's flows. For an upstream in another data centre, remotePenalty is
	// added to the fraction. Of several, it takes the one with the fewest recent requests.
	LeastUsed Policy = iota
	// Random takes a random upstream.
	Random
	// TwoChoices takes the less used of two upstreams picked at random.
	TwoChoices
	// IdleFirst is LeastUsed that counts all upstreams with a free slot as unused.
	IdleFirst
	// SharedEstimates is LeastUsed that also counts the requests of the other hosts
	// in the data centre, as reported by Options.OutstandingAtPeers.
	SharedEstimates
	// AllKnowing takes the upstream with the lowest actual load, as reported by
	// Options.ActualLoad. It shows in experiments how well any policy could do. Real
	// hosts do not know the actual load.
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

// ParsePolicy returns the policy with the name.
func ParsePolicy(name string) (Policy, error) {
	for _, p := range Policies() {
		if p.String() == name {
			return p, nil
		}
	}
	return 0, fmt.Errorf("unknown policy %q: use one of %s", name, strings.Join(policyNames[:], ", "))
}

// cost returns the cost of an upstream under the policy, which chooses the upstream
// with the lowest cost. For most policies it is the upstream's utilisation (the
// fraction of its slots in use) plus penalties.
func (e *Engine) cost(now time.Time, u *upstream) float64 {
	cost := float64(u.outstanding) / u.effectiveSlots(now)
	switch e.options.Policy {
	case Random:
		return 0
	case TwoChoices:
		return cost
	case IdleFirst:
		if cost < 1 {
			cost = 0
		}
	case AllKnowing:
		return e.options.ActualLoad(u.ID)
	case SharedEstimates:
		cost += float64(e.options.OutstandingAtPeers(u.ID)) / u.effectiveSlots(now)
	case LeastUsed:
	}
	// Unanswered flows suggest that the upstream may have failed.
	cost += float64(u.unansweredFlows)
	if u.counts.failed > 0 && !e.options.Without.Has(FailedCost) {
		// An upstream that fails at once would otherwise always seem to be idle.
		u.counts.decay(now)
		if u.counts.failed >= minCountedFailed {
			cost += float64(u.counts.failed)
		}
	}
	if !u.local && !e.options.Without.Has(RemotePenalty) {
		cost += remotePenalty
	}
	return cost
}
