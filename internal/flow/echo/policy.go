package echo

import (
	"fmt"
	"time"
)

// Policy is a way to choose the upstream of a new flow.
type Policy uint8

// Policies.
const (
	// LeastUsed takes the upstream with the smallest part of its slots in use by
	// this host's flows; one in another data centre has to be better by all its slots.
	LeastUsed Policy = iota
	// Random takes any upstream.
	Random
	// TwoChoices takes the less used of two drawn upstreams.
	TwoChoices
	// IdleFirst takes an upstream with a free slot, a local one if there is any.
	IdleFirst
	// SharedEstimates is LeastUsed with the requests of the data centre's other
	// hosts, by Options.Neighbours, counted as well.
	SharedEstimates
	// AllKnowing takes the best by Options.Truth. It is a bound for experiments:
	// no host can know that much.
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

// cost returns what the policy holds against an upstream; the least is taken.
func (e *Engine) cost(now time.Time, u *upstream) float64 {
	used := float64(u.waiting) / u.slots(now)
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
		return e.options.Truth(u.ID)
	case SharedEstimates:
		used += float64(e.options.Neighbours(u.ID)) / u.slots(now)
	case LeastUsed:
	}
	// Unanswered packets are a sign that an upstream may be silent.
	used += float64(u.strikes)
	if !u.local {
		used += remoteCost
	}
	return used
}
