package echo

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

// Test addresses and names.
var (
	start        = time.Unix(1_000_000, 0)
	watchAddress = netip.MustParseAddrPort("198.18.0.1:443")
	orderAddress = netip.MustParseAddrPort("198.18.0.2:443")
	storeAddress = netip.MustParseAddrPort("198.18.0.3:443")
)

const (
	testDC    = "quay-a"
	otherDC   = "quay-b"
	deskName  = "desk"
	storeName = "store"
)

// desk drives an engine with a virtual clock.
type desk struct {
	t         *testing.T
	now       time.Time
	engine    *Engine
	upstreams []catalog.Entry
	routes    []catalog.Route
	version   uint64
	events    []Event
	callers   int
	// observer is a flow whose upstream answers.
	observer *flow
}

func newDesk(t *testing.T, upstreams ...catalog.Entry) *desk {
	d := &desk{t: t, now: start, upstreams: upstreams, version: 1, routes: []catalog.Route{
		{Name: "watch", Address: watchAddress, Shares: []catalog.Share{{Service: deskName, Weight: 1}}, Repeatable: true, Priority: 2, Objective: 250 * time.Millisecond},
		{Name: "order", Address: orderAddress, Shares: []catalog.Share{{Service: deskName, Weight: 1}}, Priority: 1, Objective: 300 * time.Millisecond},
	}}
	d.engine = New(Options{DataCentre: testDC, Seed: 7, OnEvent: func(e Event) { d.events = append(d.events, e) }})
	d.apply()
	return d
}

// entry returns a registered upstream of the desk service.
func entry(number int, dataCentre string) catalog.Entry {
	return catalog.Entry{Presence: catalog.Registered, Upstream: catalog.Upstream{
		ID: catalog.UpstreamID(number), Name: fmt.Sprintf("i-%08x", number), Service: deskName, DataCentre: dataCentre,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number)}), 8080), Slots: 3,
	}}
}

func (d *desk) apply() {
	d.engine.SetView(d.now, catalog.View{
		Configuration: &catalog.Configuration{Version: d.version, Routes: d.routes, IdleTimeout: 15 * time.Second},
		Upstreams:     d.upstreams,
	})
}

// change edits the upstream with the number and puts the view in force.
func (d *desk) change(number int, edit func(*catalog.Entry)) {
	for i := range d.upstreams {
		if d.upstreams[i].ID == catalog.UpstreamID(number) {
			edit(&d.upstreams[i])
		}
	}
	d.apply()
}

func (d *desk) pass(duration time.Duration) { d.now = d.now.Add(duration) }

// flow is a caller's end of a flow.
type flow struct {
	desk   *desk
	caller netip.AddrPort
	to     netip.AddrPort
	token  Token
	seq    uint32
	ack    uint32
}

func (d *desk) caller(to netip.AddrPort) *flow {
	d.callers++
	address := netip.AddrFrom4([4]byte{100, 64, byte(d.callers >> 8), byte(d.callers)})
	return &flow{desk: d, caller: netip.AddrPortFrom(address, 40000), to: to, seq: 1000, ack: 0}
}

func (f *flow) send(s Segment) Decision {
	s.Caller, s.Address, s.Token, s.Seq, s.Ack = f.caller, f.to, f.token, f.seq, f.ack
	return f.desk.engine.Decide(f.desk.now, &s)
}

func (f *flow) syn() Decision { return f.send(Segment{SYN: true}) }

// open sends a SYN and the acknowledgement of the upstream's answer.
func (f *flow) open() Decision {
	f.desk.t.Helper()
	d := f.syn()
	if d.Verdict != Forward {
		f.desk.t.Fatalf("SYN: %v %v, want it forwarded", d.Verdict, d.Reason)
	}
	f.accept(d)
	return d
}

// accept sends the acknowledgement of an upstream's SYN.
func (f *flow) accept(d Decision) Decision {
	f.token, f.seq, f.ack = d.Token, f.seq+1, 5000
	return f.send(Segment{ACK: true})
}

// ask sends a request.
func (f *flow) ask() Decision {
	d := f.send(Segment{ACK: true, Length: 100})
	f.seq += 100
	return d
}

// repeat sends the last request once more.
func (f *flow) repeat() Decision {
	f.seq -= 100
	d := f.send(Segment{ACK: true, Length: 100})
	f.seq += 100
	return d
}

// receive acknowledges an answer.
func (f *flow) receive() Decision {
	f.ack += 2000
	return f.send(Segment{ACK: true})
}

func (f *flow) finish() { f.send(Segment{ACK: true, FIN: true}) }

// answers lets the given number of requests be answered one after the other,
// each on a flow of its own.
func (d *desk) answers(to netip.AddrPort, n int, took time.Duration) {
	for range n {
		f := d.caller(to)
		f.open()
		f.ask()
		d.pass(took)
		f.receive()
		f.finish()
	}
}

func (d *desk) expect(got Decision, verdict Verdict, reason Reason) {
	d.t.Helper()
	if got.Verdict != verdict || got.Reason != reason {
		d.t.Fatalf("got verdict %d for %v, want %d for %v", got.Verdict, got.Reason, verdict, reason)
	}
}
