package echo

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

func TestNewFlowsGoWhereSlotsAreFree(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, newEntry(1, localDC), newEntry(2, localDC))
	counts := make(map[catalog.UpstreamID]int)
	for range 6 {
		counts[h.newFlow(watchAddress).open().Upstream]++
	}
	g.Expect(counts).To(Equal(map[catalog.UpstreamID]int{1: 3, 2: 3}))
}

// TestPausingFlowsAreSpreadEvenly guards against upstreams that collect flows by chance: flows
// that pause between requests have none outstanding when the next flow is placed.
func TestPausingFlowsAreSpreadEvenly(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, newEntry(1, localDC), newEntry(2, localDC), newEntry(3, localDC), newEntry(4, localDC))
	open := func(n int) map[catalog.UpstreamID]int {
		counts := make(map[catalog.UpstreamID]int)
		for range n {
			f := h.newFlow(watchAddress)
			counts[f.open().Upstream]++
			f.sendRequest()
			h.advance(20 * time.Millisecond)
			f.ackResponse()
		}
		return counts
	}
	g.Expect(open(40)).To(Equal(map[catalog.UpstreamID]int{1: 10, 2: 10, 3: 10, 4: 10}))
	h.engine.options.Without = 1 << RecentRequests
	g.Expect(open(400)).NotTo(Equal(map[catalog.UpstreamID]int{1: 100, 2: 100, 3: 100, 4: 100}))
}

// TestNewUpstreamGetsItsShareOnly guards against a new upstream, or one that has returned,
// that gets every new flow because it has no recent requests.
func TestNewUpstreamGetsItsShareOnly(t *testing.T) {
	g := NewWithT(t)
	entries := []catalog.Entry{newEntry(1, localDC), newEntry(2, localDC), newEntry(3, localDC), newEntry(4, localDC)}
	h := newHarness(t, entries[:3]...)
	h.completeRequests(watchAddress, 300, 20*time.Millisecond)
	share := func(number catalog.UpstreamID) int {
		n := 0
		for range 40 {
			f := h.newFlow(watchAddress)
			if f.open().Upstream == number {
				n++
			}
			f.sendRequest()
			h.advance(20 * time.Millisecond)
			f.ackResponse()
			f.sendFIN()
		}
		return n
	}
	h.upstreams = entries
	h.applyView()
	g.Expect(share(4)).To(BeNumerically("~", 10, 2), "a new upstream")
	h.updateUpstream(2, func(e *catalog.Entry) { e.Draining = true })
	h.completeRequests(watchAddress, 300, 20*time.Millisecond)
	h.updateUpstream(2, func(e *catalog.Entry) { e.Draining = false })
	g.Expect(share(2)).To(BeNumerically("~", 10, 2), "an upstream that was away")
	h.updateUpstream(3, func(e *catalog.Entry) { e.Started = e.Started.Add(time.Hour) })
	g.Expect(share(3)).To(BeNumerically("~", 10, 2), "a restarted upstream")
}

// TestBusiestRatioShowsImbalance checks what operators see when one upstream has flows with
// more requests than others.
func TestBusiestRatioShowsImbalance(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, newEntry(1, localDC), newEntry(2, localDC), newEntry(3, remoteDC))
	g.Expect(h.engine.Stats(h.now).BusiestRatio).To(BeZero(), "without requests")
	h.completeRequests(watchAddress, 60, time.Millisecond)
	g.Expect(h.engine.Stats(h.now).BusiestRatio).To(BeNumerically("~", 1, 0.05))
	f := h.newFlow(watchAddress)
	f.open()
	for range 60 {
		f.sendRequest()
		h.advance(time.Millisecond)
		f.ackResponse()
	}
	g.Expect(h.engine.Stats(h.now).BusiestRatio).To(BeNumerically("~", 1.5, 0.05), "90 requests at one and 30 at the other")
	h.advance(time.Minute)
	g.Expect(h.engine.Stats(h.now).BusiestRatio).To(BeZero(), "a minute later")
}

