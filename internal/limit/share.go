// Package limit divides upstream slots between hosts and bounds retries.
package limit

import (
	"slices"

	"github.com/oatlatch/oatlatch/internal/host"
)

// Group is what a host knows of the hosts that share the upstreams, itself
// included. It is immutable.
type Group struct {
	// active hosts take requests, in order.
	active []host.ID
	// index is the host's own place among them, or negative.
	index int
	// known counts the hosts that exist, whether or not they can be reached.
	known int
}

// NewGroup returns the group of a host from the known and the active hosts.
func NewGroup(self host.ID, known, active []host.ID) Group {
	active = sorted(active)
	index, found := slices.BinarySearch(active, self)
	if !found {
		index = -1
	}
	return Group{active: active, index: index, known: max(len(sorted(known)), len(active))}
}

// Demand is one upstream whose slots are to be divided.
type Demand struct {
	Slots int
	// Open is how many of the slots may be used now, fewer after a cold start.
	Open int
}

// Shares returns how many open slots of each upstream the host may use, in the
// order of the demands. Hosts that agree on the active hosts never hand out a
// slot twice. Whatever they believe, no host takes more than ceil(slots/known),
// so that an upstream sees at most slots + known - 1 requests at once.
func (g Group) Shares(offset int, demands []Demand) []int {
	shares := make([]int, len(demands))
	if g.index < 0 {
		return shares
	}
	first := offset
	for i, demand := range demands {
		own := ownSlots(first, demand.Open, g.index, len(g.active))
		shares[i] = min(own, (demand.Slots+g.known-1)/g.known)
		first += demand.Slots
	}
	return shares
}

// Lenders returns the other active hosts that have a share of any of the upstreams.
func (g Group) Lenders(offset int, demands []Demand) []host.ID {
	total := 0
	for _, demand := range demands {
		total += demand.Slots
	}
	lenders := make([]host.ID, 0, min(total, len(g.active)))
	for index, id := range g.active {
		if index != g.index && ownSlots(offset, total, index, len(g.active)) > 0 {
			lenders = append(lenders, id)
		}
	}
	return lenders
}

// ownSlots counts the slots in [first, first+slots) that fall to the host at
// index when slots go round the hosts in turn.
func ownSlots(first, slots, index, hosts int) int {
	skip := ((index-first)%hosts + hosts) % hosts
	if skip >= slots {
		return 0
	}
	return (slots-skip-1)/hosts + 1
}

func sorted(ids []host.ID) []host.ID {
	clone := slices.Clone(ids)
	slices.Sort(clone)
	return slices.Compact(clone)
}
