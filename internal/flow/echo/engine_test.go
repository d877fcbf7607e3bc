package echo

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

func TestPacketsAreHeldWithoutConfiguration(t *testing.T) {
	h := newHarness(t)
	h.engine = New(Options{})
	h.expectDecision(h.newFlow(watchAddress).sendSYN(), Hold, NoConfiguration)
}

// TestPartialViewHoldsWhatItLacks checks that a host whose first listing is incomplete
// neither refuses nor drops a packet that the rest of the listing may allow.
func TestPartialViewHoldsWhatItLacks(t *testing.T) {
	h := newHarness(t, newEntry(1, localDC), newEntry(2, localDC))
	f := h.newFlow(watchAddress)
	opened := f.open()
	late := newEntry(2, localDC)
	if opened.Upstream == 2 {
		late = newEntry(1, localDC)
	}
	setView := func(partial bool, upstreams ...catalog.Entry) {
		h.engine.SetView(h.now, catalog.View{Configuration: &catalog.Configuration{Version: 1, Routes: h.routes}, Upstreams: upstreams, Partial: partial})
	}
	h.engine = New(Options{DataCentre: localDC, Seed: 3})
	setView(true)
	h.expectDecision(f.sendRequest(), Hold, UnknownToken)
	h.expectDecision(h.newFlow(watchAddress).sendSYN(), Hold, NoUpstream)
	h.expectDecision(h.newFlow(storeAddress).sendSYN(), Hold, NoRoute)
	setView(false, late)
	h.expectDecision(f.retransmit(), Drop, UnknownToken)
	h.expectDecision(h.newFlow(watchAddress).sendSYN(), Forward, Opened)
	h.expectDecision(h.newFlow(storeAddress).sendSYN(), Reset, NoRoute)
}

func TestAnyHostForwardsOpenFlowByItsToken(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, newEntry(1, localDC), newEntry(2, localDC), newEntry(3, remoteDC))
	f := h.newFlow(watchAddress)
	first := f.open()
	h.engine = New(Options{DataCentre: remoteDC, Seed: 99})
	h.applyView()
	later := f.sendRequest()
	h.expectDecision(later, Forward, Echoed)
	g.Expect(later.Upstream).To(Equal(first.Upstream))
	h.expectDecision(f.ackResponse(), Forward, Known)
}

func TestTokenOfAnotherServiceIsDropped(t *testing.T) {
	other := newEntry(9, localDC)
	other.Service = storeService
	h := newHarness(t, newEntry(1, localDC), other)
	f := h.newFlow(watchAddress)
	f.token = tokenOf(other.ID)
	h.expectDecision(f.sendRequest(), Drop, WrongService)
}

func TestUnknownTokenIsDroppedNotReset(t *testing.T) {
	h := newHarness(t, newEntry(1, localDC))
	f := h.newFlow(watchAddress)
	f.token = 0xdead
	h.expectDecision(f.sendRequest(), Drop, UnknownToken)
}

func TestUpstreamsWithCollidingTokens(t *testing.T) {
	g := NewWithT(t)
	low, high := newEntry(1, localDC), newEntry(2, localDC)
	high.ID = low.ID ^ 1<<40 ^ 1<<8 // the two differing bits cancel out in the token
	g.Expect(tokenOf(low.ID)).To(Equal(tokenOf(high.ID)))
	h := newHarness(t, low, high)
	for range 20 {
		g.Expect(h.newFlow(watchAddress).open().Upstream).To(Equal(low.ID), "of two upstreams with the same token, only the first gets new flows")
	}
}

