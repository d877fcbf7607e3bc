package membershiprunner

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/membership"
	"github.com/oatlatch/oatlatch/internal/peer"
)

// process is a host with its peer server, peer client and runner.
type process struct {
	self   host.Host
	server *peer.Server
	client *peer.Client
	runner *Runner
	cancel context.CancelFunc
	exited chan error
}

// startProcess starts a process of host i on the loopback interface.
func startProcess(i int, incarnation host.Incarnation, seeds ...netip.AddrPort) *process {
	p := &process{exited: make(chan error, 2)}
	p.self = host.Host{ID: host.ID(fmt.Sprintf("akl-a/entry-%d", i)), Incarnation: incarnation, DataCentre: "akl-a"}
	registry := prometheus.NewRegistry()
	var err error
	p.server, err = peer.NewServer(peer.ServerOptions{
		Self: p.self.ID, Listen: netip.MustParseAddrPort("127.0.0.1:0"), Logger: zerolog.Nop(), Registerer: registry,
	})
	Expect(err).NotTo(HaveOccurred())
	p.self.PeerAddress = p.server.Addr()
	p.client = peer.NewClient(peer.ClientOptions{Self: p.self.ID, Logger: zerolog.Nop(), Registerer: registry})
	p.runner = New(Options{
		Self: p.self, Seeds: seeds, Peers: p.client, Logger: zerolog.Nop(), Registerer: registry,
		Seed: uint64(i), OnView: p.client.SetMembers,
	})
	p.server.Register("Member", p.runner.PeerService)
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	go func() { p.exited <- p.runner.Run(ctx) }()
	go func() { p.exited <- p.server.Run(ctx) }()
	DeferCleanup(p.stop)
	return p
}

// stop ends the process and checks that it reports no error but ErrReplaced.
func (p *process) stop() {
	p.cancel()
	if p.exited != nil {
		Eventually(p.exited, "5s").Should(Receive(Or(BeNil(), MatchError(membership.ErrReplaced))))
		Eventually(p.exited, "5s").Should(Receive(BeNil()))
		p.exited = nil
	}
	Expect(p.client.Close()).To(Succeed())
}

// states returns the state of every member in the process's view.
func (p *process) states() map[host.ID]membership.State {
	states := make(map[host.ID]membership.State)
	for _, member := range p.runner.View().Members {
		states[member.Host.ID] = member.State
	}
	return states
}

var _ = Describe("a cluster of hosts", func() {
	It("converges over peer connections and removes a host that has left", func() {
		first := startProcess(1, 11)
		second := startProcess(2, 12, first.self.PeerAddress)
		third := startProcess(3, 13, first.self.PeerAddress)
		all := map[host.ID]membership.State{
			first.self.ID: membership.Live, second.self.ID: membership.Live, third.self.ID: membership.Live,
		}
		for _, p := range []*process{first, second, third} {
			Eventually(p.states, "5s").Should(Equal(all))
		}
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		Expect(third.runner.Leave(ctx)).To(Succeed())
		Eventually(first.states).Should(HaveKeyWithValue(third.self.ID, membership.Leaving))
		Eventually(second.states).Should(HaveKeyWithValue(third.self.ID, membership.Leaving))
		third.stop()
		Eventually(first.states).ShouldNot(HaveKey(third.self.ID))
		Eventually(second.states).ShouldNot(HaveKey(third.self.ID))
		Expect(third.runner.Leave(ctx)).To(MatchError(ErrStopped))
	})

	It("shows a crashed host as dead within 3 s", func() {
		first := startProcess(1, 11)
		second := startProcess(2, 12, first.self.PeerAddress)
		third := startProcess(3, 13, first.self.PeerAddress)
		for _, p := range []*process{first, second, third} {
			Eventually(p.states, "5s").Should(HaveLen(3))
		}
		// Without its client the process cannot announce that it stops.
		Expect(third.client.Close()).To(Succeed())
		third.stop()
		for _, p := range []*process{first, second} {
			Eventually(p.states, "3s").Should(HaveKeyWithValue(third.self.ID, membership.Dead))
			Expect(p.states()).To(HaveKeyWithValue(second.self.ID, membership.Live))
		}
	})

	It("shows a host as leaving that the platform lists both as leaving and as live", func() {
		first := startProcess(1, 11)
		second := startProcess(2, 12, first.self.PeerAddress)
		Eventually(first.states, "5s").Should(HaveKey(second.self.ID))
		first.runner.enqueue(func(now time.Time) {
			first.runner.node.SetPlatformHosts(now, []membership.PlatformHost{
				{ID: second.self.ID, Address: second.self.PeerAddress},
				{ID: second.self.ID, Address: second.self.PeerAddress, Leaving: true},
			})
		})
		Eventually(first.states, "2s").Should(HaveKeyWithValue(second.self.ID, membership.Leaving))
	})

	It("replaces a process by a later one with the same host ID in the view", func() {
		first := startProcess(1, 11)
		second := startProcess(2, 12, first.self.PeerAddress)
		Eventually(first.states, "5s").Should(HaveKey(second.self.ID))
		later := startProcess(2, 22, first.self.PeerAddress)
		Eventually(func() host.Incarnation {
			for _, member := range first.runner.View().Members {
				if member.Host.ID == later.self.ID {
					return member.Host.Incarnation
				}
			}
			return 0
		}, "5s").Should(Equal(later.self.Incarnation))
	})
})
