package echo

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

// newEngineWithFlows returns an engine with the given numbers of upstreams and open
// flows, and a segment from the caller of each flow.
func newEngineWithFlows(upstreams, flows int) (*Engine, []Segment) {
	e := New(Options{DataCentre: localDC, Seed: 1, MaxFlows: 4 * flows})
	view := catalog.View{Configuration: &catalog.Configuration{Version: 1, IdleTimeout: time.Hour, Routes: []catalog.Route{
		{Name: "watch", Address: watchAddress, Shares: []catalog.Share{{Service: deskService, Weight: 1}}, Repeatable: true},
	}}}
	for i := range upstreams {
		u := newEntry(i+1, localDC)
		u.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 80)
		view.Upstreams = append(view.Upstreams, u)
	}
	e.SetView(startTime, view)
	segments := make([]Segment, flows)
	for i := range segments {
		s := Segment{VirtualAddress: watchAddress, SYN: true, Seq: 1000, Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, byte(i >> 16), byte(i >> 8), byte(i)}), 40000)}
		d := e.Decide(startTime, &s)
		s.SYN, s.ACK, s.Seq, s.Ack, s.Token = false, true, 1001, 5000, d.Token
		e.Decide(startTime, &s)
		segments[i] = s
	}
	return e, segments
}

func TestPacketsOfKnownFlowsAllocateNothing(t *testing.T) {
	e, segments := newEngineWithFlows(20, 1000)
	i := 0
	if got := testing.AllocsPerRun(2000, func() {
		s := segments[i%len(segments)]
		s.Length, s.Seq = 100, s.Seq+uint32(100*(i/len(segments)))
		e.Decide(startTime, &s)
		i++
	}); got != 0 {
		t.Errorf("%g allocations per packet, want 0", got)
	}
}

// BenchmarkScalingKnownFlow measures the decision about a packet of a recorded flow
// by number of flows.
func BenchmarkScalingKnownFlow(b *testing.B) {
	for _, flows := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint(flows), func(b *testing.B) {
			e, segments := newEngineWithFlows(100, flows)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				e.Decide(startTime, &segments[i%flows])
			}
		})
	}
}

// BenchmarkScalingFirstPacket measures the decision about the SYN of a new flow by
// number of upstreams, while the table of flow records is not full.
func BenchmarkScalingFirstPacket(b *testing.B) {
	for _, upstreams := range []int{5, 50, 500} {
		b.Run(fmt.Sprint(upstreams), func(b *testing.B) {
			e, _ := newEngineWithFlows(upstreams, 1)
			e.options.MaxFlows = DefaultMaxFlows
			s := Segment{VirtualAddress: watchAddress, SYN: true}
			for i := 0; b.Loop(); i++ {
				// A new flow takes the place of the one that used its port before.
				s.Caller = netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 0, 0, 1}), uint16(i))
				s.Seq = uint32(i)
				e.Decide(startTime, &s)
			}
		})
	}
}

// BenchmarkScalingFullTable measures the decision about the SYN of a new flow while the table
// is full, of many callers with one record each and of one caller with all of them.
func BenchmarkScalingFullTable(b *testing.B) {
	for _, flows := range []int{1_000, 10_000, 100_000} {
		for name, callers := range map[string]int{"callers": 1 << 24, "caller": 1} {
			b.Run(fmt.Sprint(flows, "/", name), func(b *testing.B) {
				e, _ := newEngineWithFlows(5, flows)
				e.options.MaxFlows = flows
				for _, rec := range e.records {
					rec.lastSeen = startTime.Add(-time.Duration(e.random.Int64N(int64(time.Minute))))
				}
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					now := startTime.Add(time.Duration(i) * 10 * time.Microsecond)
					address := i % callers
					s := Segment{VirtualAddress: watchAddress, SYN: true, Seq: uint32(i), Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{101, byte(address >> 16), byte(address >> 8), byte(address)}), uint16(i))}
					e.Decide(now, &s)
				}
			})
		}
	}
}