func TestRoutes(t *testing.T) {
	unknown := netip.MustParseAddrPort("198.18.0.9:443")
	t.Run("a SYN to an address without a route is reset", func(t *testing.T) {
		h := newHarness(t, newEntry(1, localDC))
		h.expectDecision(h.newFlow(unknown).sendSYN(), Reset, NoRoute)
	})
	t.Run("a packet other than a SYN to an unknown address is dropped", func(t *testing.T) {
		h := newHarness(t, newEntry(1, localDC))
		f := h.newFlow(unknown)
		f.token = tokenOf(1)
		h.expectDecision(f.sendRequest(), Drop, NoRoute)
	})
	t.Run("a flow of a removed route is reset", func(t *testing.T) {
		h := newHarness(t, newEntry(1, localDC))
		f := h.newFlow(watchAddress)
		f.open()
		h.version, h.routes = 2, h.routes[1:]
		h.applyView()
		h.expectDecision(f.sendRequest(), Reset, RouteRemoved)
		h.expectDecision(h.newFlow(watchAddress).sendSYN(), Reset, RouteRemoved)
	})
	t.Run("a flow stays with its upstream when its route moves to another service", func(t *testing.T) {
		other := newEntry(9, localDC)
		other.Service = storeService
		h := newHarness(t, newEntry(1, localDC), other)
		f := h.newFlow(watchAddress)
		first := f.open()
		h.version = 2
		h.routes = []catalog.Route{{Address: watchAddress, Shares: []catalog.Share{{Service: storeService, Weight: 1}}, Repeatable: true}}
		h.applyView()
		if got := f.sendRequest(); got.Upstream != first.Upstream {
			t.Fatalf("the flow moved to upstream %x", got.Upstream)
		}
		if got := h.newFlow(watchAddress).open(); got.Upstream != other.ID {
			t.Fatalf("a new flow went to upstream %x", got.Upstream)
		}
	})
	t.Run("a RST is not answered with a RST", func(t *testing.T) {
		h := newHarness(t, newEntry(1, localDC))
		f := h.newFlow(unknown)
		h.expectDecision(f.send(Segment{RST: true}), Drop, NoRoute)
	})
}

func TestNewFlowsFollowServiceWeights(t *testing.T) {
	other := newEntry(9, localDC)
	other.Service = storeService
	h := newHarness(t, newEntry(1, localDC), other)
	h.version = 2
	h.routes[0].Shares = []catalog.Share{{Service: deskService, Weight: 90}, {Service: storeService, Weight: 10}}
	h.applyView()
	storeFlows := 0
	for range 2000 {
		f := h.newFlow(watchAddress)
		if f.open().Upstream == other.ID {
			storeFlows++
		}
		f.sendFIN()
	}
	if storeFlows < 140 || storeFlows > 260 {
		t.Errorf("%d of 2000 flows went to the service with a tenth of the weight, want 140 to 260", storeFlows)
	}
}

func TestDrainingUpstreamKeepsItsFlowsAndGetsNoNewOnes(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, newEntry(1, localDC), newEntry(2, localDC))
	var old []*testFlow
	for range 20 {
		f := h.newFlow(watchAddress)
		if f.open().Upstream == 1 {
			old = append(old, f)
		}
	}
	g.Expect(old).NotTo(BeEmpty())
	h.updateUpstream(1, func(e *catalog.Entry) { e.Draining = true })
	for _, f := range old {
		got := f.sendRequest()
		h.expectDecision(got, Forward, Known)
		g.Expect(got.Upstream).To(BeEquivalentTo(1))
	}
	for range 20 {
		g.Expect(h.newFlow(watchAddress).open().Upstream).To(BeEquivalentTo(2))
	}
}

func TestRetransmittedSYNLeavesDrainingUpstream(t *testing.T) {
	h := newHarness(t, newEntry(1, localDC))
	f := h.newFlow(watchAddress)
	f.sendSYN()
	h.updateUpstream(1, func(e *catalog.Entry) { e.Draining = true })
	h.advance(200 * time.Millisecond)
	h.expectDecision(f.sendSYN(), Drop, NoUpstream) // the flow may be open already
	h.upstreams = append(h.upstreams, newEntry(2, localDC))
	h.applyView()
	h.advance(400 * time.Millisecond)
	h.expectDecision(f.sendSYN(), Forward, OpenedElsewhere)
}

func TestFlowsOfStoppedUpstreamAreResetAtOnce(t *testing.T) {
	h := newHarness(t, newEntry(1, localDC))
	f := h.newFlow(orderAddress)
	f.open()
	h.updateUpstream(1, func(e *catalog.Entry) { e.Draining = true })
	h.updateUpstream(1, func(e *catalog.Entry) { e.Presence = catalog.Departed })
	h.expectDecision(f.sendRequest(), Reset, UpstreamLeft)
}

