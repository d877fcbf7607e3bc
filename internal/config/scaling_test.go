package config_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/consul/fake"
	"github.com/oatlatch/oatlatch/internal/publish"
	"github.com/oatlatch/oatlatch/internal/service"
)

// upstreamsPerService is 3,300 upstreams divided by 1,200 services, rounded up.
const upstreamsPerService = 3

var (
	scalingHosts    = []int{50, 100, 200, 430}
	scalingServices = []int{300, 600, 1200}
)

// services returns count different services.
func services(count int) []service.Service {
	var all []service.Service
	for number := range count {
		all = append(all, newService(number, upstreamsPerService, 1))
	}
	return all
}

// trafficCounts counts the peer messages, their bytes and the platform calls of a cluster.
type trafficCounts struct{ messages, bytes, calls int }

// traffic returns the counts since the start of the simulation.
func (s *sim) traffic() trafficCounts {
	t := trafficCounts{calls: s.totalPlatformCalls}
	for _, h := range s.hosts {
		t.messages += h.messages
		t.bytes += h.bytes
	}
	return t
}

func (t trafficCounts) sub(earlier trafficCounts) trafficCounts {
	return trafficCounts{t.messages - earlier.messages, t.bytes - earlier.bytes, t.calls - earlier.calls}
}

// BenchmarkScalingCluster measures how the load when idle and the load caused by one change grow with
// the number of hosts. The load of a change is that of the 10 s after it minus the idle load.
func BenchmarkScalingCluster(b *testing.B) {
	const window, idleTime, changes = 10 * time.Second, 100 * time.Second, 5
	for _, hosts := range scalingHosts {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			for range b.N {
				s := newCluster(b, 1, hosts, 7)
				before := s.traffic()
				s.run(idleTime)
				idle := s.traffic().sub(before)
				before = s.traffic()
				for weight := range changes {
					s.publish(newService(1, 3, weight+2))
					s.run(window)
				}
				busy := s.traffic().sub(before)
				perSecond := func(n int) float64 { return float64(n) / idleTime.Seconds() }
				perChange := func(busy, idle int) float64 {
					return float64(busy)/changes - perSecond(idle)*window.Seconds()
				}
				n := float64(hosts)
				b.ReportMetric(perSecond(idle.messages)/n, "idle-msg/s/host")
				b.ReportMetric(perSecond(idle.bytes)/n, "idle-B/s/host")
				b.ReportMetric(perSecond(idle.calls), "idle-calls/s")
				b.ReportMetric(perChange(busy.messages, idle.messages)/n, "msg/change/host")
				b.ReportMetric(perChange(busy.bytes, idle.bytes)/n, "B/change/host")
				b.ReportMetric(perChange(busy.calls, idle.calls), "calls/change")
			}
		})
	}
}

// BenchmarkScalingStart measures the platform calls while all hosts start at the same time. The
// combination of 1,200 services and 430 hosts is left out because the copies of the configuration
// of all hosts would not fit into memory.
func BenchmarkScalingStart(b *testing.B) {
	for _, size := range []struct{ services, hosts int }{
		{60, 50}, {60, 100}, {60, 200}, {60, 430}, {1200, 50}, {1200, 100}, {1200, 200},
	} {
		b.Run(fmt.Sprintf("services=%d/hosts=%d", size.services, size.hosts), func(b *testing.B) {
			hosts := size.hosts
			for range b.N {
				s := newSim(1, b.Fatalf)
				s.publish(services(size.services)...)
				for range hosts {
					s.addHost(7)
				}
				for _, h := range s.hosts {
					h.start()
				}
				// Each step is 100 ms.
				steps := 0
				for ; steps < 60 && !s.allConfigured(); steps++ {
					s.run(100 * time.Millisecond)
				}
				peak := 0
				for _, calls := range s.callsBySecond {
					peak = max(peak, calls)
				}
				b.ReportMetric(float64(steps)/10, "s-until-all-serve")
				b.ReportMetric(float64(peak), "peak-calls/s")
				b.ReportMetric(float64(s.totalPlatformCalls)/float64(hosts), "calls/host")
			}
		})
	}
}

func (s *sim) allConfigured() bool {
	for _, h := range s.hosts {
		if h.adopter.Bundle() == nil {
			return false
		}
	}
	return true
}

// BenchmarkScalingOutage measures the peak rate of platform calls during an outage of ten minutes
// and in the minute after it.
func BenchmarkScalingOutage(b *testing.B) {
	for _, hosts := range scalingHosts {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			for range b.N {
				s := newCluster(b, 1, hosts, 7)
				for _, h := range s.hosts {
					h.platformUnreachable = true
				}
				s.run(10 * time.Minute)
				outageEnd := int(s.now.Sub(s.start) / time.Second)
				for _, h := range s.hosts {
					h.platformUnreachable = false
				}
				s.run(time.Minute)
				during, after := 0, 0
				for second, calls := range s.callsBySecond {
					switch {
					case second >= outageEnd:
						after = max(after, calls)
					// The first 10 s are the start in newCluster.
					case second > 10:
						during = max(during, calls)
					}
				}
				b.ReportMetric(float64(during), "peak-calls/s-during")
				b.ReportMetric(float64(after), "peak-calls/s-after")
			}
		})
	}
}

// BenchmarkScalingAdopt measures how the cost of one change for a host grows with the number of
// services: the time, the bytes transferred and the memory held by a configuration.
func BenchmarkScalingAdopt(b *testing.B) {
	for _, count := range scalingServices {
		b.Run(fmt.Sprintf("services=%d", count), func(b *testing.B) {
			store := fake.NewStore()
			request := publish.Request{ID: "first", Services: services(count), At: time.Unix(1_800_000_000, 0)}
			if _, err := publishTo(store, request); err != nil {
				b.Fatal(err)
			}
			heapBefore := heapInUse()
			old := readState(store).Bundle
			held := heapInUse() - heapBefore
			change := publish.Request{ID: "second", Services: []service.Service{newService(1, 3, 9)}, At: request.At}
			if _, err := publishTo(store, change); err != nil {
				b.Fatal(err)
			}
			head := store.Get(config.HeadKey).Data
			decoded, err := config.DecodeHead(head)
			if err != nil {
				b.Fatal(err)
			}
			transferred := len(head)
			var pages []config.PageData
			for _, ref := range old.MissingPages(decoded) {
				data := store.Get(ref.Key()).Data
				transferred += len(data)
				pages = append(pages, config.PageData{Ref: ref, Data: data})
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				if _, err := config.NewBundle(head, pages, old); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(transferred), "B/change")
			b.ReportMetric(float64(len(head)), "B/head")
			b.ReportMetric(float64(held), "B-held")
		})
	}
}

// heapInUse returns the bytes of live heap objects.
func heapInUse() int {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}
