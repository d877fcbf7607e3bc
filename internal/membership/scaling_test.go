package membership

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// clusterSizes are the numbers of hosts for which the cost per host is measured.
var clusterSizes = []int{50, 150, 430}

// totals returns the numbers of messages and bytes that all hosts have sent.
func (c *testCluster) totals() (messages, bytes int) {
	for _, h := range c.hosts {
		messages += h.messages
		bytes += h.bytes
	}
	return messages, bytes
}

// BenchmarkScalingMembership measures how the cost of membership per host grows with the
// number of hosts, without and with message loss. Bytes are the gob encoding of the
// messages without the headers of net/rpc, TLS and TCP. Processor time includes the
// simulated network.
func BenchmarkScalingMembership(b *testing.B) {
	for _, loss := range []float64{0, 0.2} {
		for _, size := range clusterSizes {
			b.Run(fmt.Sprintf("loss=%v/hosts=%d", loss, size), func(b *testing.B) {
				c := newConvergedCluster(1, size, 7)
				c.loss = loss
				c.countTraffic = true
				seconds := 0
				for b.Loop() {
					c.run(time.Second, nil)
					seconds++
				}
				messages, bytes := c.totals()
				hostSeconds := float64(size * seconds)
				b.ReportMetric(float64(messages)/hostSeconds, "messages/s/host")
				b.ReportMetric(float64(bytes)/hostSeconds, "B/s/host")
				b.ReportMetric(float64(b.Elapsed().Microseconds())/hostSeconds, "cpu-µs/s/host")
			})
		}
	}
}

// BenchmarkScalingMembershipCrash measures the bytes per host that the crash of one host
// causes within 10 s, in excess of those sent in the 10 s before.
func BenchmarkScalingMembershipCrash(b *testing.B) {
	for _, size := range clusterSizes {
		b.Run(fmt.Sprintf("hosts=%d", size), func(b *testing.B) {
			var bytes, baseline, runs int
			for b.Loop() {
				c := newConvergedCluster(uint64(runs), size, 7)
				c.countTraffic = true
				c.run(10*time.Second, nil)
				_, before := c.totals()
				baseline += before
				c.hosts[size-1].running = false
				c.run(10*time.Second, nil)
				_, after := c.totals()
				bytes += after - before
				runs++
			}
			b.ReportMetric(float64(bytes-baseline)/float64(runs*size), "B/crash/host")
		})
	}
}

// BenchmarkScalingMembershipMemory measures the memory per host, including its share of
// the simulated network.
func BenchmarkScalingMembershipMemory(b *testing.B) {
	for _, size := range clusterSizes {
		b.Run(fmt.Sprintf("hosts=%d", size), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				c := newConvergedCluster(1, size, 7)
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(c)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(size), "B/host")
		})
	}
}
