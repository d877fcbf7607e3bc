package echo

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

// TestEvacuationInRandomOrder guards against any order of flows, copies of SYNs, waiting
// flows, evacuations, drains, suspicions and ejections in which a SYN goes to an evacuated
// data centre, or an evacuation resets an open flow.
func TestEvacuationInRandomOrder(t *testing.T) {
	dataCentres := []string{localDC, remoteDC, "quay-c"}
	rapid.Check(t, func(rt *rapid.T) {
		h := newHarness(t)
		for i := range 6 {
			h.upstreams = append(h.upstreams, newEntry(i+1, dataCentres[i%3]))
		}
		h.applyView()
		// opening and open are the flows that have sent a SYN, and those that are open, with
		// the decision about the SYN that the caller has an answer to and the time of the first.
		type flow struct {
			*testFlow
			syn Decision
			at  time.Time
		}
		var opening, open []flow
		checkSYN := func(d Decision) {
			switch u := h.engine.upstreams[d.Upstream]; {
			case d.Verdict == Forward && !u.acceptsFlows():
				rt.Fatalf("a SYN went to %s in %s (%v)", u.Name, u.DataCentre, d.Reason)
			case d.Verdict == Reset && d.Reason == Evacuated:
				for _, u := range h.engine.upstreams {
					if u.acceptsFlows() {
						rt.Fatalf("refused although %s takes flows", u.Name)
					}
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			h.advance(time.Duration(rapid.IntRange(0, 250).Draw(rt, "ms")) * time.Millisecond)
			address := rapid.SampledFrom([]netip.AddrPort{watchAddress, orderAddress}).Draw(rt, "route")
			u := h.engine.upstreams[catalog.UpstreamID(rapid.IntRange(1, 6).Draw(rt, "upstream"))]
			// Callers give up 1.4 s after the first SYN.
			opening = slices.DeleteFunc(opening, func(f flow) bool { return h.now.Sub(f.at) > 1400*time.Millisecond })
			i := rapid.IntRange(0, 59).Draw(rt, "flow")
			switch rapid.SampledFrom([]string{"syn", "syn", "copy", "copy", "open", "request", "evacuate", "drain", "suspect", "eject", "wait", "admit"}).Draw(rt, "step") {
			case "syn":
				f := h.newFlow(address)
				d := f.sendSYN()
				checkSYN(d)
				if d.Verdict == Forward {
					opening = append(opening, flow{f, d, h.now})
				}
			case "copy":
				if i < len(opening) {
					d := opening[i].sendSYN()
					checkSYN(d)
					switch d.Verdict {
					case Forward:
						opening[i].syn = d
					case Reset:
						rt.Fatalf("a copy of a SYN that may have opened its flow: %+v", d)
					case Drop, Hold:
					}
				} else if i-len(opening) < len(open) {
					f := open[i-len(opening)]
					late := Segment{SYN: true, Caller: f.caller, VirtualAddress: f.address, Seq: 1000}
					if d := h.engine.Decide(h.now, &late); d.Verdict == Reset || d.Verdict == Forward && h.engine.upstreams[d.Upstream].evacuated {
						rt.Fatalf("a late copy of the SYN of an open flow: %+v", d)
					}
				}
			case "open":
				if i < len(opening) {
					f := opening[i]
					opening = slices.Delete(opening, i, i+1)
					if d := f.completeHandshake(f.syn); d.Verdict != Forward || d.Upstream != f.syn.Upstream {
						rt.Fatalf("the flow was opened at %d and went to %+v", f.syn.Upstream, d)
					}
					open = append(open, f)
				}
			case "request":
				if i < len(open) {
					// Upstreams are suspected without evidence of this host, so no flow is reset.
					if d := open[i].sendRequest(); d.Verdict != Forward || d.Upstream != open[i].syn.Upstream {
						rt.Fatalf("the flow is open at %d, and a request was decided %+v", open[i].syn.Upstream, d)
					}
					open[i].ackResponse()
				}
			case "evacuate":
				h.evacuate(slices.DeleteFunc(slices.Clone(dataCentres), func(string) bool { return rapid.Bool().Draw(rt, "not") })...)
			case "drain":
				h.updateUpstream(int(u.ID), func(e *catalog.Entry) { e.Draining = !e.Draining })
			case "suspect":
				if !u.suspected() {
					h.engine.suspect(h.now, u, Retransmissions)
				}
			case "eject":
				h.engine.eject(h.now, u)
			case "wait":
				syn := Segment{SYN: true, Caller: h.newFlow(address).caller, VirtualAddress: address}
				h.engine.enqueueFlow(h.now, h.engine.pools[deskService], h.engine.routes[address], &syn, u, nil)
			default:
				if _, d, ok := h.engine.NextAdmitted(h.now); ok {
					checkSYN(d)
				}
			}
		}
	})
}
