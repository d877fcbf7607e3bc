package echo

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/evidence"
)

// evacuate applies a view in which exactly the given data centres are evacuated.
func (h *harness) evacuate(dataCentres ...string) {
	h.evacuations = nil
	for i, name := range dataCentres {
		h.evacuations = append(h.evacuations, catalog.Evacuation{DataCentre: name, Position: catalog.Position{Revision: uint64(70 + i)}, Since: h.now})
	}
	h.applyView()
}

// dataCentreOf returns the data centre of the upstream that a decision forwards to.
func (h *harness) dataCentreOf(d Decision) string {
	h.t.Helper()
	if d.Verdict != Forward {
		h.t.Fatalf("got verdict %d (reason %v), want a forwarded packet", d.Verdict, d.Reason)
	}
	return h.engine.upstreams[d.Upstream].DataCentre
}

// TestNewFlowsAvoidAnEvacuatedDataCentre guards against a new flow that is sent to an
// evacuated data centre, whatever makes the others look worse, and against an evacuation
// that outlasts its withdrawal.
func TestNewFlowsAvoidAnEvacuatedDataCentre(t *testing.T) {
	tests := map[string]func(h *harness){
		"others idle": func(*harness) {},
		"others full": func(h *harness) {
			for range 40 {
				h.newFlow(orderAddress).sendSYN()
			}
		},
		"others suspected": func(h *harness) { h.engine.suspect(h.now, h.engine.upstreams[2], Retransmissions) },
		"others ejected":   func(h *harness) { h.engine.eject(h.now, h.engine.upstreams[2]) },
		"record written again": func(h *harness) {
			h.updateUpstream(1, func(e *catalog.Entry) { e.Started, e.Slots = startTime, 30 })
		},
		"another process appears there": func(h *harness) {
			h.upstreams = append(h.upstreams, newEntry(3, localDC))
			h.applyView()
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, newEntry(1, localDC), newEntry(2, remoteDC))
			if got := h.dataCentreOf(h.newFlow(orderAddress).sendSYN()); got != localDC {
				t.Fatalf("before the evacuation a flow went to %s", got)
			}
			h.evacuate(localDC)
			change(h)
			for range 20 {
				if got := h.dataCentreOf(h.newFlow(orderAddress).sendSYN()); got != remoteDC {
					t.Fatalf("a flow went to %s", got)
				}
			}
			h.evacuate()
			if got := h.dataCentreOf(h.newFlow(orderAddress).sendSYN()); got != localDC {
				t.Errorf("after the withdrawal a flow went to %s", got)
			}
		})
	}
}

// TestEverythingEvacuatedIsRefusedAtOnce guards against callers that wait, or are told
// that no upstream exists, when the operator has evacuated all that are left.
func TestEverythingEvacuatedIsRefusedAtOnce(t *testing.T) {
	h := newHarness(t, newEntry(1, localDC), newEntry(2, remoteDC))
	h.evacuate(localDC, remoteDC)
	h.expectDecision(h.newFlow(orderAddress).sendSYN(), Reset, Evacuated)
	h.updateUpstream(2, func(e *catalog.Entry) { e.Draining = true })
	h.expectDecision(h.newFlow(orderAddress).sendSYN(), Reset, Evacuated)
	h.updateUpstream(1, func(e *catalog.Entry) { e.Draining = true })
	h.expectDecision(h.newFlow(orderAddress).sendSYN(), Reset, NoUpstream)
}

// TestOpenFlowsStayAtEvacuatedUpstreams guards against a reset or a move of a flow that is
// open at a live upstream, by a host that opened it and by one that has just started.
func TestOpenFlowsStayAtEvacuatedUpstreams(t *testing.T) {
	h := newHarness(t, newEntry(1, localDC), newEntry(2, remoteDC))
	f := h.newFlow(watchAddress)
	f.open()
	h.evacuate(localDC, remoteDC)
	h.expectDecision(f.sendRequest(), Forward, Known)
	h.advance(50 * time.Millisecond)
	h.expectDecision(f.ackResponse(), Forward, Known)
	// A copy of the SYN of an open flow, which the network delayed, opens nothing.
	late := Segment{SYN: true, Caller: f.caller, VirtualAddress: f.address, Seq: 1000}
	h.expectDecision(h.engine.Decide(h.now, &late), Drop, AlreadyOpen)
	h.expectDecision(f.sendRequest(), Forward, Known)

	started := newHarness(t, newEntry(1, localDC), newEntry(2, remoteDC))
	started.evacuate(localDC, remoteDC)
	f.harness = started
	started.expectDecision(f.sendRequest(), Forward, Echoed)
}

