package echo

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

// The start of the simulated clock and the virtual addresses of the test routes.
var (
	startTime    = time.Unix(1_000_000, 0)
	watchAddress = netip.MustParseAddrPort("198.18.0.1:443")
	orderAddress = netip.MustParseAddrPort("198.18.0.2:443")
	storeAddress = netip.MustParseAddrPort("198.18.0.3:443")
)

const (
	localDC      = "quay-a"
	remoteDC     = "quay-b"
	deskService  = "desk"
	storeService = "store"
)

// harness drives an engine with a simulated clock and a view that tests can change.
type harness struct {
	t         *testing.T
	now       time.Time
	engine    *Engine
	upstreams []catalog.Entry
	routes    []catalog.Route
	version   uint64
	warmups   map[string]catalog.Warmup
	// evacuations are the data centres that are evacuated.
	evacuations []catalog.Evacuation
	// catalog derives the former services from the configurations.
	catalog           *catalog.Catalog
	former            *catalog.FormerServices
	historyCompleteAt time.Time
	events            []Event
	flowCount         int
	// otherServiceFlow is the flow that completeOtherServiceRequest uses.
	otherServiceFlow *testFlow
}

// newHarness returns a harness with the given upstreams and two routes to deskService.
// The route of watchAddress has the lower priority and repeatable requests.
func newHarness(t *testing.T, upstreams ...catalog.Entry) *harness {
	h := &harness{t: t, now: startTime, catalog: catalog.New(catalog.Options{}), upstreams: upstreams, version: 1, routes: []catalog.Route{
		{Name: "watch", Address: watchAddress, Shares: []catalog.Share{{Service: deskService, Weight: 1}}, Repeatable: true, Priority: 2, Objective: 250 * time.Millisecond},
		{Name: "order", Address: orderAddress, Shares: []catalog.Share{{Service: deskService, Weight: 1}}, Priority: 1, Objective: 300 * time.Millisecond},
	}}
	h.engine = New(Options{DataCentre: localDC, Seed: 7, OnEvent: func(e Event) { h.events = append(h.events, e) }})
	h.applyView()
	return h
}

// newEntry returns a registered upstream of deskService.
func newEntry(number int, dataCentre string) catalog.Entry {
	return catalog.Entry{Presence: catalog.Registered, Upstream: catalog.Upstream{
		ID: catalog.UpstreamID(number), Name: fmt.Sprintf("i-%08x", number), Service: deskService, DataCentre: dataCentre,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number)}), 8080), Slots: 3,
	}}
}

// applyView passes the harness's configuration and upstreams to its engine, together with
// the services that earlier configurations had.
func (h *harness) applyView() {
	configuration := &catalog.Configuration{Version: h.version, Routes: h.routes, Warmups: h.warmups, IdleTimeout: 15 * time.Second}
	position := catalog.Position{Revision: h.version}
	h.catalog.Apply(h.now, catalog.Update{Position: position, Changes: []catalog.Change{{Position: position, Configuration: configuration}}})
	if view, changed := h.catalog.TakeView(); changed {
		h.former = view.Former
	}
	h.engine.SetView(h.now, catalog.View{
		Configuration: configuration, Upstreams: h.upstreams, Evacuations: h.evacuations, Former: h.former, HistoryCompleteAt: h.historyCompleteAt,
	})
}

// restart replaces the engine by one of a host that has just started with the same view.
func (h *harness) restart() {
	h.engine = New(Options{DataCentre: localDC, Seed: 99})
	h.applyView()
}

// updateUpstream changes the upstream with the given number and applies the view.
func (h *harness) updateUpstream(number int, edit func(*catalog.Entry)) {
	for i := range h.upstreams {
		if h.upstreams[i].ID == catalog.UpstreamID(number) {
			edit(&h.upstreams[i])
		}
	}
	h.applyView()
}

func (h *harness) advance(duration time.Duration) { h.now = h.now.Add(duration) }

// testFlow is the caller's end of a flow.
type testFlow struct {
	harness *harness
	caller  netip.AddrPort
	address netip.AddrPort
	token   Token
	seq     uint32
	ack     uint32
}

// newFlow returns a flow of a new caller. It sends nothing yet.
func (h *harness) newFlow(address netip.AddrPort) *testFlow {
	h.flowCount++
	caller := netip.AddrFrom4([4]byte{100, 64, byte(h.flowCount >> 8), byte(h.flowCount)})
	return &testFlow{harness: h, caller: netip.AddrPortFrom(caller, 40000), address: address, seq: 1000, ack: 0}
}

// send passes a packet with the flow's current sequence numbers and token to the
// engine.
func (f *testFlow) send(s Segment) Decision {
	s.Caller, s.VirtualAddress, s.Token, s.Seq, s.Ack = f.caller, f.address, f.token, f.seq, f.ack
	return f.harness.engine.Decide(f.harness.now, &s)
}

func (f *testFlow) sendSYN() Decision { return f.send(Segment{SYN: true}) }

// open sends a SYN, which must be forwarded, and acknowledges the upstream's
// SYN-ACK. It returns the decision about the SYN.
func (f *testFlow) open() Decision {
	f.harness.t.Helper()
	d := f.sendSYN()
	if d.Verdict != Forward {
		f.harness.t.Fatalf("SYN: got %v (%v), want it forwarded", d.Verdict, d.Reason)
	}
	f.completeHandshake(d)
	return d
}

// completeHandshake acknowledges the SYN-ACK of the decision's upstream.
func (f *testFlow) completeHandshake(d Decision) Decision {
	f.token, f.seq, f.ack = d.Token, f.seq+1, 5000
	return f.send(Segment{ACK: true})
}

// sendRequest sends a request of 100 bytes.
func (f *testFlow) sendRequest() Decision {
	d := f.send(Segment{ACK: true, Length: 100})
	f.seq += 100
	return d
}

// retransmit sends the last request again.
func (f *testFlow) retransmit() Decision {
	f.seq -= 100
	d := f.send(Segment{ACK: true, Length: 100})
	f.seq += 100
	return d
}

// ackResponse acknowledges a response of 2000 bytes.
func (f *testFlow) ackResponse() Decision {
	f.ack += 2000
	return f.send(Segment{ACK: true})
}

func (f *testFlow) sendFIN() { f.send(Segment{ACK: true, FIN: true}) }

// completeRequests sends n requests one after the other, each on a flow of its own,
// and acknowledges each response after the given time.
func (h *harness) completeRequests(address netip.AddrPort, n int, responseTime time.Duration) {
	for range n {
		f := h.newFlow(address)
		f.open()
		f.sendRequest()
		h.advance(responseTime)
		f.ackResponse()
		f.sendFIN()
	}
}

func (h *harness) expectDecision(got Decision, verdict Verdict, reason Reason) {
	h.t.Helper()
	if got.Verdict != verdict || got.Reason != reason {
		h.t.Fatalf("got verdict %d (reason %v), want %d (%v)", got.Verdict, got.Reason, verdict, reason)
	}
}
