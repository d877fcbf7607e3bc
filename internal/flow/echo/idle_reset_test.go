package echo

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/evidence"
)

// takeResets lets the engine sweep and returns the callers of the flows that it resets.
func (h *harness) takeResets() map[string]Reason {
	h.completeOtherServiceRequest()
	resets := make(map[string]Reason)
	for {
		s, d, ok := h.engine.NextReset()
		if !ok {
			return resets
		}
		if d.Verdict != Reset {
			h.t.Errorf("got verdict %v, want a reset", d.Verdict)
		}
		resets[s.Caller.String()] = d.Reason
	}
}

// TestIdleFlowsOfFailedUpstreamsAreReset guards against callers that learn of a crashed
// upstream only from a request that they cannot repeat.
func TestIdleFlowsOfFailedUpstreamsAreReset(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, newEntry(1, localDC), newEntry(2, localDC))
	flows := h.openOnEach(2, 3)
	idle, busy := flows[1][2], flows[1][:2]
	h.advance(300 * time.Millisecond)
	h.engine.lastPacket = h.now // otherwise the gap counts as a pause of the host
	h.leaveUnanswered(busy...)
	g.Expect(h.suspectedNames()).To(ConsistOf("i-00000001"))
	h.advance(minSilenceBeforeReset - time.Millisecond)
	g.Expect(h.takeResets()).To(BeEmpty(), "a probe may still clear the upstream")
	h.advance(suspectedSweepInterval)
	resets := h.takeResets()
	g.Expect(resets).To(HaveKeyWithValue(idle.caller.String(), UnreachableIdle))
	for _, f := range busy {
		g.Expect(resets).NotTo(HaveKey(f.caller.String()), "a request on the way may run")
	}
	for _, f := range flows[2] {
		g.Expect(resets).NotTo(HaveKey(f.caller.String()))
	}
	g.Expect(h.engine.PendingResets()).To(BeZero())
	h.advance(suspectedSweepInterval)
	g.Expect(h.takeResets()).To(BeEmpty(), "each flow is reset once")
}

// TestIdleFlowsOfLiveUpstreamsAreKept guards against resets of flows that could go on.
func TestIdleFlowsOfLiveUpstreamsAreKept(t *testing.T) {
	tests := map[string]func(h *harness){
		"cleared by a probe": func(h *harness) {
			h.engine.suspect(h.now, h.engine.upstreams[1], Retransmissions)
			h.advance(probeInterval)
			h.engine.ProbeSucceeded(h.now, 1)
		},
		"its data centre is silent": func(h *harness) { h.engine.suspect(h.now, h.engine.upstreams[1], UnresponsiveDataCentre) },
		"its data centre is evacuated": func(h *harness) {
			h.evacuate(localDC)
			h.engine.suspect(h.now, h.engine.upstreams[1], Retransmissions)
		},
		"reports of other hosts end": func(h *harness) {
			h.engine.SetEvidence(h.now, []evidence.Entry{{Upstream: 1, Strikes: 2, SilentHosts: 2, AnswerAge: evidence.NoAnswer}})
			h.engine.SetEvidence(h.now, []evidence.Entry{{Upstream: 1, Answers: 1, AnswerAge: 0}})
		},
		"only its registration is gone": func(h *harness) {
			h.updateUpstream(1, func(e *catalog.Entry) { e.Presence = catalog.Departed })
		},
		"the service takes long": func(h *harness) {
			h.engine.pools[deskService].processingTime = time.Second
			h.engine.suspect(h.now, h.engine.upstreams[1], Retransmissions)
		},
		"the mechanism is off": func(h *harness) {
			h.engine.options.Without = 1 << IdleReset
			h.engine.suspect(h.now, h.engine.upstreams[1], Retransmissions)
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, newEntry(1, localDC), newEntry(2, localDC))
			h.openOnEach(2, 1)
			h.completeOtherServiceRequest()
			change(h)
			h.advance(2 * time.Second)
			if resets := h.takeResets(); len(resets) > 0 {
				t.Errorf("reset %v", resets)
			}
		})
	}
}

func TestIdleFlowsOfAnUpstreamThatLeftAreReset(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, newEntry(1, localDC), newEntry(2, localDC))
	f := h.openOnEach(2, 1)[1][0]
	h.updateUpstream(1, func(e *catalog.Entry) { e.Presence, e.Draining = catalog.Departed, true })
	h.advance(sweepInterval)
	g.Expect(h.takeResets()).To(HaveKeyWithValue(f.caller.String(), UpstreamLeft))
}