// TestRetransmittedSYNLeavesAnEvacuatedDataCentre guards against a copy of a SYN that is
// sent to an evacuated upstream, also if that upstream answers others.
func TestRetransmittedSYNLeavesAnEvacuatedDataCentre(t *testing.T) {
	for name, elsewhere := range map[string]bool{"another data centre is left": true, "none is left": false} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, newEntry(1, localDC), newEntry(2, remoteDC))
			f := h.newFlow(orderAddress)
			f.sendSYN()
			h.advance(10 * time.Millisecond)
			h.newFlow(orderAddress).open()
			evacuated := []string{localDC}
			if !elsewhere {
				evacuated = append(evacuated, remoteDC)
			}
			h.evacuate(evacuated...)
			h.advance(200 * time.Millisecond)
			d := f.sendSYN()
			if !elsewhere {
				h.expectDecision(d, Drop, Evacuated) // the flow may be open already
				h.expectDecision(h.newFlow(orderAddress).sendSYN(), Reset, Evacuated)
				return
			}
			h.expectDecision(d, Forward, OpenedElsewhere)
			if !d.Detail.Evacuated || d.Detail.Upstream != "i-00000001" {
				t.Errorf("the decision does not tell why: %+v", d.Detail)
			}
			if got := h.dataCentreOf(d); got != remoteDC {
				t.Errorf("the copy went to %s", got)
			}
			if d = f.sendSYN(); d.Upstream != 2 {
				t.Errorf("a further copy went to %d", d.Upstream)
			}
		})
	}
}

// TestWaitingFlowsArePlacedAgain guards against flows that wait for a slot of an evacuated
// data centre.
func TestWaitingFlowsArePlacedAgain(t *testing.T) {
	h := newHarness(t, newEntry(1, localDC), newEntry(2, remoteDC))
	r := h.engine.routes[watchAddress]
	for i := range 2 {
		syn := Segment{SYN: true, Caller: h.newFlow(watchAddress).caller, VirtualAddress: watchAddress, Seq: uint32(i)}
		h.engine.enqueueFlow(h.now, h.engine.pools[deskService], r, &syn, nil, nil)
	}
	h.evacuate(localDC)
	_, d, ok := h.engine.NextAdmitted(h.now)
	if !ok || h.dataCentreOf(d) != remoteDC {
		t.Errorf("got %+v, %t", d, ok)
	}
	h.evacuate(localDC, remoteDC)
	_, d, ok = h.engine.NextAdmitted(h.now)
	if !ok {
		t.Fatal("the flow waits although nothing can take it")
	}
	h.expectDecision(d, Reset, Evacuated)
}

