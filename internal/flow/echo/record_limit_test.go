package echo

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// greedyCaller opens flows from one address without end.
type greedyCaller struct {
	harness *harness
	ports   int
}

// newFlow returns a flow from another port of the caller.
func (c *greedyCaller) newFlow() *testFlow {
	c.ports++
	address := netip.AddrFrom4([4]byte{100, 99, 0, 1})
	return &testFlow{harness: c.harness, caller: netip.AddrPortFrom(address, uint16(c.ports)), address: watchAddress, seq: 1000}
}

// newFullTable returns a harness whose engine keeps 800 records, 100 of them of other callers
// whose requests await an answer and the rest of a greedy caller's idle flows.
func newFullTable(t *testing.T) (h *harness, greedy *greedyCaller, others []*testFlow) {
	h = newHarness(t, newEntry(1, localDC), newEntry(2, localDC))
	h.routes[0].Objective = 0 // nothing is refused because of overload
	h.engine = New(Options{DataCentre: localDC, MaxFlows: 800, Seed: 3, OnEvent: func(e Event) { h.events = append(h.events, e) }})
	h.applyView()
	for range 100 {
		f := h.newFlow(watchAddress)
		f.open()
		f.sendRequest()
		others = append(others, f)
	}
	greedy = &greedyCaller{harness: h}
	for range 700 {
		f := greedy.newFlow()
		f.open()
		f.ackResponse() // ends the wait for the first answer
	}
	return h, greedy, others
}

func (h *harness) recorded(flows []*testFlow) int {
	n := 0
	for _, f := range flows {
		if h.engine.records[flowKey{caller: f.caller, address: f.address}] != nil {
			n++
		}
	}
	return n
}

// Guards against a caller that opens flows without end and thereby takes the records of
// others, whose requests then no longer count towards their upstreams' load.
func TestGreedyCallerDoesNotTakeRecordsOfOthers(t *testing.T) {
	for name, test := range map[string]struct {
		open    func(*testFlow)
		refused uint64
	}{
		// Its idle flows give way to its new ones.
		"idle flows": {func(f *testFlow) { f.open(); f.ackResponse() }, 0},
		// Its 700 idle records are used up, and no others may be.
		"requests without answers": {func(f *testFlow) {
			if d := f.sendSYN(); d.Verdict == Forward {
				f.completeHandshake(d)
				f.sendRequest()
			}
		}, 1300},
		"SYNs only": {func(f *testFlow) { f.sendSYN() }, 1300},
	} {
		t.Run(name, func(t *testing.T) {
			h, greedy, others := newFullTable(t)
			for range 2000 {
				h.advance(100 * time.Microsecond)
				test.open(greedy.newFlow())
			}
			if got := h.recorded(others); got != len(others) {
				t.Errorf("%d of the others' %d records are left", got, len(others))
			}
			if got := len(h.engine.records); got > 800 {
				t.Errorf("%d records, want at most 800", got)
			}
			if got := h.engine.recordLimit.refused; got != test.refused {
				t.Errorf("%d flows refused, want %d", got, test.refused)
			}
		})
	}
}

// Guards against a caller that fills the table with flows that await an answer, and thereby
// keeps others from opening flows, or a copy of its SYN that is refused although the flow may
// be open through another host.
func TestFullTableTakesFlowsOfOthers(t *testing.T) {
	h, greedy, others := newFullTable(t)
	for range 1000 {
		greedy.newFlow().sendSYN()
	}
	h.expectDecision(greedy.newFlow().sendSYN(), Reset, FlowLimit)
	later := greedy.newFlow()
	later.ack = 1 // marks the SYN as a copy
	h.expectDecision(later.sendSYN(), Forward, Opened)
	for range 500 {
		f := h.newFlow(watchAddress)
		f.open()
		others = append(others, f)
	}
	if got := h.recorded(others); got != len(others) {
		t.Errorf("%d of the others' %d records are left", got, len(others))
	}
	h.expectDecision(others[0].sendRequest(), Forward, Known)
}

