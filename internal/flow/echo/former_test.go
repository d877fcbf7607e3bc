package echo

import (
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

// newMovedRoute returns a harness whose engine started after watchAddress had moved from
// deskService to storeService, and a flow that was opened before.
func newMovedRoute(t *testing.T) (*harness, *testFlow, Decision) {
	other := newEntry(9, remoteDC)
	other.Service = storeService
	h := newHarness(t, newEntry(1, localDC), other)
	f := h.newFlow(watchAddress)
	opened := f.open()
	h.version, h.routes = 2, []catalog.Route{{Address: watchAddress, Shares: []catalog.Share{{Service: storeService, Weight: 1}}}}
	h.applyView()
	h.restart()
	return h, f, opened
}

// TestStartedHostForwardsFlowsOfAMovedRoute guards against a host that drops the packets of
// open flows because it started after their route had moved to another service.
func TestStartedHostForwardsFlowsOfAMovedRoute(t *testing.T) {
	h, f, opened := newMovedRoute(t)
	d := f.sendRequest()
	h.expectDecision(d, Forward, Echoed)
	if d.Upstream != opened.Upstream {
		t.Fatalf("the flow moved to upstream %x", d.Upstream)
	}
	if got := h.newFlow(watchAddress).open(); got.Upstream != 9 {
		t.Fatalf("a new flow went to upstream %x of the former service", got.Upstream)
	}
}

// TestStartedHostResetsFlowsOfARemovedRoute guards against a host that leaves callers
// waiting because it started after their route had been removed.
func TestStartedHostResetsFlowsOfARemovedRoute(t *testing.T) {
	h := newHarness(t, newEntry(1, localDC))
	f := h.newFlow(watchAddress)
	f.open()
	h.version, h.routes = 2, h.routes[1:]
	h.applyView()
	h.restart()
	h.expectDecision(f.sendRequest(), Reset, RouteRemoved)
}

// TestPacketIsHeldWhileHistoryIsIncomplete guards against packets that are dropped by a
// host which knows only the newest configuration but will learn of earlier ones.
func TestPacketIsHeldWhileHistoryIsIncomplete(t *testing.T) {
	h, f, opened := newMovedRoute(t)
	former := h.former
	set := func(known *catalog.FormerServices, completeAt time.Time) {
		h.former, h.historyCompleteAt = known, completeAt
		h.restart()
	}
	set(nil, h.now.Add(time.Second))
	h.expectDecision(f.sendRequest(), Hold, WrongService)
	set(former, h.now.Add(time.Second))
	if d := f.retransmit(); d.Verdict != Forward || d.Upstream != opened.Upstream {
		t.Fatalf("got %+v once the history is known", d)
	}
	set(nil, h.now.Add(time.Second))
	h.advance(time.Second)
	h.expectDecision(f.retransmit(), Drop, WrongService)

	removed := h.newFlow(orderAddress)
	removed.token = tokenOf(1)
	set(nil, h.now.Add(time.Second))
	h.expectDecision(removed.sendRequest(), Hold, NoRoute)
	h.expectDecision(removed.send(Segment{RST: true}), Drop, NoRoute)
}

// TestFirstPacketIsHeldWhileItsServiceIsUnknown guards against a first packet that goes to
// the upstream of a copy of the SYN, although another upstream answered the flow: its
// service was dropped by a configuration that this host does not know yet.
func TestFirstPacketIsHeldWhileItsServiceIsUnknown(t *testing.T) {
	h, _, _ := newMovedRoute(t)
	former := h.former
	h.former, h.historyCompleteAt = nil, h.now.Add(time.Second)
	h.restart()
	f := h.newFlow(watchAddress)
	f.sendSYN()
	f.token, f.seq, f.ack = tokenOf(1), f.seq+1, 5000
	h.expectDecision(f.send(Segment{ACK: true}), Hold, WrongService)
	h.former = former
	h.applyView()
	d := f.send(Segment{ACK: true})
	h.expectDecision(d, Forward, Known)
	if d.Upstream != 1 {
		t.Fatalf("the flow went to upstream %x, but upstream 1 answered it", d.Upstream)
	}
}

// TestTokenOfAServiceThatNoConfigurationHadIsDropped guards against a former service of one
// route that gives access to it by another route.
func TestTokenOfAServiceThatNoConfigurationHadIsDropped(t *testing.T) {
	h, _, _ := newMovedRoute(t)
	h.routes = append(h.routes, catalog.Route{Address: storeAddress, Shares: []catalog.Share{{Service: storeService, Weight: 1}}})
	h.version = 3
	h.applyView()
	f := h.newFlow(storeAddress)
	f.token = tokenOf(1)
	h.expectDecision(f.sendRequest(), Drop, WrongService)
}

// TestStartedHostResetsFlowsOfADepartedUpstream guards against a host that leaves callers
// waiting because their upstream had drained and left before the host started.
func TestStartedHostResetsFlowsOfADepartedUpstream(t *testing.T) {
	h := newHarness(t, newEntry(1, localDC), newEntry(2, localDC))
	f := h.newFlow(watchAddress)
	opened := f.open()
	h.updateUpstream(int(opened.Upstream), func(e *catalog.Entry) { e.Presence, e.Draining = catalog.Departed, true })
	h.restart()
	h.expectDecision(f.sendRequest(), Reset, UpstreamLeft)
}
