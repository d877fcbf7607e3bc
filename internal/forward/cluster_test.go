package forward_test

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/onsi/gomega"

	"github.com/oatlatch/oatlatch/internal/flow"
	"github.com/oatlatch/oatlatch/internal/forward"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/membership"
	"github.com/oatlatch/oatlatch/internal/packet"
	"github.com/oatlatch/oatlatch/internal/service"
)

// inMemoryNetwork delivers messages between the forwarders of one process. It
// stands in for net/rpc.
type inMemoryNetwork struct {
	mu        sync.Mutex
	receivers map[host.ID]func(from host.ID) any
}

// inMemoryCaller implements peer.Caller for one host of the network.
type inMemoryCaller struct {
	network *inMemoryNetwork
	self    host.ID
}

func (c inMemoryCaller) Call(_ context.Context, to host.ID, _ string, args, reply any) error {
	c.network.mu.Lock()
	newReceiver := c.network.receivers[to]
	c.network.mu.Unlock()
	if newReceiver == nil {
		return errors.New("host not started")
	}
	return newReceiver(c.self).(*forward.Service).Deliver(args.(*flow.Message), reply.(*forward.Ack))
}

// startPair starts two forwarders that are members of the same deployment.
func startPair(t *testing.T) [2]*forward.Forwarder {
	t.Helper()
	network := &inMemoryNetwork{receivers: make(map[host.ID]func(host.ID) any)}
	var pair [2]*forward.Forwarder
	var view membership.View
	for i, id := range []host.ID{"akl-a/entry-1", "ham-a/entry-1"} {
		self := host.Host{ID: id, DataCentre: string(id[:5])}
		f := startForwarder(t, self, inMemoryCaller{network, id})
		network.mu.Lock()
		network.receivers[id] = f.PeerService
		network.mu.Unlock()
		pair[i] = f
		self.PacketAddress = f.Addr()
		view.Members = append(view.Members, membership.Member{Host: self, State: membership.Live})
	}
	for _, f := range pair {
		f.SetMembers(view)
	}
	return pair
}

// TestForwardersKeepFlowsThroughDrainAndLeave checks that the packets of an open flow
// reach its upstream through either host, even while the upstream drains and after a
// host has left.
func TestForwardersKeepFlowsThroughDrainAndLeave(t *testing.T) {
	g := gomega.NewWithT(t)
	first, second, caller := listenUDP(t), listenUDP(t), listenUDP(t)
	pair := startPair(t)
	upstreams := []service.Upstream{
		{Name: "desk-1", PacketAddress: localAddress(first), Weight: 1, State: service.AdminActive},
		{Name: "desk-2", PacketAddress: localAddress(second), Weight: 1, State: service.AdminDraining},
	}
	ready := func(f *forward.Forwarder) func() bool {
		return func() bool { s := f.Status(); return len(s.Services) == 1 && s.Services[0].Ready }
	}
	tracked := func(f *forward.Forwarder) func() int {
		return func() int { return f.Status().Services[0].TrackedSlots }
	}
	for _, f := range pair {
		f.Adopt(snapshot(1, upstreams...))
	}
	for _, f := range pair {
		g.Eventually(ready(f)).WithTimeout(receiveTimeout).Should(gomega.BeTrue())
	}
	const flows = 50
	readPacket := func(into *[]byte, from interface {
		SetReadDeadline(time.Time) error
		Read([]byte) (int, error)
	}) {
		buffer := make([]byte, 2048)
		g.Expect(from.SetReadDeadline(time.Now().Add(receiveTimeout))).To(gomega.Succeed())
		n, err := from.Read(buffer)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		*into = buffer[:n]
	}
	var got []byte
	for port := range uint16(flows) {
		_, _ = caller.WriteToUDPAddrPort(syn(t, 1000+port, serviceAddress), pair[0].Addr())
		readPacket(&got, first)
	}

	// Snapshots are immutable, so the next one needs its own list.
	upstreams = slices.Clone(upstreams)
	// Drain the upstream of the open flows and activate the other one.
	upstreams[0].State, upstreams[1].State = service.AdminDraining, service.AdminActive
	pair[0].Adopt(snapshot(2, upstreams...))
	pair[1].Adopt(snapshot(2, upstreams...))
	for _, f := range pair {
		g.Eventually(tracked(f)).WithTimeout(receiveTimeout).Should(gomega.Equal(1024))
		g.Eventually(func() int { return f.Status().Services[0].PendingRounds }).WithTimeout(receiveTimeout).Should(gomega.Equal(0))
	}
	for port := range uint16(flows) {
		_, _ = caller.WriteToUDPAddrPort(segment(t, 1000+port, false), pair[1].Addr())
		readPacket(&got, first)
		_, _ = caller.WriteToUDPAddrPort(syn(t, 2000+port, serviceAddress), pair[1].Addr())
		readPacket(&got, second)
		_, _ = caller.WriteToUDPAddrPort(segment(t, 2000+port, false), pair[0].Addr())
		readPacket(&got, second)
	}

	ctx, cancel := context.WithTimeout(context.Background(), 4*receiveTimeout)
	defer cancel()
	g.Expect(pair[0].Leave(ctx)).To(gomega.Succeed())
	g.Expect(pair[1].Status().Services[0].OwnedSlots).To(gomega.Equal(1024))
	for port := range uint16(flows) {
		_, _ = caller.WriteToUDPAddrPort(segment(t, 2000+port, false), pair[1].Addr())
		readPacket(&got, second)
	}
}

// TestForwarderDropsRelaysFromUnknownSenders checks that a relayed packet is
// dropped when its source address is not that of a member.
func TestForwarderDropsRelaysFromUnknownSenders(t *testing.T) {
	g := gomega.NewWithT(t)
	pair := startPair(t)
	unknownSender := listenUDP(t)
	relay := flow.Relay{Kind: flow.RelayRecord, Hops: 1, Service: 9, Upstream: netip.MustParseAddrPort("127.0.0.1:9")}
	datagram, err := packet.NewEncoder().Encode(9, &relay, layers.EthernetTypeIPv4, syn(t, 1, serviceAddress)[8:])
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, _ = unknownSender.WriteToUDPAddrPort(datagram, pair[0].Addr())
	g.Eventually(func() uint64 { return pair[0].Status().Drops[flow.UnknownSender.String()] }).Should(gomega.BeEquivalentTo(1))
}

// segment builds an encapsulated packet of an established flow to the service,
// with the FIN flag if fin is true.
func segment(t *testing.T, port uint16, fin bool) []byte {
	t.Helper()
	ip := &layers.IPv4{Version: 4, TTL: 64, Protocol: layers.IPProtocolTCP, SrcIP: []byte{192, 0, 2, 1}, DstIP: serviceAddress.Addr().AsSlice()}
	tcp := &layers.TCP{SrcPort: layers.TCPPort(port), DstPort: layers.TCPPort(serviceAddress.Port()), ACK: true, FIN: fin}
	_ = tcp.SetNetworkLayerForChecksum(ip)
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(buffer, options, &layers.Geneve{Protocol: layers.EthernetTypeIPv4}, ip, tcp); err != nil {
		t.Fatal(err)
	}
	return buffer.Bytes()
}