// Guards against a caller that takes the records of others before it is counted, when all
// others have one each.
func TestGreedyCallerOfManyHoldsLittle(t *testing.T) {
	const records = 8000
	h := newHarness(t, newEntry(1, localDC), newEntry(2, localDC))
	h.routes[0].Objective = 0
	h.engine = New(Options{DataCentre: localDC, MaxFlows: records, Seed: 3})
	h.applyView()
	for range records {
		f := h.newFlow(watchAddress)
		f.open()
		f.ackResponse()
	}
	greedy := &greedyCaller{harness: h}
	largest := 0
	for range 3 * records {
		h.advance(10 * time.Microsecond)
		f := greedy.newFlow()
		f.open()
		f.ackResponse()
		largest = max(largest, h.engine.recordLimit.counts.records[f.caller.Addr()])
	}
	if limit := records/maxLeadDivisor + 3*records/maxCountedCallers; largest > limit {
		t.Errorf("the caller had %d of %d records, want at most %d", largest, records, limit)
	}
}

// Guards against records that are evicted before closed ones, which nobody needs, and against
// a flow that breaks because it lost its record.
func TestEvictionOrder(t *testing.T) {
	h, _, others := newFullTable(t)
	others[7].sendFIN()
	h.newFlow(watchAddress).open()
	if h.recorded(others) != 99 || h.recorded(others[7:8]) != 0 {
		t.Fatalf("the closed record was not evicted first")
	}
	h.advance(maxSelectionAge)
	oldest := &testFlow{harness: h, caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 99, 0, 1}), 1), address: watchAddress}
	key := flowKey{caller: oldest.caller, address: oldest.address}
	oldest.token, oldest.seq, oldest.ack = h.engine.records[key].upstream.token, 1001, 7000
	oldest.sendRequest()
	oldest.ackResponse()
	for range 600 {
		h.newFlow(watchAddress).open()
	}
	if h.recorded([]*testFlow{oldest}) != 1 {
		t.Error("the most recently used record of the caller was evicted before its idle ones")
	}
	h.engine.removeRecord(key, h.engine.records[key])
	h.expectDecision(oldest.sendRequest(), Forward, Echoed)
}

// Guards against counts that accuse a caller of records that it does not have, and against a
// caller with many records that is not counted, with three times as many callers as counters.
func TestCallerCountsAreWithinTheirErrorBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		var c callerCounts
		c.reset()
		exact, added := make(map[netip.Addr]int), 0
		for range 20_000 {
			i := int(random.Float64() * random.Float64() * random.Float64() * 3 * maxCountedCallers)
			caller := netip.AddrFrom4([4]byte{100, 64, byte(i >> 8), byte(i)})
			if exact[caller] > 0 && random.IntN(3) == 0 {
				exact[caller]--
				c.remove(caller)
				continue
			}
			exact[caller]++
			added++
			c.add(caller)
		}
		if c.shortfall > added/(maxCountedCallers+1) || len(c.records) > maxCountedCallers {
			t.Fatalf("%d counters, shortfall of %d after %d additions", len(c.records), c.shortfall, added)
		}
		for caller, n := range exact {
			if got := c.records[caller]; got > n || got < n-c.shortfall {
				t.Fatalf("count of %d for %d records, shortfall %d", got, n, c.shortfall)
			}
		}
	})
}

// Guards against a log line for each evicted record, and against evictions that nobody sees.
func TestFullTableIsReportedNowAndThen(t *testing.T) {
	h, greedy, _ := newFullTable(t)
	h.events = nil
	for range 2 * int(recordReportInterval/time.Second) {
		for range 20 {
			f := greedy.newFlow()
			f.open()
			f.ackResponse()
		}
		h.advance(sweepInterval)
	}
	var reports []RecordPressure
	for _, event := range h.events {
		if event.Kind == RecordsFull {
			reports = append(reports, event.Records)
		}
	}
	if len(reports) != 2 {
		t.Fatalf("%d reports in 20 s, want 2: %+v", len(reports), reports)
	}
	if r := reports[0]; r.Evicted == 0 || r.Refused != 0 || r.Caller != netip.AddrFrom4([4]byte{100, 99, 0, 1}) || r.CallerRecords == 0 {
		t.Errorf("report %+v", r)
	}
}
