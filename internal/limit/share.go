// Package limit divides upstream slots between hosts and bounds retries.
package limit

import (
	"slices"

	"github.com/oatlatch/oatlatch/internal/host"
)

// Hosts is what a host knows of those that share the upstreams with it.
type Hosts struct {
	// Known hosts exist, whether or not they can be reached.
	Known []host.ID
	// Active hosts take requests.
	Active []host.ID
}

// Demand is one upstream whose slots are to be divided.
type Demand struct {
	Upstream string
	Slots    int
	// Open is how many of the slots may be used now, fewer after a cold start.
	Open int
}

// Shares returns how many open slots of each upstream the host may use, in the order
// of the demands. Hosts that agree on the active hosts never hand out a slot
// twice. Whatever they believe, no host takes more than ceil(slots/known), so
// that an upstream sees at most slots + known - 1 requests at once.
func Shares(self host.ID, hosts Hosts, offset int, demands []Demand) []int {
	active := sorted(hosts.Active)
	index, found := slices.BinarySearch(active, self)
	shares := make([]int, len(demands))
	if !found {
		return shares
	}
	known := max(len(sorted(hosts.Known)), len(active))
	first := offset
	for i, demand := range demands {
		own := ownSlots(first, demand.Open, index, len(active))
		shares[i] = min(own, (demand.Slots+known-1)/known)
		first += demand.Slots
	}
	return shares
}

// Owners returns the active hosts that have a share of any of the upstreams.
func Owners(hosts Hosts, offset int, demands []Demand) []host.ID {
	total := 0
	for _, demand := range demands {
		total += demand.Slots
	}
	var owners []host.ID
	active := sorted(hosts.Active)
	for index, id := range active {
		if ownSlots(offset, total, index, len(active)) > 0 {
			owners = append(owners, id)
		}
	}
	return owners
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