// TestShareFollowsSpeed guards against a slow upstream that gets as many flows as a quick one
// whenever it has none outstanding, and against one that looks quick as it fails at once.
func TestShareFollowsSpeed(t *testing.T) {
	serve := func(h *harness, n int, took map[catalog.UpstreamID]time.Duration) map[catalog.UpstreamID]int {
		counts := make(map[catalog.UpstreamID]int)
		for range n {
			f := h.newFlow(watchAddress)
			d := f.open()
			counts[d.Upstream]++
			f.sendRequest()
			h.advance(took[d.Upstream])
			f.ackResponse()
			f.sendFIN()
			h.advance(10 * time.Millisecond)
		}
		return counts
	}
	g := NewWithT(t)
	h := newHarness(t, newEntry(1, localDC), newEntry(2, localDC), newEntry(3, localDC))
	even := map[catalog.UpstreamID]time.Duration{1: 20 * time.Millisecond, 2: 20 * time.Millisecond, 3: 20 * time.Millisecond}
	serve(h, 100, even)
	slow := map[catalog.UpstreamID]time.Duration{1: 80 * time.Millisecond, 2: 20 * time.Millisecond, 3: 20 * time.Millisecond}
	serve(h, 300, slow)
	got := serve(h, 300, slow)
	g.Expect(got[1]).To(BeNumerically("~", 300/9, 12), "a quarter of the speed of the others")
	g.Expect(got[2]).To(BeNumerically("~", got[3], 10))
	serve(h, 1500, even)
	g.Expect(serve(h, 300, even)[1]).To(BeNumerically("~", 100, 10), "once it is as quick as the others")
}

// TestFailingFastEarnsNoFlows covers an upstream whose short answers come at once.
func TestFailingFastEarnsNoFlows(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, tenUpstreams()...)
	h.engine.options.Without = 1<<Ejection | 1<<FailedCost
	h.learnUsualAnswers()
	before := h.engine.upstreams[1].recent.count
	h.failAnswers(1, 20)
	g.Expect(h.engine.upstreams[1].recent.count).To(BeNumerically(">=", before))
}

// TestRecentRequestsOutliveTheirUnit covers a host that runs for hours: the weights of
// requests grow with time and must not overflow.
func TestRecentRequestsOutliveTheirUnit(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, newEntry(1, localDC), newEntry(2, localDC))
	for range 100 {
		h.advance(7 * time.Minute)
		counts := make(map[catalog.UpstreamID]int)
		for range 10 {
			f := h.newFlow(watchAddress)
			counts[f.open().Upstream]++
			f.sendRequest()
			f.ackResponse()
			f.sendFIN()
		}
		g.Expect(counts).To(Equal(map[catalog.UpstreamID]int{1: 5, 2: 5}))
	}
}

func TestFlowsStayInTheirDataCentreWhileItHasFreeSlots(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, newEntry(1, localDC), newEntry(2, remoteDC))
	for range 3 {
		g.Expect(h.newFlow(watchAddress).open().Upstream).To(BeEquivalentTo(1), "the local upstream has a free slot")
	}
	counts := make(map[catalog.UpstreamID]int)
	for range 2 {
		counts[h.newFlow(watchAddress).open().Upstream]++
	}
	g.Expect(counts).To(Equal(map[catalog.UpstreamID]int{1: 1, 2: 1}), "once all local slots are in use, both upstreams cost the same")
}

func TestWarmingUpstreamGetsFewerFlows(t *testing.T) {
	g := NewWithT(t)
	warming := newEntry(1, localDC)
	warming.WarmUntil = startTime.Add(time.Minute)
	h := newHarness(t, warming, newEntry(2, localDC))
	counts := make(map[catalog.UpstreamID]int)
	for range 32 {
		counts[h.newFlow(orderAddress).open().Upstream]++
	}
	g.Expect(counts[1]).To(BeNumerically("<", counts[2]))
	g.Expect(counts[1]).To(BeNumerically(">", 8))
}

func TestHighestPriorityIsServedUnderOverload(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, newEntry(1, localDC))
	h.completeRequests(watchAddress, 10, 60*time.Millisecond)
	h.setOverloadLasting()
	admitted := 0
	for range 100 {
		if h.newFlow(watchAddress).sendSYN().Verdict == Forward {
			admitted++
		}
	}
	g.Expect(admitted).To(BeNumerically("~", 12, 2), "three slots with a processing time of 60 ms serve about twelve requests in 250 ms")
	h.expectDecision(h.newFlow(watchAddress).sendSYN(), Reset, Overloaded)
	h.expectDecision(h.newFlow(orderAddress).sendSYN(), Forward, Opened)
}

func TestNoFlowIsRefusedWhileASlotIsFree(t *testing.T) {
	h := newHarness(t, newEntry(1, localDC), newEntry(2, remoteDC))
	h.completeRequests(watchAddress, 10, 400*time.Millisecond)
	h.advance(50 * time.Millisecond)
	h.expectDecision(h.newFlow(watchAddress).sendSYN(), Forward, Opened)
}
