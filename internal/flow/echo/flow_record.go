package echo

import (
	"net/netip"
	"time"
)

// flowKey identifies a flow.
type flowKey struct {
	caller, address netip.AddrPort
}

// flowState is the state of a flow as seen by this host.
type flowState uint8

const (
	// stateOpening flows have sent a SYN and nothing else.
	stateOpening flowState = iota
	// stateOpen flows have sent a packet other than a SYN.
	stateOpen
	// stateClosed flows have sent a FIN or a RST, or were reset by this host.
	stateClosed
)

// flowRecord is this host's state for one flow.
type flowRecord struct {
	upstream *upstream
	state    flowState
	// sawSYN is set when this host has seen the flow's SYN.
	sawSYN bool
	// sentRequest is set when the flow has sent data.
	sentRequest bool
	// awaitingResponse is set from the flow's SYN, or a later request, until the
	// request's response is acknowledged. A new flow thus counts as outstanding
	// before its first request arrives.
	awaitingResponse bool
	// overdue is set when the outstanding request has been counted as overdue, and late when it
	// has been counted as late.
	overdue, late bool
	// trial is set if the flow was sent to a mute upstream to find out if it answers.
	trial bool
	// foundFreeSlot is set if this host's other outstanding requests left a slot of the
	// upstream free when awaitingResponse was set.
	foundFreeSlot bool
	// links are those in the list of the route's outstanding requests.
	links requestLinks
	// countedSeries is one more than the upstream's strikeSeries at the time when the flow
	// was last counted in unansweredFlows, or zero if it never was.
	countedSeries uint32
	// process is the number of the upstream's process that holds the flow, as far as this host
	// knows; zero if it does not.
	process uint32
	// synSeq is the sequence number of the SYN.
	synSeq uint32
	// nextSeq is the sequence number after the last byte that the caller has sent.
	nextSeq uint32
	// highestAck is the caller's highest acknowledgement number.
	highestAck uint32
	// created is when the SYN, or else the first packet seen, arrived.
	created time.Time
	// requestedAt is when the latest SYN or request arrived; retransmissions do not
	// change it.
	requestedAt time.Time
	// requestTimeout is the route's request timeout, or zero if it has none.
	requestTimeout time.Duration
	// lastSeen is when the last packet arrived.
	lastSeen time.Time
}

// seqAfter reports whether sequence number a is after b, taking wraparound at 2^32
// into account.
func seqAfter(a, b uint32) bool {
	return int32(a-b) > 0
}

// responseTimeout returns how long after a request the response is expected.
func (r *flowRecord) responseTimeout() time.Duration {
	if r.requestTimeout > 0 {
		return r.requestTimeout
	}
	return defaultRequestTimeout
}

// startRequest records the arrival of a SYN or a request and counts the flow as
// outstanding at the upstream, unless it already is.
func (r *flowRecord) startRequest(now time.Time) {
	r.settleOverdue(now)
	r.requestedAt, r.late = now, false
	if !r.awaitingResponse {
		r.foundFreeSlot = float64(r.upstream.outstanding) < r.upstream.effectiveSlots(now)
		r.awaitingResponse = true
		r.upstream.outstanding++
	}
}

// endRequest ends the wait for a response, if any, and no longer counts the flow as
// outstanding at the upstream.
func (r *flowRecord) endRequest() {
	r.unlist()
	r.settleOverdue(r.lastSeen)
	if r.awaitingResponse {
		r.awaitingResponse = false
		r.upstream.outstanding--
	}
}

// setState sets the flow's state and updates the upstream's number of open flows.
func (r *flowRecord) setState(next flowState) {
	if r.state == stateOpen {
		r.upstream.openFlows--
	}
	r.state = next
	if next == stateOpen {
		r.upstream.openFlows++
	}
}

// reassign moves the flow to another upstream. The flow keeps its state and counts
// towards the new upstream's numbers instead of the old one's.
func (r *flowRecord) reassign(u *upstream) {
	if r.upstream == u {
		return
	}
	awaiting, state := r.awaitingResponse, r.state
	if r.upstream != nil {
		r.endRequest()
		r.setState(stateClosed)
	}
	r.upstream, r.process = u, 0
	if !r.created.Before(u.seen.since) {
		r.process = u.seen.number
	}
	r.setState(state)
	if awaiting {
		r.awaitingResponse = true
		u.outstanding++
	}
}

// release closes the flow, so that it no longer counts towards its upstream's numbers
// of outstanding requests and open flows.
func (r *flowRecord) release() {
	r.endRequest()
	r.setState(stateClosed)
}