// BenchmarkScalingEvictionSearch measures the search for the records to evict from a full table
// of many callers, which holds the engine's lock.
func BenchmarkScalingEvictionSearch(b *testing.B) {
	for _, flows := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint(flows), func(b *testing.B) {
			e, _ := newEngineWithFlows(5, flows)
			for _, rec := range e.records {
				rec.lastSeen = startTime.Add(-time.Duration(e.random.Int64N(int64(time.Minute))))
			}
			for b.Loop() {
				e.recordLimit.counts = callerCounts{}
				e.recordLimit.search(startTime, e.records)
			}
		})
	}
}

// BenchmarkScalingSweep measures a sweep that finds no expired record by number of
// flows.
func BenchmarkScalingSweep(b *testing.B) {
	for _, flows := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint(flows), func(b *testing.B) {
			e, _ := newEngineWithFlows(100, flows)
			for b.Loop() {
				e.sweep(startTime)
			}
		})
	}
}

// BenchmarkScalingView measures SetView with unchanged upstreams by number of
// upstreams.
func BenchmarkScalingView(b *testing.B) {
	for _, upstreams := range []int{30, 300, 3300} {
		b.Run(fmt.Sprint(upstreams), func(b *testing.B) {
			e, _ := newEngineWithFlows(upstreams, 1)
			view := catalog.View{}
			for _, u := range e.upstreams {
				view.Upstreams = append(view.Upstreams, u.Entry)
			}
			for b.Loop() {
				e.SetView(startTime, view)
			}
		})
	}
}

// BenchmarkScalingMemory reports the memory per flow, without the segments that the
// benchmark itself holds.
func BenchmarkScalingMemory(b *testing.B) {
	for _, flows := range []int{10_000, 100_000} {
		b.Run(fmt.Sprint(flows), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				e, segments := newEngineWithFlows(100, flows)
				runtime.GC()
				runtime.ReadMemStats(&after)
				heapBytes := float64(after.HeapAlloc - before.HeapAlloc)
				segmentBytes := float64(len(segments)) * 88
				b.ReportMetric((heapBytes-segmentBytes)/float64(flows), "B/flow")
				runtime.KeepAlive(e)
				runtime.KeepAlive(segments)
			}
		})
	}
}

// BenchmarkEvidence measures a look for upstreams that fail, which holds the engine's lock,
// by the number of upstreams.
func BenchmarkEvidence(b *testing.B) {
	for _, upstreams := range []int{330, 1100, 3300} {
		b.Run(fmt.Sprint(upstreams), func(b *testing.B) {
			e, _ := newEngineWithFlows(upstreams, 1000)
			for _, u := range e.upstreams {
				u.counts.observe(startTime, false, 1)
			}
			now := startTime
			for b.Loop() {
				now = now.Add(time.Millisecond)
				e.Evidence(now, nil)
			}
		})
	}
}

// BenchmarkFullAdmissionQueue measures a look for a waiting flow that can be admitted, while
// the queue is full and none can. A host takes one for each packet.
func BenchmarkFullAdmissionQueue(b *testing.B) {
	e, _ := newEngineWithFlows(20, 1)
	view := catalog.View{Configuration: &catalog.Configuration{Version: 2, Routes: []catalog.Route{
		{Name: "watch", Address: watchAddress, Shares: []catalog.Share{{Service: deskService, Weight: 1}}, Priority: 1, Objective: time.Millisecond},
		{Name: "order", Address: orderAddress},
	}}}
	for _, u := range e.upstreams {
		u.outstanding = 10
		view.Upstreams = append(view.Upstreams, u.Entry)
	}
	e.SetView(startTime, view)
	e.pools[deskService].processingTime = 100 * time.Millisecond
	for i := range maxWaitingFlows {
		caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{101, 0, 0, byte(i / 2)}), uint16(i))
		if d := e.Decide(startTime, &Segment{Caller: caller, VirtualAddress: watchAddress, SYN: true}); d.Reason != Queued {
			b.Fatalf("got %v", d.Reason)
		}
	}
	for b.Loop() {
		e.NextAdmitted(startTime)
	}
}
