package echo

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

// silentHarness has three local upstreams and a remote one, and lets the copies of two SYNs
// arrive that no local upstream has answered.
func silentHarness(t *testing.T, without ...Mechanism) *harness {
	h := newHarness(t, newEntry(1, localDC), newEntry(2, localDC), newEntry(3, localDC), newEntry(4, remoteDC))
	for _, m := range without {
		h.engine.options.Without |= 1 << m
	}
	lost := []*testFlow{h.newFlow(orderAddress), h.newFlow(orderAddress)}
	for _, f := range lost {
		f.sendSYN()
	}
	h.advance(200 * time.Millisecond)
	for _, f := range lost {
		f.sendSYN()
	}
	return h
}

// TestNewFlowsAvoidASilentDataCentre guards against hosts that try each upstream of their own
// data centre in turn after all of them have failed together.
func TestNewFlowsAvoidASilentDataCentre(t *testing.T) {
	g := NewWithT(t)
	next := func(h *harness) catalog.UpstreamID { return h.newFlow(orderAddress).sendSYN().Upstream }
	g.Expect(next(silentHarness(t, DataCentreSilence))).NotTo(BeEquivalentTo(4))

	h := silentHarness(t)
	g.Expect(h.events).To(ContainElement(HaveField("Kind", DataCentreSilent)))
	for range 3 {
		g.Expect(next(h)).To(BeEquivalentTo(4))
	}
	h.advance(silenceDuration)
	h.engine.lastPacket = h.now // otherwise the gap counts as a pause of the host
	g.Expect(next(h)).NotTo(BeEquivalentTo(4), "it is tried again")

	h = silentHarness(t)
	h.upstreams = h.upstreams[:3]
	h.applyView()
	g.Expect(next(h)).NotTo(BeZero(), "no other data centre is left")

	h = silentHarness(t)
	h.upstreams = append(h.upstreams, newEntry(5, localDC))
	h.upstreams[4].Service = storeService
	h.otherServiceFlow = nil
	h.completeOtherServiceRequest()
	g.Expect(next(h)).NotTo(BeEquivalentTo(4), "an upstream there has answered")
}

// TestSingleLossesAreNoSilence guards against flows that leave a data centre which works.
func TestSingleLossesAreNoSilence(t *testing.T) {
	tests := map[string]func(h *harness, lost []*testFlow){
		"an answer between two losses": func(h *harness, lost []*testFlow) {
			lost[0].sendSYN()
			h.completeOtherServiceRequest()
			lost[1].sendSYN()
		},
		"all copies of one flow": func(h *harness, lost []*testFlow) {
			for _, wait := range []time.Duration{0, 400 * time.Millisecond, 800 * time.Millisecond} {
				h.advance(wait)
				h.engine.lastPacket = h.now // otherwise the gap counts as a pause of the host
				lost[0].sendSYN()
			}
		},
		"reordered packets": func(h *harness, lost []*testFlow) {
			h.now = h.now.Add(-100 * time.Millisecond)
			lost[0].sendSYN()
			lost[1].sendSYN()
		},
	}
	for name, play := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t, newEntry(1, localDC), newEntry(2, localDC), newEntry(3, remoteDC))
			h.completeOtherServiceRequest()
			lost := []*testFlow{h.newFlow(orderAddress), h.newFlow(orderAddress)}
			for _, f := range lost {
				f.sendSYN()
			}
			h.advance(200 * time.Millisecond)
			play(h, lost)
			g.Expect(h.events).NotTo(ContainElement(HaveField("Kind", DataCentreSilent)))
		})
	}
}
