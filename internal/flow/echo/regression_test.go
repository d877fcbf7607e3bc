package echo

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

// TestSuspectedCountIgnoresUpstreamsThatLeft covers a suspected upstream that leaves the
// view while flows of it are open, and then answers one of them.
func TestSuspectedCountIgnoresUpstreamsThatLeft(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, newEntry(1, localDC), newEntry(2, localDC))
	flows := h.openOnEach(2, 3)
	h.leaveUnanswered(flows[1][0], flows[1][1])
	g.Expect(h.engine.ProbedCount()).To(Equal(1))
	h.upstreams = h.upstreams[1:]
	h.applyView()
	g.Expect(h.engine.ProbedCount()).To(BeZero())
	flows[1][0].ackResponse()
	g.Expect(h.engine.ProbedCount()).To(BeZero())
}

// TestFlowWithoutRequestIsNotReportedUnanswered covers a caller that opens a flow and
// sends its first request much later.
func TestFlowWithoutRequestIsNotReportedUnanswered(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, newEntry(1, localDC))
	idle, asking := h.newFlow(watchAddress), h.newFlow(watchAddress)
	idle.open()
	asking.open()
	asking.sendRequest()
	h.advance(defaultRequestTimeout + time.Second)
	h.engine.sweep(h.now)
	g.Expect(h.events).To(HaveLen(1))
	g.Expect(h.events[0].Kind).To(Equal(Unanswered))
	g.Expect(h.events[0].Caller).To(Equal(asking.caller))
	g.Expect(h.engine.OutstandingRequests()).To(BeEmpty(), "a flow without a request does not count for longer than a request would")
}

// TestHealthyUpstreamOfNextServiceIsPreferred covers a route with two services, of which
// the first has only suspected upstreams.
func TestHealthyUpstreamOfNextServiceIsPreferred(t *testing.T) {
	g := NewWithT(t)
	store := newEntry(2, localDC)
	store.Service = storeService
	h := newHarness(t, newEntry(1, localDC), store)
	h.routes[0].Shares = append(h.routes[0].Shares, catalog.Share{Service: storeService, Weight: 1})
	h.version++
	h.applyView()
	h.engine.suspect(h.now, h.engine.upstreams[1], Retransmissions)
	for range 20 {
		g.Expect(h.newFlow(watchAddress).open().Upstream).To(BeEquivalentTo(2))
	}
}

// TestRestartEndsHoldDown covers a new process under the ID of an upstream that was
// suspected repeatedly.
func TestRestartEndsHoldDown(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, newEntry(1, localDC), newEntry(2, localDC))
	u := h.engine.upstreams[1]
	u.holdDown = maxHoldDown
	h.updateUpstream(1, func(e *catalog.Entry) { e.Started = startTime.Add(time.Hour) })
	h.engine.suspect(h.now, u, Retransmissions)
	h.engine.ProbeSucceeded(h.now, 1)
	g.Expect(u.suspected()).To(BeFalse(), "the hold-down was that of the old process")
}

// TestFirstSYNWithSequenceNumberZero covers a new flow whose SYN has sequence number 0
// and whose source address and port were those of a flow that another host opened.
func TestFirstSYNWithSequenceNumberZero(t *testing.T) {
	h := newHarness(t, newEntry(1, localDC))
	f := h.newFlow(watchAddress)
	f.token = tokenOf(1)
	h.expectDecision(f.sendRequest(), Forward, Echoed)
	f.seq, f.ack, f.token = 0, 0, 0
	h.expectDecision(f.sendSYN(), Forward, Opened)
}

// TestSharesOfMaximumWeight covers weights whose sum exceeds 32 bits.
func TestSharesOfMaximumWeight(t *testing.T) {
	store := newEntry(2, localDC)
	store.Service = storeService
	h := newHarness(t, newEntry(1, localDC), store)
	h.routes[1].Shares = []catalog.Share{{Service: deskService, Weight: math.MaxUint32}, {Service: storeService, Weight: math.MaxUint32}}
	h.version++
	h.applyView()
	counts := make(map[catalog.UpstreamID]int)
	for range 400 {
		f := h.newFlow(orderAddress)
		counts[f.open().Upstream]++
		f.sendFIN()
	}
	if counts[1] < 140 || counts[2] < 140 {
		t.Errorf("equal weights, but the services got %d and %d of 400 flows", counts[1], counts[2])
	}
}
