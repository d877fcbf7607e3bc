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

// wire joins the forwarders of one process in place of net/rpc.
type wire struct {
	mu       sync.Mutex
	services map[host.ID]func(from host.ID) any
}

// end is a host's end of the wire.
type end struct {
	wire *wire
	self host.ID
}

func (e end) Call(_ context.Context, to host.ID, _ string, args, reply any) error {
	e.wire.mu.Lock()
	build := e.wire.services[to]
	e.wire.mu.Unlock()
	if build == nil {
		return errors.New("host not started")
	}
	return build(e.self).(*forward.Service).Deliver(args.(*flow.Message), reply.(*forward.Ack))
}

// startPair starts two hosts that know each other.
func startPair(t *testing.T) [2]*forward.Forwarder {
	t.Helper()
	w := &wire{services: make(map[host.ID]func(host.ID) any)}
	var pair [2]*forward.Forwarder
	var view membership.View
	for i, id := range []host.ID{"akl-a/entry-1", "ham-a/entry-1"} {
		self := host.Host{ID: id, DataCentre: string(id[:5])}
		f := start(t, self, end{w, id})
		w.mu.Lock()
		w.services[id] = f.PeerService
		w.mu.Unlock()
		pair[i] = f
		self.PacketAddress = f.Addr()
		view.Members = append(view.Members, membership.Member{Host: self, State: membership.Live})
	}
	for _, f := range pair {
		f.SetMembers(view)
	}
	return pair
}

func TestForwardersKeepFlowsThroughADrainAndALeave(t *testing.T) {
	g := gomega.NewWithT(t)
	old, fresh, caller := listen(t), listen(t), listen(t)
	pair := startPair(t)
	upstreams := []service.Upstream{
		{Name: "desk-1", PacketAddress: addressOf(old), Weight: 1, State: service.AdminActive},
		{Name: "desk-2", PacketAddress: addressOf(fresh), Weight: 1, State: service.AdminDraining},
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
	reads := func(into *[]byte, from interface {
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
		_, _ = caller.WriteToUDPAddrPort(syn(t, 1000+port, deskAddress), pair[0].Addr())
		reads(&got, old)
	}

	// Snapshots are immutable: the next one has its own list.
	upstreams = slices.Clone(upstreams)
	// The first host drains the flows' upstream and so does the second.
	upstreams[0].State, upstreams[1].State = service.AdminDraining, service.AdminActive
	pair[0].Adopt(snapshot(2, upstreams...))
	pair[1].Adopt(snapshot(2, upstreams...))
	for _, f := range pair {
		g.Eventually(tracked(f)).WithTimeout(receiveTimeout).Should(gomega.Equal(1024))
		g.Eventually(func() int { return f.Status().Services[0].PendingRounds }).WithTimeout(receiveTimeout).Should(gomega.Equal(0))
	}
	for port := range uint16(flows) {
		_, _ = caller.WriteToUDPAddrPort(segment(t, 1000+port, false), pair[1].Addr())
		reads(&got, old)
		_, _ = caller.WriteToUDPAddrPort(syn(t, 2000+port, deskAddress), pair[1].Addr())
		reads(&got, fresh)
		_, _ = caller.WriteToUDPAddrPort(segment(t, 2000+port, false), pair[0].Addr())
		reads(&got, fresh)
	}

	ctx, cancel := context.WithTimeout(context.Background(), 4*receiveTimeout)
	defer cancel()
	g.Expect(pair[0].Leave(ctx)).To(gomega.Succeed())
	g.Expect(pair[1].Status().Services[0].OwnedSlots).To(gomega.Equal(1024))
	for port := range uint16(flows) {
		_, _ = caller.WriteToUDPAddrPort(segment(t, 2000+port, false), pair[1].Addr())
		reads(&got, fresh)
	}
}

func TestForwarderRefusesRelaysOfStrangers(t *testing.T) {
	g := gomega.NewWithT(t)
	pair := startPair(t)
	stranger := listen(t)
	relay := flow.Relay{Kind: flow.RelayRecord, Hops: 1, Service: 9, Upstream: netip.MustParseAddrPort("127.0.0.1:9")}
	out, err := packet.NewEncoder().Encode(9, &relay, layers.EthernetTypeIPv4, syn(t, 1, deskAddress)[8:])
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, _ = stranger.WriteToUDPAddrPort(out, pair[0].Addr())
	g.Eventually(func() uint64 { return pair[0].Status().Drops[flow.UnknownSender.String()] }).Should(gomega.BeEquivalentTo(1))
}

// segment builds an encapsulated later packet of a flow to the desk.
func segment(t *testing.T, port uint16, last bool) []byte {
	t.Helper()
	ip := &layers.IPv4{Version: 4, TTL: 64, Protocol: layers.IPProtocolTCP, SrcIP: []byte{192, 0, 2, 1}, DstIP: deskAddress.Addr().AsSlice()}
	tcp := &layers.TCP{SrcPort: layers.TCPPort(port), DstPort: layers.TCPPort(deskAddress.Port()), ACK: true, FIN: last}
	_ = tcp.SetNetworkLayerForChecksum(ip)
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(buffer, options, &layers.Geneve{Protocol: layers.EthernetTypeIPv4}, ip, tcp); err != nil {
		t.Fatal(err)
	}
	return buffer.Bytes()
}
