package echo

import (
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

// sendCopy sends a copy of the flow's SYN of which the caller has sent n before. The flow
// may be open meanwhile.
func (f *testFlow) sendCopy(n uint32) Decision {
	return f.harness.engine.Decide(f.harness.now, &Segment{SYN: true, Caller: f.caller, VirtualAddress: f.address, Seq: 1000, Ack: n})
}

// overload makes the harness refuse new flows of watchAddress.
func (h *harness) overload() {
	h.t.Helper()
	for range 20 {
		h.newFlow(orderAddress).sendSYN()
	}
	p := h.engine.pools[deskService]
	p.processingTime = time.Minute
	p.overload = overloadPeriod{since: h.now.Add(-2 * backlogTime), last: h.now}
	h.expectDecision(h.newFlow(watchAddress).sendSYN(), Reset, Overloaded)
}

// TestLateCopyOfSYNDoesNotResetAnOpenFlow guards against a copy of a SYN that the network
// or a host's queue delayed and that is refused like a new flow: the RST would end the flow,
// which is open at a live upstream by then.
func TestLateCopyOfSYNDoesNotResetAnOpenFlow(t *testing.T) {
	drainAll := func(h *harness) {
		for i := range h.upstreams {
			h.upstreams[i].Draining = true
		}
		h.applyView()
	}
	changes := map[string]func(*harness){
		"nothing":                func(*harness) {},
		"its upstream drains":    func(h *harness) { h.updateUpstream(1, func(e *catalog.Entry) { e.Draining = true }) },
		"all upstreams drain":    drainAll,
		"all data centres empty": func(h *harness) { h.evacuate(localDC, remoteDC) },
		"overload":               (*harness).overload,
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, newEntry(1, localDC), newEntry(2, remoteDC))
			f := h.newFlow(watchAddress)
			d := f.open()
			change(h)
			if got := f.sendCopy(0); got.Verdict != Drop || got.Reason != AlreadyOpen {
				t.Errorf("at the host that opened it: %v, %v", got.Verdict, got.Reason)
			}
			if u := h.engine.upstreams[d.Upstream]; u.unansweredFlows > 0 {
				t.Error("the copy counts as an unanswered flow")
			}
			h.expectDecision(f.sendRequest(), Forward, Known)

			other := newHarness(t, newEntry(1, localDC), newEntry(2, remoteDC))
			f.harness = other
			change(other)
			if got := f.sendCopy(1); got.Verdict == Reset {
				t.Errorf("at a host that has not seen the flow: reset, %v", got.Reason)
			}
			other.restart()
			other.expectDecision(f.sendRequest(), Forward, Echoed)
			other.expectDecision(f.sendCopy(1), Drop, AlreadyOpen)
		})
	}
}

// TestCopyOfSYNOfAnOpeningFlow guards against a RST for a copy of a SYN that overtakes the
// caller's first ACK at this host, when the upstream drains or is evacuated meanwhile.
func TestCopyOfSYNOfAnOpeningFlow(t *testing.T) {
	t.Run("nothing else is left", func(t *testing.T) {
		h := newHarness(t, newEntry(1, localDC))
		f := h.newFlow(watchAddress)
		d := f.sendSYN()
		h.updateUpstream(1, func(e *catalog.Entry) { e.Draining = true })
		h.expectDecision(f.sendCopy(1), Drop, NoUpstream)
		h.expectDecision(f.completeHandshake(d), Forward, Known)
	})
	t.Run("its upstream has left", func(t *testing.T) {
		h := newHarness(t, newEntry(1, localDC))
		f := h.newFlow(watchAddress)
		f.sendSYN()
		h.updateUpstream(1, func(e *catalog.Entry) { e.Draining, e.Presence = true, catalog.Departed })
		h.expectDecision(f.sendCopy(1), Reset, NoUpstream)
	})
	t.Run("the others would refuse a new flow", func(t *testing.T) {
		h := newHarness(t, newEntry(1, localDC), newEntry(2, remoteDC))
		f := h.newFlow(watchAddress)
		d := f.sendSYN()
		h.evacuate(localDC)
		h.overload()
		h.expectDecision(f.sendCopy(1), Forward, OpenedElsewhere)
		h.expectDecision(f.completeHandshake(d), Forward, Known)
	})
	t.Run("the view is partial", func(t *testing.T) {
		h := newHarness(t, newEntry(1, localDC))
		f := h.newFlow(watchAddress)
		f.sendSYN()
		h.upstreams[0].Draining = true
		h.engine.SetView(h.now, catalog.View{Partial: true, Configuration: &catalog.Configuration{Version: h.version, Routes: h.routes}, Upstreams: h.upstreams})
		h.expectDecision(f.sendCopy(1), Hold, NoUpstream)
	})
}

