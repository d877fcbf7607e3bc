package experiment

import "time"

// relaxation bounds how many requests can be answered within a time. It asks only that the
// requests run after a packet can reach a live host, early enough for the deadline, within
// the capacity of the data centres that can be reached, and allows to split a request over bins
// and upstreams.
type relaxation struct {
	m        *measurement
	within   time.Duration
	capacity capacity
	epochs   []epoch
}

// relaxationGroup is a set of requests that can use the same capacity.
type relaxationGroup struct {
	epoch int
	// dc is the data centre of the callers if it is isolated, otherwise connected or moved.
	dc int
}

// Values of relaxationGroup.dc beside indexes of data centres.
const (
	// connected stands for all data centres that are not isolated.
	connected = -1
	// moved stands for callers that have moved to another data centre before the request ended.
	// Their requests may use the capacity of all.
	moved = -2
)

func newRelaxation(m *measurement, within time.Duration) *relaxation {
	return &relaxation{m: m, within: within, capacity: newCapacity(m, within), epochs: m.epochs()}
}

// most returns the most of the requests that can be answered within the time. It is the
// sum over the groups, each of which has all capacity that it can reach.
func (x *relaxation) most(accounts []*requestAccount) float64 {
	groups := make(map[relaxationGroup][]*requestAccount)
	for _, a := range accounts {
		g := x.groupOf(a)
		groups[g] = append(groups[g], a)
	}
	sum := 0.0
	for e := range x.epochs {
		for dc := moved; dc < x.m.sim.options.DataCentres; dc++ {
			g := relaxationGroup{e, dc}
			if members := groups[g]; len(members) > 0 {
				sum += x.mostOfGroup(g, members)
			}
		}
	}
	return sum
}

// groupOf returns the group of a request, by the bin in which it was sent.
func (x *relaxation) groupOf(a *requestAccount) relaxationGroup {
	g, bin := relaxationGroup{dc: connected}, x.m.binOf(a.sent)
	for i := range x.epochs {
		if x.epochs[i].start <= bin {
			g.epoch = i
		}
	}
	switch {
	case a.moved:
		g.dc = moved
	case x.epochs[g.epoch].isolates(a.dc):
		g.dc = a.dc
	}
	return g
}

// mostOfGroup returns the most of the group's requests that can be answered within the time:
// each bin runs the requests with the earliest deadlines, which is optimal for requests that can
// be split and share all capacity.
func (x *relaxation) mostOfGroup(g relaxationGroup, members []*requestAccount) float64 {
	bins := len(x.capacity[0])
	released, deadlines, last := make([][]int, bins), make([]float64, bins), 0
	for _, a := range members {
		end := a.sent.Add(x.within - callerDelay)
		if a.contact.IsZero() || a.contact.Add(localDelay).After(end) {
			continue // no packet can reach a live host in time
		}
		bin, deadline := x.m.binOf(a.contact.Add(localDelay)), x.m.binOf(end)
		released[bin] = append(released[bin], deadline)
		last = max(last, deadline)
	}
	sum, reached, horizon := 0.0, make([]bool, len(x.capacity)), 0
	e := g.epoch
	for b := x.epochs[g.epoch].start; b <= last; b++ {
		for e+1 < len(x.epochs) && x.epochs[e+1].start <= b {
			e++
		}
		for _, deadline := range released[b] {
			deadlines[deadline]++
			horizon = max(horizon, deadline)
		}
		free := 0.0
		for dc := range reached {
			reached[dc] = reached[dc] || x.reaches(g, e, dc)
			if reached[dc] {
				free += x.capacity[dc][b]
			}
		}
		for deadline := b; deadline <= horizon && free > 0; deadline++ {
			served := min(deadlines[deadline], free)
			deadlines[deadline] -= served
			free -= served
			sum += served
		}
	}
	return sum
}

// reaches reports whether a request of the group may reach the data centre in the epoch.
func (x *relaxation) reaches(g relaxationGroup, e, dc int) bool {
	switch {
	case g.dc == moved:
		return true
	case g.dc >= 0:
		return !x.epochs[e].separates(g.dc, dc)
	}
	for member := range x.m.sim.options.DataCentres {
		if !x.epochs[g.epoch].isolates(member) && !x.epochs[e].separates(member, dc) {
			return true
		}
	}
	return false
}
