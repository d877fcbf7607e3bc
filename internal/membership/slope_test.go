package membership

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// slopeSizes are the fleets over which costs per host are measured.
var slopeSizes = []int{50, 150, 430}

// totals sums up what the hosts have sent.
func (f *fleet) totals() (messages, bytes int) {
	for _, h := range f.hosts {
		messages += h.messages
		bytes += h.bytes
	}
	return messages, bytes
}

// BenchmarkSlopeMembership measures what one host spends on membership in a quiet
// fleet and under loss of control messages. Bytes are gob values as sent, without
// the headers of net/rpc, TLS and TCP. Processor time includes the message bus.
func BenchmarkSlopeMembership(b *testing.B) {
	for _, loss := range []float64{0, 0.2} {
		for _, size := range slopeSizes {
			b.Run(fmt.Sprintf("loss=%v/hosts=%d", loss, size), func(b *testing.B) {
				f := newWarmFleet(1, size, 7)
				f.loss = loss
				f.measure = true
				seconds := 0
				for b.Loop() {
					f.run(time.Second, nil)
					seconds++
				}
				messages, bytes := f.totals()
				hostSeconds := float64(size * seconds)
				b.ReportMetric(float64(messages)/hostSeconds, "messages/s/host")
				b.ReportMetric(float64(bytes)/hostSeconds, "B/s/host")
				b.ReportMetric(float64(b.Elapsed().Microseconds())/hostSeconds, "cpu-µs/s/host")
			})
		}
	}
}

// BenchmarkSlopeMembershipCrash measures what the crash of one host costs each of
// the others until all views have settled.
func BenchmarkSlopeMembershipCrash(b *testing.B) {
	for _, size := range slopeSizes {
		b.Run(fmt.Sprintf("hosts=%d", size), func(b *testing.B) {
			var bytes, quiet, runs int
			for b.Loop() {
				f := newWarmFleet(uint64(runs), size, 7)
				f.measure = true
				f.run(10*time.Second, nil)
				_, before := f.totals()
				quiet += before
				f.hosts[size-1].alive = false
				f.run(10*time.Second, nil)
				_, after := f.totals()
				bytes += after - before
				runs++
			}
			b.ReportMetric(float64(bytes-quiet)/float64(runs*size), "B/crash/host")
		})
	}
}

// BenchmarkSlopeMembershipMemory measures the state of one node.
func BenchmarkSlopeMembershipMemory(b *testing.B) {
	for _, size := range slopeSizes {
		b.Run(fmt.Sprintf("hosts=%d", size), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				f := newWarmFleet(1, size, 7)
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(f)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(size), "B/host")
		})
	}
}
