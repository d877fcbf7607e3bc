package experiment

import (
	"net/netip"
	"time"

	"github.com/oatlatch/oatlatch/internal/flow/echo"
)

// outcome is the result of one attempt to send a request.
type outcome uint8

const (
	// served means that the upstream ran the request and responded.
	served outcome = iota
	// rejected means that the upstream responded without running the request,
	// because its queue was full.
	rejected
	// refused means that the flow was reset before it was established.
	refused
	// flowReset means that the flow was reset after the request was sent.
	flowReset
	// timedOut means that no response arrived in time.
	timedOut
	// errored means that the upstream ran the request and responded with an error.
	errored
)

// caller is a simulated caller that sends one request at a time.
type caller struct {
	sim *simulation
	// dc is the index of the caller's data centre.
	dc int
	// persistent is set if the caller sends all requests over one flow and may
	// repeat them. Other callers open a flow for each request and don't repeat a
	// request that may have run.
	persistent bool
	// greedy is the address of a caller that has many flows, each for one request, does not
	// think between requests, and is not recorded. For other callers it is invalid.
	greedy netip.Addr
	// number is the index of the caller, from which its address is derived.
	number int
	flow   *callerFlow
	// requestID identifies the current request, so that the timer of an earlier
	// one has no effect.
	requestID int
	// sentAt is when the current request was first sent, retries how often it was
	// retried, and pending whether it is in progress.
	sentAt  time.Time
	retries int
	pending bool
	// account records the current request. It is nil in a run without a measurement.
	account *requestAccount
}

// callerFlow is the caller's end of a flow.
type callerFlow struct {
	caller      *caller
	source      netip.AddrPort
	destination netip.AddrPort
	token       echo.Token
	// upstream is nil until the flow is established.
	upstream *upstreamNode
	closed   bool
	seq, ack uint32
	// Requests of the flow are numbered from 1. sent is the number of the last
	// request sent, accepted that of the last one that an upstream received, and
	// completed that of the last one whose response the caller received.
	sent, accepted, completed int
}

// startCaller adds a caller of a data centre. It sends its first request after a
// random think time.
func (sim *simulation) startCaller(dc int, persistent bool) {
	c := &caller{sim: sim, dc: dc, persistent: persistent, number: len(sim.callers)}
	sim.callers = append(sim.callers, c)
	sim.after(sim.exponential(sim.options.ThinkTime), c.sendNext)
}

// endsFlow reports whether a flow that may stay open ends with this response.
func (sim *simulation) endsFlow() bool {
	n := sim.options.FlowRequests
	return n > 0 && sim.random.IntN(n) == 0
}

// sendNext sends the caller's next request, unless the load phase has ended.
func (c *caller) sendNext() {
	sim := c.sim
	if sim.now.After(runStart.Add(sim.options.Duration)) {
		return
	}
	if c.pending {
		return
	}
	c.requestID++
	c.pending, c.sentAt, c.retries = true, sim.now, 0
	c.account = sim.measurement.startRequest(c)
	id := c.requestID
	sim.after(sim.options.Timeout, func() {
		if c.pending && c.requestID == id {
			c.resetFlow()
			c.finish(timedOut)
		}
	})
	c.attempt()
}

// attempt sends the current request over the open flow, or opens a flow that sends
// it.
func (c *caller) attempt() {
	if c.flow == nil || c.flow.closed {
		c.openFlow()
		return
	}
	c.flow.send()
}

// openFlow opens a new flow. The SYN is sent up to three times until an upstream
// responds; the Ack field of each copy is the number of SYNs sent before it.
func (c *caller) openFlow() {
	sim := c.sim
	sim.flowsOpened++
	destination := repeatableAddress
	if !c.persistent {
		destination = nonRepeatableAddress
	}
	f := &callerFlow{caller: c, destination: destination, seq: 1000, source: netip.AddrPortFrom(
		netip.AddrFrom4([4]byte{100, 64 + byte(sim.flowsOpened>>22), byte(sim.flowsOpened >> 14), byte(sim.flowsOpened >> 6)}), uint16(1024+sim.flowsOpened%60000))}
	f.source = netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64 + byte(c.number>>16), byte(c.number >> 8), byte(c.number)}), f.source.Port())
	if c.greedy.IsValid() {
		f.source = netip.AddrPortFrom(c.greedy, f.source.Port())
	}
	c.flow = f
	for copyNumber, delay := range []time.Duration{0, firstRetransmit, secondRetransmit} {
		sim.after(delay, func() {
			if f.upstream == nil && !f.closed {
				f.ack = uint32(copyNumber)
				f.sendPacket(echo.Segment{SYN: true}, func(u *upstreamNode) { u.handleSYN(f) })
			}
		})
	}
	sim.after(openTimeout, func() {
		if f.upstream == nil && !f.closed {
			f.fail(timedOut)
		}
	})
}

