package forward

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/flow/echo"
)

// fakeCodec decodes packets of four bytes: the caller's port in two bytes, a byte
// that is 1 for a SYN, and the acknowledgement number.
type fakeCodec struct{}

var routeAddress = netip.MustParseAddrPort("198.18.0.1:443")

func (fakeCodec) MaxSize() int                                       { return 64 }
func (fakeCodec) Headroom() int                                      { return 8 }
func (fakeCodec) SetUpstream([]byte, echo.Token, catalog.UpstreamID) {}
func (fakeCodec) AppendReset(b []byte, _ *echo.Segment) []byte       { return b }

func (fakeCodec) Decode(packet []byte, s *echo.Segment) bool {
	port := binary.BigEndian.Uint16(packet)
	*s = echo.Segment{
		Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, 0, 1}), port), VirtualAddress: routeAddress,
		SYN: packet[2] == 1, ACK: packet[2] != 1, Token: 1, Ack: uint32(packet[3]),
	}
	return true
}

// newTestForwarder returns a forwarder whose only route leads to the upstream.
func newTestForwarder(tb testing.TB, upstream netip.AddrPort) *EchoForwarder {
	tb.Helper()
	engine := echo.New(echo.Options{DataCentre: "a"})
	engine.SetView(time.Now(), catalog.View{
		Configuration: &catalog.Configuration{Version: 1, Routes: []catalog.Route{
			{Name: "r", Address: routeAddress, Shares: []catalog.Share{{Service: "desk", Weight: 1}}},
		}},
		Upstreams: []catalog.Entry{{Presence: catalog.Registered, Upstream: catalog.Upstream{
			ID: 1, Name: "i-1", Service: "desk", DataCentre: "a", Address: upstream, Slots: 3,
		}}},
	})
	f, err := NewEchoForwarder(EchoForwarderOptions{
		Listen: netip.MustParseAddrPort("127.0.0.1:0"), Codec: fakeCodec{}, Engine: engine, Logger: zerolog.Nop(), Now: time.Now,
	})
	if err != nil {
		tb.Fatal(err)
	}
	return f
}

// testPacket returns a packet that fakeCodec decodes.
func testPacket(port uint16, syn bool) []byte {
	packet := binary.BigEndian.AppendUint16(nil, port)
	if syn {
		return append(packet, 1, 0)
	}
	return append(packet, 0, 0)
}

func listenUDP(tb testing.TB) *net.UDPConn {
	tb.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = conn.Close() })
	return conn
}

// TestForwardingAllocatesNothing checks that handling a packet of a known flow
// allocates no memory, from the receive buffer to the upstream's socket. Decision,
// metrics and logging are included.
func TestForwardingAllocatesNothing(t *testing.T) {
	f := newTestForwarder(t, listenUDP(t).LocalAddr().(*net.UDPAddr).AddrPort())
	defer f.conn.Close()
	w := newEchoWorker(f)
	source := netip.MustParseAddrPort("127.0.0.1:9")
	w.handle(testPacket(1, true), source)
	known := testPacket(1, false)
	if n := testing.AllocsPerRun(1000, func() { w.handle(known, source) }); n != 0 {
		t.Errorf("%g allocations per packet, want 0", n)
	}
}

// TestSYNFromBeforeAStandstillIsNotForwarded guards against open flows that are misdirected: a
// host that stood still sends a second upstream the SYN of a flow that another host has opened.
func TestSYNFromBeforeAStandstillIsNotForwarded(t *testing.T) {
	upstream, caller := listenUDP(t), listenUDP(t)
	f := newTestForwarder(t, upstream.LocalAddr().(*net.UDPAddr).AddrPort())
	defer f.conn.Close()
	w := newEchoWorker(f)
	pass := func(port uint16, stoodStill time.Duration) {
		f.conn.now = func() time.Time { return time.Now().Add(stoodStill) }
		if _, err := caller.WriteToUDPAddrPort(testPacket(port, true), f.Addr()); err != nil {
			t.Fatal(err)
		}
		n, source, err := f.conn.ReadFromUDPAddrPort(w.buffer[w.headroom:])
		if err != nil {
			t.Fatal(err)
		}
		w.handle(w.buffer[w.headroom:w.headroom+n], source)
	}
	pass(1, 4*time.Second)
	pass(2, 0)
	packet := make([]byte, 64)
	if _, err := upstream.Read(packet); err != nil {
		t.Fatal(err)
	}
	if port := binary.BigEndian.Uint16(packet[w.headroom:]); port != 2 {
		t.Errorf("the upstream got the SYN of port %d, want only that of port 2", port)
	}
}

// BenchmarkScalingEcho measures how long it takes to forward a packet of a known flow
// from the caller's socket to the upstream's, by the number of packets in flight. It
// reports the voluntary context switches of the whole process, which also runs the
// caller and the upstream, as wake-ups.
func BenchmarkScalingEcho(b *testing.B) {
	for _, inFlight := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("under-way=%d", inFlight), func(b *testing.B) { benchmarkEchoForwarding(b, inFlight) })
	}
}

func benchmarkEchoForwarding(b *testing.B, inFlight int) {
	const flows = 1000
	upstream, caller := listenUDP(b), listenUDP(b)
	f := newTestForwarder(b, upstream.LocalAddr().(*net.UDPAddr).AddrPort())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w := newEchoWorker(f)
		receivePackets(f.conn, w.buffer[w.headroom:], zerolog.Nop(), w.handle)
	}()
	defer func() {
		_ = f.conn.Close()
		<-done
	}()
	buffer := make([]byte, 256)
	send := func(packet []byte) {
		if _, err := caller.WriteToUDPAddrPort(packet, f.Addr()); err != nil {
			b.Fatal(err)
		}
	}
	awaitDelivery := func() {
		if err := upstream.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
			b.Fatal(err)
		}
		if _, err := upstream.Read(buffer); err != nil {
			b.Fatalf("no packet arrived at the upstream: %v", err)
		}
	}
	known := make([][]byte, flows)
	for i := range known {
		send(testPacket(uint16(i), true))
		awaitDelivery()
		known[i] = testPacket(uint16(i), false)
	}
	switchesBefore := voluntaryContextSwitches(b)
	sent, received := 0, 0
	for b.Loop() {
		for sent-received < inFlight {
			send(known[sent%flows])
			sent++
		}
		awaitDelivery()
		received++
	}
	b.ReportMetric(float64(voluntaryContextSwitches(b)-switchesBefore)/float64(b.N), "wake-ups/packet")
}

// voluntaryContextSwitches returns the number of voluntary context switches of the process.
func voluntaryContextSwitches(b *testing.B) int64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return usage.Nvcsw
}
