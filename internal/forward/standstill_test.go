package forward

import (
	"net"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
)

func TestStandstill(t *testing.T) {
	type read struct {
		// at and received are milliseconds; delayed is the wanted result in milliseconds.
		at, received, delayed int
	}
	tests := map[string][]read{
		"packets that waited while the process stood still": {{0, 0, 0}, {4000, 100, 3900}, {4001, 3900, 101}, {4002, 4001, 0}},
		"few packets come": {{0, 0, 0}, {4000, 4000, 0}, {9000, 8900, 0}},
		"a slow process reads one packet after the other": {{0, 0, 0}, {300, 0, 0}, {600, 1, 0}, {900, 2, 0}},
		"a short standstill":                              {{0, 0, 0}, {399, 0, 0}},
		"the first packet of the process":                 {{1000, 100, 900}},
	}
	for name, reads := range tests {
		t.Run(name, func(t *testing.T) {
			var s standstill
			start := time.Unix(1_000_000, 0)
			at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
			for _, r := range reads {
				if got := s.observe(at(r.at), at(r.received)); got != time.Duration(r.delayed)*time.Millisecond {
					t.Errorf("read at %d: got %s, want %d ms", r.at, got, r.delayed)
				}
			}
		})
	}
}

// TestTimedConnTellsDelay reads a packet by a clock that is 4 s ahead, as if the process had stood
// still since the packet was received.
func TestTimedConnTellsDelay(t *testing.T) {
	g := NewWithT(t)
	conn, err := openSocket(netip.MustParseAddrPort("127.0.0.1:0"), zerolog.Nop())
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	ahead := time.Duration(0)
	timed, err := newTimedConn(conn, func() time.Time { return time.Now().Add(ahead) })
	g.Expect(err).NotTo(HaveOccurred())
	sender := listenUDP(t)
	for _, ahead = range []time.Duration{0, 4 * time.Second, 2 * maxWait} {
		_, err := sender.WriteToUDPAddrPort([]byte("packet"), conn.LocalAddr().(*net.UDPAddr).AddrPort())
		g.Expect(err).NotTo(HaveOccurred())
		buffer := make([]byte, 16)
		n, source, err := timed.ReadFromUDPAddrPort(buffer)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(buffer[:n])).To(Equal("packet"))
		g.Expect(source.Port()).To(Equal(sender.LocalAddr().(*net.UDPAddr).AddrPort().Port()))
		if ahead == 4*time.Second {
			g.Expect(timed.delayed).To(BeNumerically(">=", ahead))
		} else {
			g.Expect(timed.delayed).To(BeZero())
		}
	}
}
