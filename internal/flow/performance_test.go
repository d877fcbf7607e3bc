package flow_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/flow"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/membership"
	"github.com/oatlatch/oatlatch/internal/service"
)

// singleHost returns the engine of a host without other members.
func singleHost(maxFlows int, services ...service.Service) *flow.Engine {
	self := host.Host{ID: "casa-quay/entry-0", DataCentre: "casa-quay"}
	e := flow.New(flow.Options{Self: self.ID, DataCentre: self.DataCentre, MaxFlows: maxFlows})
	e.Step(epoch, flow.MembersChanged{View: membership.View{Members: []membership.Member{{Host: self, State: membership.Live}}}})
	e.Step(epoch, flow.Adopted{Snapshot: &config.Snapshot{Manifest: config.Manifest{Version: 1, FlowKey: [16]byte{7}}, Services: services}})
	for i := range 200 {
		e.Step(epoch.Add(time.Duration(i)*flow.TickInterval), flow.Tick{})
	}
	return e
}

// flowCounts are the numbers of recorded flows over which the cost of a decision
// must not grow.
var flowCounts = []int{10_000, 100_000, 1_000_000}

// BenchmarkScalingKnownFlow measures the decision for a recorded flow by number of
// flows.
func BenchmarkScalingKnownFlow(b *testing.B) {
	for _, prefer := range []service.Preference{service.PreferFlows, service.PreferBalance} {
		for _, n := range flowCounts {
			b.Run(fmt.Sprintf("%s/flows=%d", prefer, n), func(b *testing.B) {
				s := testService(1, 14, prefer)
				e := singleHost(4*n, s)
				for i := range n {
					p := flow.Packet{Key: key(&s, i), First: true}
					e.Decide(epoch, &p)
					p.First = false
					e.Decide(epoch, &p)
				}
				b.ReportAllocs()
				i := 0
				for b.Loop() {
					// A large prime stride visits the flows in an order that defeats caches.
					i = (i + 611_953) % n
					p := flow.Packet{Key: key(&s, i)}
					e.Decide(epoch, &p)
				}
			})
		}
	}
}

// BenchmarkScalingFirstPacket measures the decision for a new flow by number of
// recorded flows.
func BenchmarkScalingFirstPacket(b *testing.B) {
	for _, prefer := range []service.Preference{service.PreferFlows, service.PreferBalance} {
		for _, n := range flowCounts {
			b.Run(fmt.Sprintf("%s/flows=%d", prefer, n), func(b *testing.B) {
				s := testService(1, 14, prefer)
				e := singleHost(4*n, s)
				for i := range n {
					p := flow.Packet{Key: key(&s, i)}
					e.Decide(epoch, &p)
					e.Decide(epoch, &p)
				}
				b.ReportAllocs()
				i := n
				for b.Loop() {
					i++
					p := flow.Packet{Key: key(&s, i), First: true}
					e.Decide(epoch, &p)
				}
			})
		}
	}
}

// BenchmarkScalingMemory reports the memory per recorded flow.
func BenchmarkScalingMemory(b *testing.B) {
	for _, n := range flowCounts {
		b.Run(fmt.Sprintf("flows=%d", n), func(b *testing.B) {
			s := testService(1, 14, service.PreferFlows)
			for b.Loop() {
				e := singleHost(4*n, s)
				before := heapBytes()
				for i := range n {
					p := flow.Packet{Key: key(&s, i)}
					e.Decide(epoch, &p)
					e.Decide(epoch, &p)
				}
				b.ReportMetric(float64(heapBytes()-before)/float64(n), "B/flow")
				runtime.KeepAlive(e)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkAdopt adopts a configuration of 1,200 services with 3,300 upstreams
// in which every service has changed.
func BenchmarkAdopt(b *testing.B) {
	e := singleHost(0)
	version := config.Version(1)
	for b.Loop() {
		b.StopTimer()
		version++
		s := &config.Snapshot{Manifest: config.Manifest{Version: version, FlowKey: [16]byte{7}}}
		for i := range 1200 {
			svc := testService(service.ID(i+1), 2+min(1, i/300), service.PreferFlows)
			svc.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, byte(i >> 8), byte(i)}), 443)
			svc.Upstreams[0].Weight = uint32(version)
			s.Services = append(s.Services, svc)
		}
		b.StartTimer()
		e.Step(epoch, flow.Adopted{Snapshot: s})
	}
}

// BenchmarkDecideParallel measures decisions for recorded flows on all processors.
// The first packet of each flow records it.
func BenchmarkDecideParallel(b *testing.B) {
	const n = 100_000
	s := testService(1, 14, service.PreferFlows)
	e := singleHost(4*n, s)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		i := 0
		for pb.Next() {
			i = (i + 611_953) % n
			p := flow.Packet{Key: key(&s, i)}
			e.Decide(epoch, &p)
		}
	})
}

func TestSYNFloodEvictsNoEstablishedFlow(t *testing.T) {
	const established, flood, maxFlows = 50_000, 1_000_000, 1 << 18
	s := testService(1, 14, service.PreferFlows)
	e := singleHost(maxFlows, s)
	for i := range established {
		p := flow.Packet{Key: key(&s, i), First: true}
		e.Decide(epoch, &p)
		p.First = false
		e.Decide(epoch, &p)
	}
	for i := range flood {
		p := flow.Packet{Key: key(&s, established+i), First: true}
		if d := e.Decide(epoch, &p); d.Verdict != flow.Forward {
			t.Fatalf("first packet %d: %+v", i, d)
		}
	}
	got := e.Status()
	if got.Confirmed != established {
		t.Errorf("%d established flows are recorded, want %d", got.Confirmed, established)
	}
	if got.Unconfirmed > maxFlows/4 {
		t.Errorf("%d unconfirmed flows are recorded, want at most a quarter of %d", got.Unconfirmed, maxFlows)
	}
}

func TestDecideDoesNotAllocateForKnownFlows(t *testing.T) {
	s := testService(1, 14, service.PreferBalance)
	e := singleHost(0, s)
	p := flow.Packet{Key: key(&s, 1), First: true}
	e.Decide(epoch, &p)
	p.First = false
	if n := testing.AllocsPerRun(1000, func() { e.Decide(epoch, &p) }); n != 0 {
		t.Errorf("Decide allocates %v times, want 0", n)
	}
}