func TestDepartedUpstreamKeepsItsFlowsUntilItIsSuspected(t *testing.T) {
	h := newHarness(t, newEntry(1, localDC), newEntry(2, localDC))
	f := h.newFlow(orderAddress)
	f.open()
	number := int(f.token) // small IDs are their own tokens
	h.updateUpstream(number, func(e *catalog.Entry) { e.Presence = catalog.Departed })
	h.expectDecision(f.sendRequest(), Forward, Known)
	h.advance(50 * time.Millisecond)
	h.expectDecision(f.ackResponse(), Forward, Known)
	h.expectDecision(f.sendRequest(), Forward, Known)
	h.advance(200 * time.Millisecond)
	h.expectDecision(f.retransmit(), Reset, UpstreamLost)
}

func TestLapsedDrainingUpstreamKeepsItsFlows(t *testing.T) {
	h := newHarness(t, newEntry(1, localDC))
	f := h.newFlow(orderAddress)
	f.open()
	h.updateUpstream(1, func(e *catalog.Entry) { e.Draining, e.Presence = true, catalog.Lapsed })
	h.expectDecision(f.sendRequest(), Forward, Known)
	h.expectDecision(h.newFlow(orderAddress).sendSYN(), Reset, NoUpstream)
}

func TestLapsedUpstreamGetsNewFlows(t *testing.T) {
	h := newHarness(t, newEntry(1, localDC))
	h.updateUpstream(1, func(e *catalog.Entry) { e.Presence = catalog.Lapsed })
	h.expectDecision(h.newFlow(watchAddress).sendSYN(), Forward, Opened)
}

func TestFlowBelongsToTheUpstreamThatAnsweredFirst(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, newEntry(1, localDC), newEntry(2, localDC))
	f := h.newFlow(watchAddress)
	first := f.sendSYN()
	h.advance(200 * time.Millisecond)
	second := f.sendSYN()
	g.Expect(second.Upstream).NotTo(Equal(first.Upstream), "the first upstream has answered no flow since the SYN")
	got := f.completeHandshake(first)
	g.Expect(got.Upstream).To(Equal(first.Upstream))
	f.token = second.Token // of the second upstream's late SYN-ACK
	g.Expect(f.sendRequest().Upstream).To(Equal(first.Upstream))
}

func TestRetransmittedSYNStaysWithUpstreamThatAnswersOthers(t *testing.T) {
	h := newHarness(t, newEntry(1, localDC), newEntry(2, localDC))
	lost := h.newFlow(watchAddress)
	upstream := lost.sendSYN().Upstream
	h.advance(50 * time.Millisecond)
	for range 8 {
		f := h.newFlow(watchAddress)
		f.open()
	}
	h.advance(200 * time.Millisecond)
	got := lost.sendSYN()
	h.expectDecision(got, Forward, OpenedAgain)
	if got.Upstream != upstream {
		t.Errorf("the retransmitted SYN went to upstream %x, the first to %x", got.Upstream, upstream)
	}
}

func TestRecordsAreBounded(t *testing.T) {
	h := newHarness(t, newEntry(1, localDC), newEntry(2, localDC))
	h.engine = New(Options{DataCentre: localDC, MaxFlows: 100, Seed: 3})
	h.applyView()
	established := h.newFlow(watchAddress)
	first := established.open()
	for range 1000 {
		h.newFlow(watchAddress).sendSYN()
	}
	if got := len(h.engine.records); got > 100 {
		t.Errorf("%d records, want at most 100", got)
	}
	if got := established.sendRequest(); got.Upstream != first.Upstream {
		t.Errorf("the established flow moved to upstream %x (%v)", got.Upstream, got.Reason)
	}
}

func TestUpstreamCountsReturnToZero(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, newEntry(1, localDC), newEntry(2, localDC), newEntry(3, remoteDC))
	for i := range 60 {
		f := h.newFlow(watchAddress)
		f.open()
		f.sendRequest()
		h.advance(10 * time.Millisecond)
		switch i % 3 {
		case 0:
			f.ackResponse()
			f.sendFIN()
		case 1:
			f.ackResponse()
		default:
			h.newFlow(orderAddress).sendSYN()
		}
	}
	h.advance(time.Minute)
	h.engine.sweep(h.now)
	g.Expect(h.engine.records).To(BeEmpty())
	for _, u := range h.engine.upstreams {
		g.Expect(u.outstanding).To(BeZero(), u.Name)
		g.Expect(u.openFlows).To(BeZero(), u.Name)
	}
}
