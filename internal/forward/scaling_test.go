package forward_test

import (
	"fmt"
	"testing"
	"time"
)

// maxInFlight is the maximum number of packets in flight. It is small enough that no
// socket buffer overflows.
const maxInFlight = 64

// BenchmarkScalingPackets measures how long it takes to forward a packet from the
// caller's socket to the upstream's, by the number of flows. It also reports the packets
// per second.
func BenchmarkScalingPackets(b *testing.B) {
	for _, flows := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprintf("flows=%d", flows), func(b *testing.B) { benchmarkForwarding(b, flows) })
	}
}

func benchmarkForwarding(b *testing.B, flows int) {
	upstream, caller := listenUDP(b), listenUDP(b)
	f := startStandalone(b, localAddress(upstream))
	packets := make([][]byte, flows)
	for i := range packets {
		packets[i] = append([]byte(nil), syn(b, uint16(1024+i), serviceAddress)...)
	}
	buffer := make([]byte, 2048)
	sent, received := 0, 0
	for b.Loop() {
		for sent-received < maxInFlight {
			if _, err := caller.WriteToUDPAddrPort(packets[sent%flows], f.Addr()); err != nil {
				b.Fatal(err)
			}
			sent++
		}
		if err := upstream.SetReadDeadline(time.Now().Add(receiveTimeout)); err != nil {
			b.Fatal(err)
		}
		if _, err := upstream.Read(buffer); err != nil {
			b.Fatalf("packet %d of %d did not arrive: %v", received, sent, err)
		}
		received++
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "packets/s")
}
