package forward_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/flow"
	"github.com/oatlatch/oatlatch/internal/forward"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/membership"
	"github.com/oatlatch/oatlatch/internal/peer"
	"github.com/oatlatch/oatlatch/internal/service"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// receiveTimeout is the maximum wait for an expected packet or state.
const receiveTimeout = 5 * time.Second

func listenUDP(t testing.TB) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(loopback))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func localAddress(conn *net.UDPConn) netip.AddrPort {
	return conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// syn builds an encapsulated SYN from the source port to the destination.
func syn(t testing.TB, port uint16, destination netip.AddrPort) []byte {
	t.Helper()
	ip := &layers.IPv4{Version: 4, TTL: 64, Protocol: layers.IPProtocolTCP, SrcIP: net.IPv4(192, 0, 2, 1), DstIP: destination.Addr().AsSlice()}
	tcp := &layers.TCP{SrcPort: layers.TCPPort(port), DstPort: layers.TCPPort(destination.Port()), SYN: true}
	_ = tcp.SetNetworkLayerForChecksum(ip)
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(buffer, options, &layers.Geneve{Protocol: layers.EthernetTypeIPv4}, ip, tcp); err != nil {
		t.Fatal(err)
	}
	return buffer.Bytes()
}

var serviceAddress = netip.MustParseAddrPort("198.51.100.1:443")

// snapshot returns a configuration with one service that has the upstreams.
func snapshot(version config.Version, upstreams ...service.Upstream) *config.Snapshot {
	return &config.Snapshot{
		Manifest: config.Manifest{Version: version, FlowKey: [16]byte{1}},
		Services: []service.Service{{Name: "berth-desk", ID: 9, Address: serviceAddress, Protocol: service.TCP, Upstreams: upstreams}},
	}
}

// startForwarder runs a forwarder that is stopped when the test ends.
func startForwarder(t testing.TB, self host.Host, peers peer.Caller) *forward.Forwarder {
	t.Helper()
	f, err := forward.New(forward.Options{
		Self: self, Listen: loopback, Peers: peers,
		Logger: zerolog.Nop(), Registerer: prometheus.NewRegistry(),
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return f
}

// startStandalone runs a forwarder without peers that serves one upstream.
func startStandalone(t testing.TB, upstream netip.AddrPort) *forward.Forwarder {
	t.Helper()
	self := host.Host{ID: "casa-quay/entry-1", DataCentre: "casa-quay"}
	f := startForwarder(t, self, nil)
	f.SetMembers(membership.View{Members: []membership.Member{{Host: self, State: membership.Live}}})
	f.Adopt(snapshot(1, service.Upstream{Name: "desk-1", PacketAddress: upstream, Weight: 1, State: service.AdminActive}))
	gomega.NewWithT(t).Eventually(func() bool { s := f.Status(); return len(s.Services) == 1 && s.Services[0].Ready }).Should(gomega.BeTrue())
	return f
}

// TestForwarderSendsServiceIDToUpstream checks that a forwarded packet carries the
// service ID as its Geneve VNI, and that truncated packets and packets to an unknown
// address are counted as dropped.
func TestForwarderSendsServiceIDToUpstream(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	g := gomega.NewWithT(t)
	upstream, caller := listenUDP(t), listenUDP(t)
	f := startStandalone(t, localAddress(upstream))

	_, err := caller.WriteToUDPAddrPort(syn(t, 4711, serviceAddress), f.Addr())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	buffer := make([]byte, 2048)
	g.Expect(upstream.SetReadDeadline(time.Now().Add(receiveTimeout))).To(gomega.Succeed())
	n, err := upstream.Read(buffer)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var geneve layers.Geneve
	g.Expect(geneve.DecodeFromBytes(buffer[:n], gopacket.NilDecodeFeedback)).To(gomega.Succeed())
	g.Expect(geneve.VNI).To(gomega.BeEquivalentTo(9))
	g.Expect(geneve.Payload).To(gomega.Equal(syn(t, 4711, serviceAddress)[8:]))

	_, _ = caller.WriteToUDPAddrPort(syn(t, 4711, netip.MustParseAddrPort("198.51.100.2:443")), f.Addr())
	_, _ = caller.WriteToUDPAddrPort([]byte{1, 2, 3}, f.Addr())
	g.Eventually(func() map[string]uint64 { return f.Status().Drops }).Should(gomega.Equal(map[string]uint64{
		flow.UnknownDestination.String(): 1, flow.Truncated.String(): 1,
	}))
	explanation := f.Explain(flow.Key{Protocol: service.TCP, Source: netip.MustParseAddrPort("192.0.2.1:4711"), Destination: serviceAddress})
	g.Expect(explanation.Upstream).To(gomega.Equal("desk-1"))
}