// handleSYNACK completes the handshake with the first upstream that responds to
// the SYN, and sends the request.
func (f *callerFlow) handleSYNACK(u *upstreamNode) {
	if f.closed || f.upstream != nil {
		return
	}
	f.upstream = u
	f.token = echo.Token(u.id) // IDs are small enough to serve as tokens
	f.seq, f.ack = f.seq+1, 5000
	f.sendPacket(echo.Segment{ACK: true}, func(*upstreamNode) {})
	f.send()
}

// send sends the caller's current request as the next request of the flow.
func (f *callerFlow) send() {
	f.sent++
	f.seq += 100
	f.transmit(f.sent, f.seq-100, firstRetransmit)
}

// transmit sends the request with the given number and sequence number. It
// retransmits the request until an upstream receives it, first after interval. The
// interval doubles each time, up to maxRetransmitInterval.
func (f *callerFlow) transmit(number int, seq uint32, interval time.Duration) {
	if f.closed || f.completed >= number {
		return
	}
	nextSeq := f.seq
	f.seq = seq
	f.sendPacket(echo.Segment{ACK: true, Length: 100}, func(u *upstreamNode) { u.handleRequest(&request{flow: f, number: number}) })
	f.seq = nextSeq
	f.caller.sim.after(interval, func() {
		if f.accepted < number { // not acknowledged by an upstream
			f.transmit(number, seq, min(2*interval, maxRetransmitInterval))
		}
	})
}

// sendPacket fills in the segment's addresses, token and sequence numbers and sends
// it to a host of the load balancer. The host forwards the segment to an upstream,
// resets the flow or drops the segment. arrive is called when the segment reaches
// the upstream.
func (f *callerFlow) sendPacket(s echo.Segment, arrive func(*upstreamNode)) {
	sim := f.caller.sim
	s.Caller, s.VirtualAddress, s.Token, s.Seq, s.Ack = f.source, f.destination, f.token, f.seq, f.ack
	sim.after(callerDelay, func() {
		h := sim.selectHost(f.caller.dc, f.source)
		if h.down {
			f.unansweredRequest(&s).enter(sim.now, DarkHost)
			return
		}
		f.unansweredRequest(&s).noteContact(sim.now)
		f.decide(h, &s, arrive)
	})
}

// unansweredRequest returns the account of the caller's request if the packet is a copy of its
// SYN or data, on the caller's current flow, and no upstream has answered an earlier one.
// Otherwise, and for a flow without a caller, it returns nil.
func (f *callerFlow) unansweredRequest(s *echo.Segment) *requestAccount {
	c := f.caller
	switch {
	case c == nil || f.closed || c.flow != f || !c.pending:
	case s.SYN && f.upstream == nil, s.Length > 0 && f.accepted < f.sent:
		return c.account
	}
	return nil
}

// decide lets the host decide on a packet of the flow, and executes the decision.
func (f *callerFlow) decide(h *hostNode, s *echo.Segment, arrive func(*upstreamNode)) {
	sim := f.caller.sim
	d := h.engine.Decide(sim.now, s)
	if d.Verdict == echo.Hold {
		f.unansweredRequest(s).enter(sim.now, Held)
	}
	if d.Verdict == echo.Hold && d.Reason == echo.Queued {
		h.waiting[waitingSYN{s.Caller, s.Seq}] = func(d *echo.Decision) { f.execute(h, s, d, arrive) }
	} else if d.Verdict == echo.Hold {
		h.held = append(h.held, func() { f.decide(h, s, arrive) })
	} else {
		f.execute(h, s, &d, arrive)
	}
	sim.admitWaiting(h)
}

