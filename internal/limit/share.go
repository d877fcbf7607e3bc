// Package limit divides the request slots of upstreams among hosts, and limits
// retries and the work of upstreams that have just started.
package limit

import (
	"slices"

	"github.com/oatlatch/oatlatch/internal/host"
)

// Group is the set of hosts that share the upstreams, from the point of view of one of
// them. It is immutable.
type Group struct {
	// activeHosts are the hosts that take requests, sorted by ID.
	activeHosts []host.ID
	// selfIndex is the index of this host in activeHosts, or negative.
	selfIndex int
	// knownHosts is the number of existing hosts, reachable or not.
	knownHosts int
}

// NewGroup returns the group as seen by the host self, which has a share of the slots
// only if it is among the active hosts.
func NewGroup(self host.ID, known, active []host.ID) Group {
	active = sortedUnique(active)
	index, found := slices.BinarySearch(active, self)
	if !found {
		index = -1
	}
	return Group{activeHosts: active, selfIndex: index, knownHosts: max(len(sortedUnique(known)), len(active))}
}

// Capacity is the number of requests that an upstream can run at once.
type Capacity struct {
	Slots int
	// Usable is the number of slots, counted from the first, that may be used now. It
	// is lower than Slots during a slow start.
	Usable int
}

// Shares returns how many usable slots of each upstream this host may use, in the
// order of the capacities. Slots are assigned to the active hosts round-robin
// across the upstreams, beginning at offset. Hosts that agree on the active hosts never
// assign a slot twice. Even if they disagree, no host takes more than
// ceil(slots/known) slots of an upstream, so that an upstream never gets more than
// slots + known - 1 concurrent requests, where known is the number of known hosts.
func (g Group) Shares(offset int, capacities []Capacity) []int {
	shares := make([]int, len(capacities))
	if g.selfIndex < 0 {
		return shares
	}
	start := offset
	for i, capacity := range capacities {
		assigned := assignedSlots(start, capacity.Usable, g.selfIndex, len(g.activeHosts))
		shares[i] = min(assigned, (capacity.Slots+g.knownHosts-1)/g.knownHosts)
		start += capacity.Slots
	}
	return shares
}

// Lenders returns the other active hosts to which at least one slot is assigned.
func (g Group) Lenders(offset int, capacities []Capacity) []host.ID {
	total := 0
	for _, capacity := range capacities {
		total += capacity.Slots
	}
	lenders := make([]host.ID, 0, min(total, len(g.activeHosts)))
	for index, id := range g.activeHosts {
		if index != g.selfIndex && assignedSlots(offset, total, index, len(g.activeHosts)) > 0 {
			lenders = append(lenders, id)
		}
	}
	return lenders
}

// assignedSlots returns how many of the slots numbered [start, start+slots) belong to
// the host at hostIndex when the slots are assigned to the hosts round-robin.
func assignedSlots(start, slots, hostIndex, hosts int) int {
	skip := ((hostIndex-start)%hosts + hosts) % hosts
	if skip >= slots {
		return 0
	}
	return (slots-skip-1)/hosts + 1
}

// sortedUnique returns the IDs sorted and without duplicates.
func sortedUnique(ids []host.ID) []host.ID {
	sorted := slices.Clone(ids)
	slices.Sort(sorted)
	return slices.Compact(sorted)
}
