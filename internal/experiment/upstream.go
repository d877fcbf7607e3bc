package experiment

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/flow/echo"
)

// upstreamNode is a simulated upstream that runs requests in slots and queues
// further ones.
type upstreamNode struct {
	sim     *simulation
	id      catalog.UpstreamID
	name    string
	service string
	// dc is the index of the upstream's data centre.
	dc    int
	slots int
	// started is when the upstream was started. A cold upstream is slow for
	// warmupTime after that.
	started time.Time
	cold    bool
	// draining is set if callers close each flow after its next response, silent if
	// the upstream ignores all packets.
	draining, silent bool
	// dropRate is the fraction of requests that the upstream ignores, errorRate that of
	// requests to which it responds with an error at once, and muteRate that of requests
	// that it runs without a response.
	dropRate, errorRate, muteRate float64
	// slowdown multiplies the service times.
	slowdown float64
	// departed is set if the next views of hosts list the upstream as departed,
	// unlisted if they leave it out.
	departed, unlisted bool

	// running is the number of slots in use, and completed the number of requests that
	// have ended in the measured part of the run.
	running, completed int
	queue              []*request
}

// request is a request that a caller sends to an upstream.
type request struct {
	flow *callerFlow
	// number is the number of the request on its flow.
	number int
	// account is that of the caller's request, or nil.
	account *requestAccount
}

// addUpstream adds an upstream. Hosts see it with their next view.
func (sim *simulation) addUpstream(dc int, cold bool) *upstreamNode {
	number := len(sim.upstreams) + 1
	u := &upstreamNode{
		sim: sim, id: catalog.UpstreamID(number), name: fmt.Sprintf("i-%08x", number), dc: dc,
		service: sim.configured.service, slots: sim.options.Slots, started: sim.now, cold: cold, slowdown: 1,
	}
	sim.upstreams = append(sim.upstreams, u)
	sim.byID[u.id] = u
	return u
}

// catalogEntry returns the upstream's entry in the views of hosts.
func (u *upstreamNode) catalogEntry(now time.Time) catalog.Entry {
	e := catalog.Entry{Presence: catalog.Registered, Upstream: catalog.Upstream{
		ID: u.id, Name: u.name, Service: u.service, DataCentre: dataCentreName(u.dc), Slots: u.slots, Draining: u.draining,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(u.dc), byte(u.id >> 8), byte(u.id)}), 80),
	}}
	if u.departed {
		e.Presence = catalog.Departed
	}
	if u.cold && now.Before(u.started.Add(warmupTime)) {
		e.WarmUntil = u.started.Add(warmupTime)
	}
	return e
}

// serviceTimeFactor returns the factor by which service times are longer than
// those of a healthy, warm upstream.
func (u *upstreamNode) serviceTimeFactor(now time.Time) float64 {
	if u.cold && now.Before(u.started.Add(warmupTime)) {
		return u.slowdown * coldSlowdown
	}
	return u.slowdown
}

// handleSYN responds to the SYN of a flow.
func (u *upstreamNode) handleSYN(f *callerFlow) {
	if u.silent {
		f.unansweredRequest(&echo.Segment{SYN: true}).enter(u.sim.now, DarkUpstream)
		return
	}
	u.sim.countLateSYN(u)
	u.sim.after(callerDelay, func() { f.handleSYNACK(u) })
}

// handleRequest runs or queues a request, or rejects it if the queue is full.
func (u *upstreamNode) handleRequest(r *request) {
	sim := u.sim
	account := r.flow.unansweredRequest(&echo.Segment{Length: 1})
	if u.silent || sim.random.Float64() < u.dropRate {
		account.enter(sim.now, DarkUpstream)
		return
	}
	if f := r.flow; f.upstream != u || f.accepted >= r.number {
		if f.upstream != u {
			account.enter(sim.now, SYNCopied)
		}
		return // a retransmission, or the flow belongs to another upstream
	}
	r.flow.accepted = r.number
	r.account = account
	if sim.random.Float64() < u.errorRate {
		sim.after(errorTime+callerDelay, func() { r.flow.handleResponse(r.number, errored) })
		return
	}
	if u.running >= u.slots {
		if len(u.queue) >= sim.options.QueueSize {
			sim.after(callerDelay, func() { r.flow.handleResponse(r.number, rejected) })
			return
		}
		u.queue = append(u.queue, r)
		r.account.enter(sim.now, QueuedAtUpstream)
		sim.balance.countWaiting(sim, u)
		return
	}
	u.serve(r)
}

// serve runs a request in a slot. Afterwards the slot runs the next request of the
// queue.
func (u *upstreamNode) serve(r *request) {
	sim := u.sim
	u.running++
	sim.balance.note(u, u.running-1)
	start, factor := sim.now, u.serviceTimeFactor(sim.now)
	serviceTime := time.Duration(float64(sim.logNormal(sim.options.ServiceTime, serviceTimeSigma)) * factor)
	r.account.enter(sim.now, Other)
	sim.after(serviceTime, func() {
		u.running--
		sim.balance.note(u, u.running+1)
		sim.balance.countCompleted(sim, u)
		if !u.silent && sim.random.Float64() >= u.muteRate {
			sim.measurement.noteRun(u, start, factor)
			sim.after(callerDelay, func() { r.flow.handleResponse(r.number, served) })
		} else {
			r.account.enter(sim.now, DarkUpstream)
		}
		if len(u.queue) > 0 {
			next := u.queue[0]
			u.queue = u.queue[1:]
			u.serve(next)
		}
	})
}

// drainAndStop drains the upstream and stops it four seconds later. By then hosts
// have received the change, which takes propagationDelay.
func (u *upstreamNode) drainAndStop() {
	sim := u.sim
	u.draining = true
	sim.updateAllViews(propagationDelay)
	sim.after(4*time.Second, func() {
		u.silent, u.departed = true, true
		sim.updateAllViews(propagationDelay)
	})
}

// crash stops the upstream without draining it. Hosts see it as departed once its
// registration has expired.
func (u *upstreamNode) crash() {
	sim := u.sim
	u.silent = true
	for _, r := range u.queue {
		r.account.enter(sim.now, DarkUpstream)
	}
	u.queue = nil
	sim.after(registrationTTL, func() {
		u.departed = true
		sim.updateAllViews(propagationDelay)
	})
}