// TestWaitingSYNOfAnOpenFlow guards against a waiting SYN that is refused, or replaces the
// flow's record, after the flow was opened by another copy.
func TestWaitingSYNOfAnOpenFlow(t *testing.T) {
	h := newHarness(t, newEntry(1, localDC))
	f := h.newFlow(watchAddress)
	syn := Segment{SYN: true, Caller: f.caller, VirtualAddress: f.address, Seq: f.seq}
	h.engine.enqueueFlow(h.now, h.engine.pools[deskService], h.engine.routes[watchAddress], &syn, nil, nil)
	f.token, f.seq, f.ack = tokenOf(1), f.seq+1, 5000
	h.expectDecision(f.send(Segment{ACK: true}), Forward, Echoed)
	h.evacuate(localDC)
	_, d, ok := h.engine.NextAdmitted(h.now)
	if !ok {
		t.Fatal("the SYN waits on")
	}
	h.expectDecision(d, Drop, AlreadyOpen)
	h.expectDecision(f.sendRequest(), Forward, Known)
}

// TestCopyOfLostSYNIsRefusedOnceNoFlowCanBeOpen guards against callers whose first SYN was
// lost and that wait for their time-out while nothing can serve them.
func TestCopyOfLostSYNIsRefusedOnceNoFlowCanBeOpen(t *testing.T) {
	h := newHarness(t, newEntry(1, localDC))
	h.evacuate(localDC)
	h.expectDecision(h.newFlow(watchAddress).sendCopy(1), Drop, Evacuated)
	h.advance(recentlyTakingFlows)
	h.applyView()
	h.expectDecision(h.newFlow(watchAddress).sendCopy(1), Reset, Evacuated)
	h.updateUpstream(1, func(e *catalog.Entry) { e.Presence = catalog.Departed })
	h.evacuate()
	h.expectDecision(h.newFlow(watchAddress).sendCopy(1), Reset, NoUpstream)
}

// TestSupersededSYNIsDropped guards against a flow that two upstreams have answered: a host that
// stood still forwards the SYN of a flow that another host has opened meanwhile.
func TestSupersededSYNIsDropped(t *testing.T) {
	tests := []struct {
		copies uint32
		// superseded is the delay from which on the SYN is dropped.
		superseded time.Duration
	}{
		{0, 200 * time.Millisecond}, {1, 400 * time.Millisecond}, {2, 800 * time.Millisecond}, {3, 800 * time.Millisecond},
	}
	for _, test := range tests {
		h := newHarness(t, newEntry(1, localDC))
		f := h.newFlow(watchAddress)
		f.ack = test.copies
		h.expectDecision(f.send(Segment{SYN: true, Delayed: test.superseded}), Drop, Superseded)
		h.expectDecision(f.send(Segment{SYN: true, Delayed: test.superseded - 1}), Forward, Opened)
	}
}

// TestCopyReadWithItsSYNGoesToTheSameUpstream guards against a flow that two upstreams answer
// because a slow host reads its SYN and the copies together: they show nothing of the first one.
func TestCopyReadWithItsSYNGoesToTheSameUpstream(t *testing.T) {
	h := newHarness(t, tenUpstreams()...)
	for range 20 {
		f := h.newFlow(watchAddress)
		first := f.sendSYN()
		h.advance(minRetransmitDelay - 1)
		f.ack = 1
		d := f.sendSYN()
		h.expectDecision(d, Forward, OpenedAgain)
		if d.Upstream != first.Upstream {
			t.Fatalf("the copy goes to upstream %d, the SYN went to %d", d.Upstream, first.Upstream)
		}
	}
	f := h.newFlow(watchAddress)
	first := f.sendSYN()
	h.updateUpstream(int(first.Upstream), func(e *catalog.Entry) { e.Draining = true })
	f.ack = 1
	h.expectDecision(f.sendSYN(), Forward, OpenedElsewhere)
}
