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

// route is one service as requests see it; it is immutable but for its lane.
type route struct {
	service   service.Service
	addresses map[string]netip.AddrPort
	// offset is where the deal of the service's slots begins.
	offset int
	lane   *lane
}

func newRoute(s service.Service, l *lane) *route {
	addresses := make(map[string]netip.AddrPort, len(s.Upstreams))
	for _, u := range s.Upstreams {
		addresses[u.Name] = u.Address
	}
	return &route{service: s, addresses: addresses, offset: offsetOf(s.Name), lane: l}
}

// upstreamKey names an upstream in a health view.
type upstreamKey struct {
	service service.ID
	name    string
}

// share gives the lane this host's slots of the upstreams that may take new
// requests, and the hosts that lend theirs.
func (r *route) share(group limit.Group, states map[upstreamKey]health.Upstream) {
	demands := r.demands(states)
	lenders := group.Lenders(r.offset, demands)
	r.lane.update(r.targets(group.Shares(r.offset, demands), states), lenders)
}

func (r *route) targets(shares []int, states map[upstreamKey]health.Upstream) []admission.Target {
	distrust := r.distrustHealth(states)
	var targets []admission.Target
	for i, u := range r.service.Upstreams {
		state, known := states[upstreamKey{r.service.ID, u.Name}]
		if u.State != service.AdminActive || shares[i] == 0 || (known && !takesWork(state.State, distrust)) {
			continue
		}
		targets = append(targets, admission.Target{Name: u.Name, Slots: shares[i], Weight: u.Weight, Ramp: rampOf(state)})
	}
	return targets
}

// demands returns the capacities of the upstreams; the usable slots of a joining
// upstream grow with its ramp.
func (r *route) demands(states map[upstreamKey]health.Upstream) []limit.Capacity {
	demands := make([]limit.Capacity, len(r.service.Upstreams))
	for i, u := range r.service.Upstreams {
		ramp := rampOf(states[upstreamKey{r.service.ID, u.Name}])
		demands[i] = limit.Capacity{Slots: int(u.Slots), Usable: limit.RampSlots(int(u.Slots), ramp)}
	}
	return demands
}

// distrustHealth says whether more than half of the active upstreams look bad
// at once, which points at the signal rather than at the upstreams.
func (r *route) distrustHealth(states map[upstreamKey]health.Upstream) bool {
	active, good := 0, 0
	for _, u := range r.service.Upstreams {
		if u.State != service.AdminActive {
			continue
		}
		active++
		state, known := states[upstreamKey{r.service.ID, u.Name}]
		if !known || takesWork(state.State, false) {
			good++
		}
	}
	return good*2 < active
}

func takesWork(state health.State, distrust bool) bool {
	return state == health.Up || state == health.Joining || (distrust && state == health.Suspect)
}

// rampOf returns the share of its full work that an upstream takes.
func rampOf(state health.Upstream) float64 {
	if state.State != health.Joining {
		return 1
	}
	return min(1, max(limit.MinRamp, state.Ramp))
}

// sharing returns the hosts that divide the slots, as the view shows them.
func sharing(self host.ID, view membership.View) limit.Group {
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

// offsetOf spreads the first slots of services over hosts.
func offsetOf(name string) int {
	h := fnv.New32a()
	h.Write([]byte(name))
	return int(h.Sum32() >> 1)
}
