package echo

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

// thirdDC is a data centre of no known region in these tests.
const thirdDC = "quay-c"

// newRegionHarness returns a harness in which orderAddress may use the region of remoteDC
// alone, and watchAddress any.
func newRegionHarness(t *testing.T, upstreams ...catalog.Entry) *harness {
	h := newHarness(t, upstreams...)
	h.engine.SetRegions(h.now, map[string]string{localDC: "west", remoteDC: "east"})
	h.allow("east")
	return h
}

// allow applies a configuration in which orderAddress has the allowed regions.
func (h *harness) allow(regions ...string) {
	h.routes[1].AllowedRegions = regions
	h.version++
	h.applyView()
}

// TestNewFlowsKeepToAllowedRegions guards against a new flow, a copy of a SYN or a waiting
// flow that goes to another region, whatever makes the allowed one look worse.
func TestNewFlowsKeepToAllowedRegions(t *testing.T) {
	tests := map[string]func(*harness){
		"idle": func(*harness) {},
		"full": func(h *harness) {
			for range 40 {
				h.newFlow(orderAddress).sendSYN()
			}
		},
		"suspected": func(h *harness) { h.engine.suspect(h.now, h.engine.upstreams[2], Retransmissions) },
		"ejected":   func(h *harness) { h.engine.eject(h.now, h.engine.upstreams[2]) },
		"replaced": func(h *harness) {
			h.upstreams = append(h.upstreams, newEntry(4, remoteDC))
			h.updateUpstream(2, func(e *catalog.Entry) { e.Draining = true })
		},
		"regions numbered anew": func(h *harness) {
			h.engine.SetRegions(h.now, map[string]string{localDC: "west", remoteDC: "east", "quay-d": "central"})
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			h := newRegionHarness(t, newEntry(1, localDC), newEntry(2, remoteDC), newEntry(3, thirdDC))
			change(h)
			for range 20 {
				f := h.newFlow(orderAddress)
				first := f.sendSYN()
				if got := h.dataCentreOf(first); got != remoteDC {
					t.Fatalf("a flow went to %s", got)
				}
				h.advance(200 * time.Millisecond)
				if got := h.dataCentreOf(f.sendCopy(1)); got != remoteDC {
					t.Fatalf("a copy of its SYN went to %s", got)
				}
			}
			if got := h.dataCentreOf(h.newFlow(watchAddress).sendSYN()); got != localDC {
				t.Errorf("a flow of the unrestricted route went to %s", got)
			}
		})
	}
}

// TestFlowWithoutAllowedUpstreamIsRefused guards against callers that wait, or are told
// another reason, when only upstreams in other regions are left.
func TestFlowWithoutAllowedUpstreamIsRefused(t *testing.T) {
	h := newRegionHarness(t, newEntry(1, localDC), newEntry(2, remoteDC), newEntry(3, thirdDC))
	h.evacuate(remoteDC)
	h.expectDecision(h.newFlow(orderAddress).sendSYN(), Reset, Evacuated)
	h.updateUpstream(2, func(e *catalog.Entry) { e.Draining = true })
	h.expectDecision(h.newFlow(orderAddress).sendSYN(), Reset, Region)
	h.expectDecision(h.newFlow(watchAddress).sendSYN(), Forward, Opened)
	h.allow("nowhere")
	h.expectDecision(h.newFlow(orderAddress).sendSYN(), Reset, Region)
	h.allow()
	h.expectDecision(h.newFlow(orderAddress).sendSYN(), Forward, Opened)
}

// TestRestrictionOfARoute guards against a restriction, by configuration or by settings,
// that ends open flows, or that flows which are opening or wait when it changes escape.
func TestRestrictionOfARoute(t *testing.T) {
	changes := map[string]func(*harness){
		"configuration": func(h *harness) { h.allow("east") },
		"settings": func(h *harness) {
			h.routes[1].AllowedRegions = []string{"east"}
			h.engine.SetRegions(h.now, map[string]string{localDC: "east"})
			h.allow("east")
			h.engine.SetRegions(h.now, map[string]string{localDC: "west", remoteDC: "east"})
		},
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t, newEntry(1, localDC), newEntry(2, remoteDC))
			h.engine.SetRegions(h.now, map[string]string{localDC: "west", remoteDC: "east"})
			open, opening, waiting := h.newFlow(orderAddress), h.newFlow(orderAddress), h.newFlow(orderAddress)
			answer := opening.sendSYN()
			h.advance(time.Millisecond)
			open.open() // the upstream answers others, so a copy of the SYN would go there again
			syn := Segment{SYN: true, Caller: waiting.caller, VirtualAddress: orderAddress, Seq: 1000}
			h.engine.enqueueFlow(h.now, h.engine.pools[deskService], h.engine.routes[orderAddress], &syn, nil, nil)
			change(h)
			h.expectDecision(open.sendRequest(), Forward, Known)
			d := opening.sendCopy(1)
			h.expectDecision(d, Forward, OpenedElsewhere)
			g.Expect(h.dataCentreOf(d)).To(Equal(remoteDC))
			h.expectDecision(opening.completeHandshake(answer), Forward, Known)
			_, d, _ = h.engine.NextAdmitted(h.now)
			g.Expect(h.dataCentreOf(d)).To(Equal(remoteDC))
		})
	}
}

// TestRestrictedRouteKeepsRecentCounts guards against an upstream in another region that
// counts as new for the unrestricted routes after each flow of a restricted one.
func TestRestrictedRouteKeepsRecentCounts(t *testing.T) {
	h := newRegionHarness(t, newEntry(1, localDC), newEntry(2, remoteDC))
	h.newFlow(watchAddress).open()
	h.newFlow(orderAddress).open()
	if h.engine.upstreams[1].recent.ineligible {
		t.Error("the upstream counts as away")
	}
}
