package echo

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

// newFullHarness returns a harness with one upstream of two slots that has three requests
// of this host, so that a further one would be late: new flows wait.
func newFullHarness(t *testing.T) (*harness, []*testFlow) {
	u := newEntry(1, localDC)
	u.Slots = 2
	h := newHarness(t, u)
	for i := range h.routes {
		h.routes[i].Objective = 100 * time.Millisecond
	}
	h.addIdlePriorityZeroRoute()
	h.completeRequests(watchAddress, 10, 60*time.Millisecond)
	var running []*testFlow
	for range 3 {
		f := h.newFlow(orderAddress)
		f.open()
		f.sendRequest()
		running = append(running, f)
	}
	return h, running
}

// nextAdmitted returns the number of the flow that is decided on next, in the order in
// which the harness created the flows, and the decision. The number is zero if all wait.
func (h *harness) nextAdmitted() (int, Decision) {
	syn, d, ok := h.engine.NextAdmitted(h.now)
	if !ok {
		return 0, Decision{}
	}
	address := syn.Caller.Addr().As4()
	return int(address[2])<<8 | int(address[3]), d
}

func TestNewFlowWaitsUntilARequestEnds(t *testing.T) {
	g := NewWithT(t)
	h, running := newFullHarness(t)
	f := h.newFlow(watchAddress)
	h.expectDecision(f.sendSYN(), Hold, Queued)
	number := h.flowCount
	h.advance(50 * time.Millisecond)
	got, _ := h.nextAdmitted()
	g.Expect(got).To(BeZero(), "no request has ended")
	running[0].ackResponse()
	got, d := h.nextAdmitted()
	g.Expect(got).To(Equal(number))
	h.expectDecision(d, Forward, Opened)
	g.Expect(d.Detail.Waited).To(Equal(50 * time.Millisecond))
	g.Expect(h.engine.WaitingFlows()).To(BeZero())
	h.expectDecision(f.completeHandshake(d), Forward, Known)
}

// TestCopyOfWaitingSYNJoinsIt checks that a copy neither waits a second time nor goes
// ahead of the first.
func TestCopyOfWaitingSYNJoinsIt(t *testing.T) {
	g := NewWithT(t)
	h, running := newFullHarness(t)
	f := h.newFlow(watchAddress)
	h.expectDecision(f.sendSYN(), Hold, Queued)
	h.advance(100 * time.Millisecond)
	f.ack = 1
	h.expectDecision(f.sendSYN(), Hold, Queued)
	g.Expect(h.engine.WaitingFlows()).To(Equal(1))
	running[0].ackResponse()
	_, d := h.nextAdmitted()
	h.expectDecision(d, Forward, Opened)
	h.expectDecision(f.sendSYN(), Forward, OpenedAgain)
	running[1].ackResponse()
	got, _ := h.nextAdmitted()
	g.Expect(got).To(BeZero())
}

func TestNoFlowWaitsLongerThanTheLimit(t *testing.T) {
	g := NewWithT(t)
	h, _ := newFullHarness(t)
	h.expectDecision(h.newFlow(watchAddress).sendSYN(), Hold, Queued)
	h.advance(maxAdmissionWait)
	_, d := h.nextAdmitted()
	h.expectDecision(d, Forward, Opened)
	g.Expect(h.engine.WaitingFlows()).To(BeZero())
}

// TestWaitingFlowsAreAdmittedByPriorityAndDeadline covers flows of two priorities, and of
// callers that have waited for different times.
func TestWaitingFlowsAreAdmittedByPriorityAndDeadline(t *testing.T) {
	g := NewWithT(t)
	h, running := newFullHarness(t)
	p := h.engine.pools[deskService]
	p.slowFraction, p.slowUpdatedAt = 1, h.now // so that the higher priority waits as well
	send := func(copies uint32, address netip.AddrPort) int {
		f := h.newFlow(address)
		f.ack = copies
		h.expectDecision(f.sendSYN(), Hold, Queued)
		return h.flowCount
	}
	low, lowOlder, high := send(0, watchAddress), send(2, watchAddress), send(0, orderAddress)
	for i, number := range []int{high, lowOlder, low} {
		running[i].ackResponse()
		got, d := h.nextAdmitted()
		g.Expect(got).To(Equal(number))
		h.expectDecision(d, Forward, Opened)
	}
}

// TestFlowThatCannotBeServedIsRefusedAtOnce covers a request whose deadline passes before
// its turn at the upstream.
func TestFlowThatCannotBeServedIsRefusedAtOnce(t *testing.T) {
	h, _ := newFullHarness(t)
	h.routes[0].Timeout = 130 * time.Millisecond
	h.version++
	h.applyView()
	h.expectDecision(h.newFlow(watchAddress).sendSYN(), Hold, Queued)
	late := h.newFlow(watchAddress)
	late.ack = 1 // the first copy of its SYN was sent 200 ms ago
	h.expectDecision(late.sendSYN(), Reset, Overloaded)
}

// TestQueuesOfOtherHostsDoNotRefuseByDeadline covers the return of many clients at once: requests
// that queued behind those of other hosts took long, but a new one may still be served in time.
func TestQueuesOfOtherHostsDoNotRefuseByDeadline(t *testing.T) {
	h, running := newFullHarness(t)
	h.routes[0].Timeout = 500 * time.Millisecond
	h.version++
	h.applyView()
	for _, f := range running {
		f.ackResponse()
	}
	h.completeRequests(watchAddress, 60, 400*time.Millisecond)
	h.addOutstanding(3)
	h.expectDecision(h.newFlow(watchAddress).sendSYN(), Hold, Queued)
}

// TestBacklogIsServedAndLastingOverloadIsRefused sends new flows to a full upstream: for
// a second they wait and are served late, then they are refused, those that wait as well.
func TestBacklogIsServedAndLastingOverloadIsRefused(t *testing.T) {
	g := NewWithT(t)
	h, _ := newFullHarness(t)
	for range 4 {
		h.advance(50 * time.Millisecond)
		h.expectDecision(h.newFlow(watchAddress).sendSYN(), Hold, Queued)
		h.advance(maxAdmissionWait)
		_, d := h.nextAdmitted()
		h.expectDecision(d, Forward, Opened)
	}
	refused := false
	for range 5 {
		h.advance(250 * time.Millisecond)
		refused = h.newFlow(watchAddress).sendSYN().Reason == Overloaded || refused
	}
	g.Expect(refused).To(BeTrue())
	h.expectDecision(h.newFlow(watchAddress).sendSYN(), Reset, Overloaded)
}

func TestWaitingFlowsAreBounded(t *testing.T) {
	g := NewWithT(t)
	h, _ := newFullHarness(t)
	for range maxWaitingFlows {
		h.expectDecision(h.newFlow(watchAddress).sendSYN(), Hold, Queued)
	}
	h.expectDecision(h.newFlow(watchAddress).sendSYN(), Reset, Overloaded)
	g.Expect(h.engine.WaitingFlows()).To(Equal(maxWaitingFlows))
}

// TestWaitingFlowsAreRefusedWithoutUpstream covers upstreams that leave while flows wait
// for them.
func TestWaitingFlowsAreRefusedWithoutUpstream(t *testing.T) {
	h, _ := newFullHarness(t)
	h.expectDecision(h.newFlow(watchAddress).sendSYN(), Hold, Queued)
	h.updateUpstream(1, func(e *catalog.Entry) { e.Draining = true })
	_, d := h.nextAdmitted()
	h.expectDecision(d, Reset, NoUpstream)
}