// execute executes the host's decision on a packet of the flow.
func (f *callerFlow) execute(h *hostNode, s *echo.Segment, d *echo.Decision, arrive func(*upstreamNode)) {
	sim := f.caller.sim
	account := f.unansweredRequest(s)
	switch d.Verdict {
	case echo.Forward:
		u := sim.byID[d.Upstream]
		if sim.partitioned(h.dc, u.dc) {
			account.enter(sim.now, DarkUpstream)
			return
		}
		account.enter(sim.now, Other)
		if h.lossRate > 0 && sim.random.Float64() < h.lossRate {
			return
		}
		delay := localDelay
		if u.dc != h.dc {
			delay = remoteDelay
		}
		sim.after(delay, func() { arrive(u) })
	case echo.Reset:
		account.endAttempt(sim.now, Refused)
		sim.after(callerDelay, func() { f.handleReset() })
	case echo.Drop:
		if account != nil && account.state != Held { // not a copy of a held SYN
			account.enter(sim.now, Other)
		}
	case echo.Hold:
	}
}

// handleReset handles a reset sent by a host.
func (f *callerFlow) handleReset() {
	if f.closed {
		return
	}
	if f.upstream == nil {
		f.fail(refused)
		return
	}
	f.fail(flowReset)
}

// handleResponse handles an upstream's response to a request. It closes the flow
// of a caller that isn't persistent, and any flow of a draining upstream.
func (f *callerFlow) handleResponse(number int, o outcome) {
	c := f.caller
	if f.closed || f.completed >= number {
		return
	}
	f.completed = number
	f.ack += responseSize
	if o == errored || o == rejected {
		f.ack -= responseSize - errorSize
	}
	f.sendPacket(echo.Segment{ACK: true}, func(*upstreamNode) {})
	if !c.persistent || c.greedy.IsValid() || f.upstream.draining || c.sim.endsFlow() {
		f.close()
	}
	if o == rejected || o == errored {
		cause := Full
		if o == errored {
			cause = FailedResponse
		}
		c.account.endAttempt(c.sim.now, cause)
		c.retryOrFinish(o)
		return
	}
	c.finish(served)
}

// close closes the flow with a FIN.
func (f *callerFlow) close() {
	if !f.closed {
		f.sendPacket(echo.Segment{ACK: true, FIN: true}, func(*upstreamNode) {})
		f.closed = true
	}
}

// fail closes the flow without sending a packet, and retries or finishes the
// request.
func (f *callerFlow) fail(o outcome) {
	f.closed = true
	f.caller.retryOrFinish(o)
}

// retryOrFinish sends the request again, on a new flow, if it may be repeated and retries
// are left.
// Otherwise the request ends with the given outcome. Requests that aren't repeatable
// are retried only if they did not run: the upstream rejected them, or the flow was
// never established.
func (c *caller) retryOrFinish(o outcome) {
	if !c.pending {
		return
	}
	mayRepeat := c.persistent || o == refused || o == rejected || o == timedOut && c.flow.upstream == nil
	if c.retries >= maxRetries || !mayRepeat {
		c.finish(o)
		return
	}
	c.retries++
	c.flow.close()
	c.openFlow()
}

// resetFlow resets the caller's flow after its request has timed out.
func (c *caller) resetFlow() {
	if c.flow != nil && !c.flow.closed {
		c.flow.sendPacket(echo.Segment{RST: true}, func(*upstreamNode) {})
		c.flow.closed = true
	}
}

// finish records the outcome of the request and schedules the next one after a
// random think time.
func (c *caller) finish(o outcome) {
	sim := c.sim
	c.pending = false
	if c.greedy.IsValid() {
		if sim.now.Before(runStart.Add(patternEnd)) {
			sim.after(greedyPause, c.sendNext)
		}
		return
	}
	sim.measurement.finishRequest(c, o)
	sim.recorder.record(c.sentAt.Sub(runStart), c.dc, o, sim.now.Sub(c.sentAt))
	factor := sim.loadFactor
	if sim.demand != nil {
		factor *= sim.demand(c.dc, sim.now.Sub(runStart))
	}
	sim.after(time.Duration(float64(sim.exponential(sim.options.ThinkTime))/factor), c.sendNext)
}
