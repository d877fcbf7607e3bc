package dispatch

import (
	"hash/fnv"
	"net/netip"

	"github.com/oatlatch/oatlatch/internal/admission"
	"github.com/oatlatch/oatlatch/internal/health"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/limit"
	"github.com/oatlatch/oatlatch/internal/membership"
	"github.com/oatlatch/oatlatch/internal/service"
)

// route is a service to which requests are routed. It is immutable except for its allocator.
type route struct {
	service   service.Service
	addresses map[string]netip.AddrPort
	// offset determines which host gets the first slot of the service.
	offset    int
	allocator *slotAllocator
}

func newRoute(s service.Service, allocator *slotAllocator) *route {
	addresses := make(map[string]netip.AddrPort, len(s.Upstreams))
	for _, u := range s.Upstreams {
		addresses[u.Name] = u.Address
	}
	return &route{service: s, addresses: addresses, offset: shareOffset(s.Name), allocator: allocator}
}

// upstreamKey identifies an upstream in a health view.
type upstreamKey struct {
	service service.ID
	name    string
}

// updateSlots divides the slots of the service among the hosts and gives the allocator this
// host's share and the hosts that it may borrow from.
func (r *route) updateSlots(group limit.Group, states map[upstreamKey]health.Upstream) {
	capacities := r.capacities(states)
	lenders := group.Lenders(r.offset, capacities)
	r.allocator.update(r.targets(group.Shares(r.offset, capacities), states), lenders)
}

// targets returns the upstreams that may take new requests, with this host's slots of each.
// shares holds those slots in the order of the service's upstreams.
func (r *route) targets(shares []int, states map[upstreamKey]health.Upstream) []admission.Target {
	distrust := r.distrustHealth(states)
	var targets []admission.Target
	for i, u := range r.service.Upstreams {
		state, known := states[upstreamKey{r.service.ID, u.Name}]
		if u.State != service.AdminActive || shares[i] == 0 || (known && !acceptsRequests(state.State, distrust)) {
			continue
		}
		targets = append(targets, admission.Target{Name: u.Name, Slots: shares[i], Weight: u.Weight, Ramp: rampFraction(state)})
	}
	return targets
}

// capacities returns the slots of each upstream and how many of them may be used, which is
// fewer for a joining upstream whose load is being ramped up.
func (r *route) capacities(states map[upstreamKey]health.Upstream) []limit.Capacity {
	capacities := make([]limit.Capacity, len(r.service.Upstreams))
	for i, u := range r.service.Upstreams {
		ramp := rampFraction(states[upstreamKey{r.service.ID, u.Name}])
		capacities[i] = limit.Capacity{Slots: int(u.Slots), Usable: limit.RampSlots(int(u.Slots), ramp)}
	}
	return capacities
}

// distrustHealth reports whether more than half of the active upstreams appear
// unusable at once. The health checks are then more likely to be wrong than the upstreams.
func (r *route) distrustHealth(states map[upstreamKey]health.Upstream) bool {
	active, usable := 0, 0
	for _, u := range r.service.Upstreams {
		if u.State != service.AdminActive {
			continue
		}
		active++
		state, known := states[upstreamKey{r.service.ID, u.Name}]
		if !known || acceptsRequests(state.State, false) {
			usable++
		}
	}
	return usable*2 < active
}

// acceptsRequests reports whether an upstream in the state may take new requests. A suspect
// one may if the health checks are distrusted.
func acceptsRequests(state health.State, distrust bool) bool {
	return state == health.Up || state == health.Joining || (distrust && state == health.Suspect)
}

// rampFraction returns the fraction of its full load that an upstream may take, which is
// less than 1 after a cold start.
func rampFraction(state health.Upstream) float64 {
	if state.State != health.Joining {
		return 1
	}
	return min(1, max(limit.MinRamp, state.Ramp))
}

// newSlotGroup returns the group of hosts among which the slots are divided according to the
// view. Dead hosts get no slots, but they still count as known.
func newSlotGroup(self host.ID, view membership.View) limit.Group {
	known, active := []host.ID{self}, []host.ID{self}
	for _, member := range view.Members {
		switch member.State {
		case membership.Live, membership.Suspect:
			active = append(active, member.Host.ID)
			known = append(known, member.Host.ID)
		case membership.Dead:
			known = append(known, member.Host.ID)
		}
	}
	return limit.NewGroup(self, known, active)
}

// shareOffset derives the offset of a service from its name, so that the first slots of
// different services go to different hosts.
func shareOffset(name string) int {
	h := fnv.New32a()
	h.Write([]byte(name))
	return int(h.Sum32() >> 1)
}
