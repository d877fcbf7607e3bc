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

// testCodec has packets of four bytes: the caller's port, and 1 in the next byte
// for a SYN.
type testCodec struct{}

var testRoute = netip.MustParseAddrPort("198.18.0.1:443")

func (testCodec) MaxSize() int                                   { return 64 }
func (testCodec) Headroom() int                                  { return 8 }
func (testCodec) Address([]byte, echo.Token, catalog.UpstreamID) {}
func (testCodec) Reset(b []byte, _ *echo.Segment) []byte         { return b }

func (testCodec) Decode(packet []byte, s *echo.Segment) bool {
	port := binary.BigEndian.Uint16(packet)
	*s = echo.Segment{
		Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, 0, 1}), port), Address: testRoute,
		SYN: packet[2] == 1, ACK: packet[2] != 1, Token: 1,
	}
	return true
}

// newTestEcho returns a forwarder with one upstream.
func newTestEcho(tb testing.TB, upstream netip.AddrPort) *Echo {
	tb.Helper()
	engine := echo.New(echo.Options{DataCentre: "a"})
	engine.SetView(time.Now(), catalog.View{
		Configuration: &catalog.Configuration{Version: 1, Routes: []catalog.Route{
			{Name: "r", Address: testRoute, Shares: []catalog.Share{{Service: "desk", Weight: 1}}},
		}},
		Upstreams: []catalog.Entry{{Presence: catalog.Registered, Upstream: catalog.Upstream{
			ID: 1, Name: "i-1", Service: "desk", DataCentre: "a", Address: upstream, Slots: 3,
		}}},
	})
	f, err := NewEcho(EchoOptions{
		Listen: netip.MustParseAddrPort("127.0.0.1:0"), Codec: testCodec{}, Engine: engine, Logger: zerolog.Nop(), Now: time.Now,
	})
	if err != nil {
		tb.Fatal(err)
	}
	return f
}

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

// TestForwardingAllocatesNothing takes packets of a known flow from the socket's
// buffer to the upstream's socket, decision, metrics and logging included.
func TestForwardingAllocatesNothing(t *testing.T) {
	f := newTestEcho(t, listenUDP(t).LocalAddr().(*net.UDPAddr).AddrPort())
	defer f.conn.Close()
	w := newEchoWorker(f)
	source := netip.MustParseAddrPort("127.0.0.1:9")
	w.handle(testPacket(1, true), source)
	known := testPacket(1, false)
	if n := testing.AllocsPerRun(1000, func() { w.handle(known, source) }); n != 0 {
		t.Errorf("%g allocations a packet", n)
	}
}

// BenchmarkSlopeEcho measures packets of known flows through the sockets, by the
// number of packets under way. Wake-ups are voluntary context switches of the
// whole process: the caller's and the upstream's ends are in it.
func BenchmarkSlopeEcho(b *testing.B) {
	for _, underWay := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("under-way=%d", underWay), func(b *testing.B) { benchmarkEcho(b, underWay) })
	}
}

func benchmarkEcho(b *testing.B, underWay int) {
	const flows = 1000
	upstream, caller := listenUDP(b), listenUDP(b)
	f := newTestEcho(b, upstream.LocalAddr().(*net.UDPAddr).AddrPort())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w := newEchoWorker(f)
		receive(f.conn, w.buffer[w.headroom:], zerolog.Nop(), w.handle)
	}()
	defer func() {
		_ = f.conn.Close()
		<-done
	}()
	buffer := make([]byte, 256)
	pass := func(packet []byte) {
		if _, err := caller.WriteToUDPAddrPort(packet, f.Addr()); err != nil {
			b.Fatal(err)
		}
	}
	take := func() {
		if err := upstream.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
			b.Fatal(err)
		}
		if _, err := upstream.Read(buffer); err != nil {
			b.Fatalf("a packet did not arrive: %v", err)
		}
	}
	known := make([][]byte, flows)
	for i := range known {
		pass(testPacket(uint16(i), true))
		take()
		known[i] = testPacket(uint16(i), false)
	}
	before := switches(b)
	sent, received := 0, 0
	for b.Loop() {
		for sent-received < underWay {
			pass(known[sent%flows])
			sent++
		}
		take()
		received++
	}
	b.ReportMetric(float64(switches(b)-before)/float64(b.N), "wake-ups/packet")
}

// switches returns the process's voluntary context switches.
func switches(b *testing.B) int64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return usage.Nvcsw
}
