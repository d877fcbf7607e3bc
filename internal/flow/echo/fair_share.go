package echo

import (
	"net/netip"
	"time"
)

const (
	// maxShareLead is how many admissions a route or a caller can be ahead of the others. It
	// bounds how long one waits that has had many admissions.
	maxShareLead = 16
	// maxCallerShares is the number of callers for which a queue keeps a share: those that
	// wait, and as many that may come back at once.
	maxCallerShares = 2 * maxWaitingFlows
	// shareMemory is how long a queue without flows keeps its shares. It covers the
	// longest pause between two SYNs of a caller that tries again at once.
	shareMemory = time.Second
)

// fairShare counts the admissions of a route or a caller in virtual time (start-time fair
// queueing): the clock is the count of the last one admitted in its turn, and one that comes
// later starts there, so that time without flows earns nothing.
type fairShare struct {
	clock *float64
	count float64
}

// lead returns how many admissions the share is ahead of the next in turn.
func (s *fairShare) lead() float64 { return max(0, s.count-*s.clock) }

// charge counts an admission. The clock follows unless the admission was out of turn.
func (s *fairShare) charge(inTurn bool) {
	start := max(s.count, *s.clock)
	if inTurn {
		*s.clock = start
	}
	s.count = min(start+1, *s.clock+maxShareLead)
}

// routeShare is the share of a route among the routes of its priority.
type routeShare struct {
	fairShare
	callerClock float64
	callers     map[netip.Addr]*callerShare
}

// callerShare is the share of a caller among the callers of a route.
type callerShare struct {
	fairShare
	route *routeShare
	// waiting is the number of the caller's flows to the route that wait.
	waiting int
}

// routeKey identifies a route by its priority and virtual address.
type routeKey struct {
	priority int
	address  netip.AddrPort
}

// callerKey identifies a caller within a priority.
type callerKey struct {
	priority int
	caller   netip.Addr
}

// fairShares holds the shares of the routes and callers of a queue.
type fairShares struct {
	// clocks are the clocks of the routes by priority.
	clocks map[int]*float64
	routes map[routeKey]*routeShare
	// callers is the number of shares of callers.
	callers int
	// waiting is the number of each caller's waiting flows.
	waiting map[callerKey]int
	// passedOver is the number of admissions in a row for which a lower priority waited.
	passedOver int
	// lastFloor is the lower priority that last had its minimum share.
	lastFloor int
	// usedAt is when a flow last began to wait or was admitted.
	usedAt time.Time
}

// join returns the share of the flow's caller, after counting the flow in it.
func (s *fairShares) join(f *waitingFlow) *callerShare {
	if s.routes == nil {
		s.clocks, s.routes, s.waiting = make(map[int]*float64), make(map[routeKey]*routeShare), make(map[callerKey]int)
	}
	key := routeKey{f.route.Priority, f.syn.VirtualAddress}
	r := s.routes[key]
	if r == nil {
		clock := s.clocks[key.priority]
		if clock == nil {
			clock = new(float64)
			s.clocks[key.priority] = clock
		}
		r = &routeShare{fairShare: fairShare{clock: clock}, callers: make(map[netip.Addr]*callerShare)}
		s.routes[key] = r
	}
	address := f.syn.Caller.Addr()
	c := r.callers[address]
	if c == nil {
		if s.callers >= maxCallerShares {
			s.evict()
		}
		c = &callerShare{fairShare: fairShare{clock: &r.callerClock}, route: r}
		r.callers[address] = c
		s.callers++
	}
	c.waiting++
	s.waiting[f.callerKey()]++
	s.usedAt = f.arrived
	return c
}

// leave takes a flow that no longer waits out of its caller's share.
func (s *fairShares) leave(f *waitingFlow) {
	f.share.waiting--
	if f.share.waiting == 0 && f.share.lead() == 0 {
		s.remove(f.share.route, f.syn.Caller.Addr())
	}
	key := f.callerKey()
	if s.waiting[key]--; s.waiting[key] == 0 {
		delete(s.waiting, key)
	}
}

// evict removes the share that has the smallest lead, of a caller without waiting flows.
func (s *fairShares) evict() {
	var victim *callerShare
	var victimAddress netip.Addr
	for _, r := range s.routes {
		for address, c := range r.callers {
			if c.waiting == 0 && (victim == nil || c.lead() < victim.lead()) {
				victim, victimAddress = c, address
			}
		}
	}
	if victim != nil {
		s.remove(victim.route, victimAddress)
	}
}

func (s *fairShares) remove(r *routeShare, address netip.Addr) {
	delete(r.callers, address)
	s.callers--
}

// first returns the flow to admit first.
func (s *fairShares) first(flows []*waitingFlow, priority int, now time.Time, processingTime time.Duration) *waitingFlow {
	first := flows[0]
	for _, f := range flows[1:] {
		if s.before(f, first, priority, now, processingTime) {
			first = f
		}
	}
	return first
}

// before reports whether the waiting flow a is admitted before b. The priority given comes
// before all others. Flows that cannot be served by their deadline, when they have to run for
// the time given, come after those that can.
func (s *fairShares) before(a, b *waitingFlow, priority int, now time.Time, processingTime time.Duration) bool {
	aFirst, bFirst := a.route.Priority == priority, b.route.Priority == priority
	if aFirst != bFirst {
		return aFirst
	}
	if a.route.Priority != b.route.Priority {
		return a.route.Priority < b.route.Priority
	}
	if aLate, bLate := a.late(now, processingTime), b.late(now, processingTime); aLate != bLate {
		return bLate
	}
	if a.share.route != b.share.route {
		if x, y := a.share.route.lead(), b.share.route.lead(); x != y {
			return x < y
		}
	}
	if a.share != b.share {
		if x, y := a.share.lead(), b.share.lead(); x != y {
			return x < y
		}
	}
	return a.deadline.Before(b.deadline)
}
