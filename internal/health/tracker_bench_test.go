package health

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/service"
)

// BenchmarkScalingTracker measures the time of one step over all upstreams and the
// memory per upstream, by number of upstreams.
func BenchmarkScalingTracker(b *testing.B) {
	const perService = 3
	for _, size := range []int{330, 1100, 3300} {
		b.Run(fmt.Sprintf("upstreams=%d", size), func(b *testing.B) {
			snapshot := &config.Snapshot{}
			for i := range size / perService {
				s := service.Service{ID: service.ID(i + 1), SlowStart: time.Minute, DrainLimit: time.Minute}
				for j := range perService {
					s.Upstreams = append(s.Upstreams, testUpstream(j))
				}
				snapshot.Services = append(snapshot.Services, s)
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			now := testStart
			tracker := NewTracker()
			tracker.Adopt(now, snapshot)
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				now = now.Add(refreshInterval)
				tracker.Observe(now, Check{Key: Key{1, testUpstream(0).Name}, Outcome: Passed, Report: &Report{Load: 0.5, SlotsInUse: 2}})
				tracker.Step(now)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(size), "B/upstream")
		})
	}
}