// TestFailureDetectionIgnoresEvacuatedUpstreams guards against evacuated upstreams that
// take part in judgements about others, and against probes of them.
func TestFailureDetectionIgnoresEvacuatedUpstreams(t *testing.T) {
	t.Run("they do not raise the cap of ejections", func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, newEntry(1, localDC), newEntry(2, localDC), newEntry(3, remoteDC), newEntry(4, remoteDC))
		h.evacuate(remoteDC)
		h.engine.upstreams[1].counts = answerCounts{answers: 10, failed: 10, at: h.now}
		h.engine.evaluatePools(h.now.Add(time.Second))
		g.Expect(h.engine.upstreams[1].ejection.until).To(BeZero(), "one of two eligible upstreams is more than a third")
	})
	t.Run("their failed answers do not hide those of others", func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, newEntry(1, localDC), newEntry(2, localDC), newEntry(3, localDC), newEntry(4, remoteDC))
		h.evacuate(remoteDC)
		h.engine.upstreams[1].counts = answerCounts{answers: 10, failed: 10, at: h.now}
		h.engine.upstreams[4].counts = answerCounts{answers: 20, failed: 3, at: h.now}
		h.engine.evaluatePools(h.now.Add(time.Second))
		g.Expect(h.engine.upstreams[1].ejection.until).NotTo(BeZero())
	})
	t.Run("they are not probed until they take flows again", func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, newEntry(1, localDC), newEntry(2, remoteDC))
		h.engine.suspect(h.now, h.engine.upstreams[2], Retransmissions)
		h.evacuate(remoteDC)
		g.Expect(h.engine.DueProbes(h.now)).To(BeEmpty())
		h.evacuate()
		g.Expect(h.engine.DueProbes(h.now)).To(HaveLen(1))
	})
	t.Run("a cut from their data centre resets open flows that go unanswered", func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, newEntry(1, localDC), newEntry(2, remoteDC), newEntry(3, remoteDC), newEntry(4, remoteDC))
		f := h.openOnEach(4, 1)[4][0]
		h.evacuate(remoteDC)
		h.advance(300 * time.Millisecond)
		h.engine.lastPacket = h.now // otherwise the gap counts as a pause of the host
		h.engine.suspect(h.now, h.engine.upstreams[2], Retransmissions)
		h.engine.suspect(h.now, h.engine.upstreams[3], Retransmissions)
		h.engine.checkDataCentre(h.now, h.engine.upstreams[3])
		h.expectDecision(f.sendRequest(), Forward, Known)
		for range 3 { // once it has gone unanswered for longer than an upstream may stall
			h.advance(200 * time.Millisecond)
			h.completeOtherServiceRequest()
		}
		h.expectDecision(f.retransmit(), Reset, Unreachable)
		h.evacuate()
		g.Expect(h.engine.DueProbes(h.now)).To(HaveLen(3), "probes clear the upstreams once the data centre is back")
	})
	t.Run("reports of other hosts reset open flows that go unanswered", func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, newEntry(1, localDC), newEntry(2, remoteDC))
		h.evacuate(remoteDC)
		h.engine.SetEvidence(h.now, []evidence.Entry{{Upstream: 2, Strikes: 2, SilentHosts: 2, AnswerAge: evidence.NoAnswer}})
		g.Expect(h.engine.upstreams[2].suspected()).To(BeTrue())
	})
	t.Run("an open flow is reset only if it goes unanswered itself", func(t *testing.T) {
		h := newHarness(t, newEntry(1, localDC), newEntry(2, remoteDC))
		f := h.newFlow(watchAddress)
		f.open()
		h.evacuate(localDC)
		u := h.engine.upstreams[1]
		u.unansweredFlows = 2
		h.engine.suspect(h.now, u, Retransmissions)
		h.expectDecision(f.sendRequest(), Forward, Known) // without probes, only an answer shows that it is back
		h.advance(300 * time.Millisecond)
		h.expectDecision(f.retransmit(), Forward, Known) // it may have stalled
		h.advance(300 * time.Millisecond)
		h.expectDecision(f.retransmit(), Reset, Unreachable)
	})
	t.Run("their slow answers refuse no flow elsewhere", func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, newEntry(1, localDC), newEntry(2, remoteDC))
		flows := make([]*testFlow, 30)
		for i := range flows {
			flows[i] = h.newFlow(watchAddress)
			flows[i].open()
		}
		h.evacuate(localDC, remoteDC)
		for _, f := range flows {
			f.sendRequest()
		}
		h.advance(2 * time.Second)
		for _, f := range flows {
			f.ackResponse()
		}
		p := h.engine.pools[deskService]
		g.Expect(p.slowFraction).To(BeZero())
		g.Expect(p.processingTime).To(BeZero())
	})
}

// TestHostInsideAnEvacuatedDataCentre guards against a host that treats all upstreams which
// are left as worse because they are in other data centres.
func TestHostInsideAnEvacuatedDataCentre(t *testing.T) {
	h := newHarness(t, newEntry(1, localDC), newEntry(2, remoteDC), newEntry(3, "quay-c"))
	h.evacuate(localDC)
	counts := make(map[catalog.UpstreamID]int)
	for range 40 {
		d := h.newFlow(orderAddress).sendSYN()
		counts[d.Upstream]++
	}
	if counts[2] != 20 || counts[3] != 20 {
		t.Errorf("flows by upstream: %v, want 20 at each of the two that are left", counts)
	}
}

// TestEvacuationEvents covers what operators see of an evacuation: the counts of this host
// when it takes effect, and when it ends.
func TestEvacuationEvents(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, newEntry(1, localDC), newEntry(2, remoteDC))
	f := h.newFlow(orderAddress)
	f.open()
	f.sendRequest()
	h.evacuate(localDC, "nowhere")
	g.Expect(h.events).To(HaveLen(2))
	g.Expect(h.events[0]).To(Equal(Event{
		Kind: EvacuationInForce, DataCentre: localDC,
		Evacuation: EvacuationStatus{DataCentre: localDC, Position: catalog.Position{Revision: 70}, Since: h.now, Upstreams: 1, OpenFlows: 1, Outstanding: 1},
	}))
	g.Expect(h.events[1].Evacuation.Upstreams).To(BeZero(), "no upstream is in a data centre of that name")
	h.applyView()
	g.Expect(h.events).To(HaveLen(2), "a later view with the same evacuations is no news")
	g.Expect(h.engine.Evacuations()).To(HaveLen(2))
	stats := h.engine.Stats(h.now)
	g.Expect(stats.Evacuated).To(Equal(1))
	g.Expect(stats.Usable).To(Equal(1))
	h.advance(3 * time.Second)
	h.evacuate("nowhere")
	g.Expect(h.events).To(HaveLen(3))
	g.Expect(h.events[2].Kind).To(Equal(EvacuationEnded))
	g.Expect(h.events[2].Age).To(Equal(3 * time.Second))
	g.Expect(h.events[2].Evacuation.OpenFlows).To(Equal(1))
	g.Expect(h.engine.Stats(h.now).Evacuated).To(BeZero())
}
