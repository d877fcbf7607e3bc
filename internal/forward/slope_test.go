package forward_test

import (
	"fmt"
	"testing"
	"time"
)

// window is how many packets are under way at once: few enough that no socket
// buffer overflows.
const window = 64

// BenchmarkSlopePackets measures one packet through the sockets of a forwarder,
// from caller to upstream, by the number of flows.
func BenchmarkSlopePackets(b *testing.B) {
	for _, flows := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprintf("flows=%d", flows), func(b *testing.B) { forwardPackets(b, flows) })
	}
}

func forwardPackets(b *testing.B, flows int) {
	upstream, caller := listen(b), listen(b)
	f := startAlone(b, addressOf(upstream))
	packets := make([][]byte, flows)
	for i := range packets {
		packets[i] = append([]byte(nil), syn(b, uint16(1024+i), deskAddress)...)
	}
	buffer := make([]byte, 2048)
	sent, received := 0, 0
	for b.Loop() {
		for sent-received < window {
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
