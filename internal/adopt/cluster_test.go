package adopt_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/adopt"
	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/membership"
	"github.com/oatlatch/oatlatch/internal/platform"
	"github.com/oatlatch/oatlatch/internal/platform/fake"
	"github.com/oatlatch/oatlatch/internal/publisher"
	"github.com/oatlatch/oatlatch/internal/service"
)

var dataCentres = []string{"akl-a", "akl-b", "ham-a", "tga-a", "casa-quay", "kenitra-quay", "tanger-quay"}

// fleet is a set of runners in one process that call each other directly.
type fleet struct {
	mu      sync.Mutex
	runners map[host.ID]*node
	calls   atomic.Int64
	// onAdopt, if set, is called for every adoption of every host.
	onAdopt func(host.Host, config.Version)
}

// node is one host of a fleet.
type node struct {
	fleet  *fleet
	host   host.Host
	runner *adopt.Runner
	cancel context.CancelFunc
	done   chan struct{}
	cut    atomic.Bool
}

func newFleet() *fleet { return &fleet{runners: map[host.ID]*node{}} }

// start runs a host with the given platform port.
func (f *fleet) start(t testing.TB, number int, incarnation host.Incarnation, port platform.Port) *node {
	t.Helper()
	n := &node{fleet: f, done: make(chan struct{}), host: host.Host{
		ID: host.ID(fmt.Sprintf("host-%03d", number)), Incarnation: incarnation, DataCentre: dataCentres[number%len(dataCentres)],
	}}
	n.runner = adopt.New(adopt.Options{
		Self: n.host, Port: port, Peers: n, Seed: uint64(number) + uint64(incarnation)<<16,
		OnAdopt: func(s *config.Snapshot) {
			if f.onAdopt != nil {
				f.onAdopt(n.host, s.Version())
			}
		},
	})
	f.mu.Lock()
	f.runners[n.host.ID] = n
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() {
		defer close(n.done)
		_ = n.runner.Run(ctx)
	}()
	t.Cleanup(n.stop)
	return n
}

func (n *node) stop() {
	n.cancel()
	<-n.done
}

// shareMembers gives all hosts a view of all hosts.
func (f *fleet) shareMembers() {
	f.mu.Lock()
	defer f.mu.Unlock()
	var view membership.View
	for _, n := range f.runners {
		view.Members = append(view.Members, membership.Member{Host: n.host, State: membership.Live})
	}
	for _, n := range f.runners {
		n.runner.SetMembers(view)
	}
}

type configService interface {
	Pull(adopt.PullArgs, *adopt.PullReply) error
	Fetch(adopt.FetchArgs, *adopt.FetchReply) error
	Notify(adopt.NotifyArgs, *adopt.NotifyReply) error
}

// Call implements peer.Caller.
func (n *node) Call(_ context.Context, to host.ID, method string, args, reply any) error {
	n.fleet.calls.Add(1)
	n.fleet.mu.Lock()
	target := n.fleet.runners[to]
	n.fleet.mu.Unlock()
	if target == nil || target.cut.Load() || n.cut.Load() {
		return errors.New("unreachable")
	}
	receiver := target.runner.PeerService(n.host.ID).(configService)
	switch method {
	case "Config.Pull":
		return receiver.Pull(args.(adopt.PullArgs), reply.(*adopt.PullReply))
	case "Config.Fetch":
		return receiver.Fetch(args.(adopt.FetchArgs), reply.(*adopt.FetchReply))
	default:
		return receiver.Notify(args.(adopt.NotifyArgs), reply.(*adopt.NotifyReply))
	}
}

func svc(name string, number, weight int) service.Service {
	return service.Service{
		Name:     name,
		Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, byte(number >> 8), byte(number)}), 443),
		Protocol: service.TCP,
		Upstreams: []service.Upstream{{
			Name: "one", DataCentre: "akl-a", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(number)}), 80),
			PacketAddress: netip.MustParseAddrPort("192.0.2.1:6081"), Weight: uint32(weight), Slots: 2, Connections: 2000,
		}},
	}
}

func publish(t testing.TB, store *fake.Store, seed uint64, services ...service.Service) config.Version {
	t.Helper()
	var key [32]byte
	key[0] = byte(seed)
	result, err := publisher.Publish(context.Background(), fake.NewPort(store), publisher.Options{
		Operator: "test", Random: rand.NewChaCha8(key), Seed: seed, Now: time.Now,
	}, services)
	if err != nil {
		t.Fatal(err)
	}
	return result.Version
}
