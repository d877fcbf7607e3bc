package configrunner_test

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

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/configrunner"
	"github.com/oatlatch/oatlatch/internal/consul"
	"github.com/oatlatch/oatlatch/internal/consul/fake"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/membership"
	"github.com/oatlatch/oatlatch/internal/publishrunner"
	"github.com/oatlatch/oatlatch/internal/service"
)

var dataCentres = []string{"akl-a", "akl-b", "ham-a", "tga-a", "casa-quay", "kenitra-quay", "tanger-quay"}

// cluster is a set of hosts in one process whose runners call each other directly.
type cluster struct {
	mu    sync.Mutex
	nodes map[host.ID]*node
	calls atomic.Int64
	// onAdopt, if set, is called for every adoption of every host.
	onAdopt func(host.Host, config.Version)
}

// node is one host of a cluster.
type node struct {
	cluster     *cluster
	host        host.Host
	runner      *configrunner.Runner
	cancel      context.CancelFunc
	done        chan struct{}
	partitioned atomic.Bool
}

func newCluster() *cluster { return &cluster{nodes: map[host.ID]*node{}} }

// start runs a host with the given platform client, in one of seven data centres.
func (c *cluster) start(t testing.TB, index int, incarnation host.Incarnation, client consul.Client) *node {
	t.Helper()
	n := &node{cluster: c, done: make(chan struct{}), host: host.Host{
		ID: host.ID(fmt.Sprintf("host-%03d", index)), Incarnation: incarnation, DataCentre: dataCentres[index%len(dataCentres)],
	}}
	n.runner = configrunner.New(configrunner.Options{
		Self: n.host, Client: client, Peers: n, Seed: uint64(index) + uint64(incarnation)<<16,
		OnAdopt: func(s *config.Snapshot) {
			if c.onAdopt != nil {
				c.onAdopt(n.host, s.Version())
			}
		},
	})
	c.mu.Lock()
	c.nodes[n.host.ID] = n
	c.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() {
		defer close(n.done)
		_ = n.runner.Run(ctx)
	}()
	t.Cleanup(n.stop)
	return n
}

// stop stops the host's runner and waits until it has ended.
func (n *node) stop() {
	n.cancel()
	<-n.done
}

// setMembers gives every host a membership view of all hosts.
func (c *cluster) setMembers() {
	c.mu.Lock()
	defer c.mu.Unlock()
	var view membership.View
	for _, n := range c.nodes {
		view.Members = append(view.Members, membership.Member{Host: n.host, State: membership.Live})
	}
	for _, n := range c.nodes {
		n.runner.SetMembers(view)
	}
}

// configService is implemented by the result of configrunner.Runner.PeerService.
type configService interface {
	Pull(configrunner.PullArgs, *configrunner.PullReply) error
	Fetch(configrunner.FetchArgs, *configrunner.FetchReply) error
	Notify(configrunner.NotifyArgs, *configrunner.NotifyReply) error
}

// Call implements peer.Caller by calling the other host's RPC receiver directly.
func (n *node) Call(_ context.Context, to host.ID, method string, args, reply any) error {
	n.cluster.calls.Add(1)
	n.cluster.mu.Lock()
	target := n.cluster.nodes[to]
	n.cluster.mu.Unlock()
	if target == nil || target.partitioned.Load() || n.partitioned.Load() {
		return errors.New("unreachable")
	}
	receiver := target.runner.PeerService(n.host.ID).(configService)
	switch method {
	case "Config.Pull":
		return receiver.Pull(args.(configrunner.PullArgs), reply.(*configrunner.PullReply))
	case "Config.Fetch":
		return receiver.Fetch(args.(configrunner.FetchArgs), reply.(*configrunner.FetchReply))
	default:
		return receiver.Notify(args.(configrunner.NotifyArgs), reply.(*configrunner.NotifyReply))
	}
}

// newService returns a service whose addresses derive from the index. Different weights give it
// different contents.
func newService(name string, index, weight int) service.Service {
	return service.Service{
		Name:     name,
		Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, byte(index >> 8), byte(index)}), 443),
		Protocol: service.TCP,
		Upstreams: []service.Upstream{{
			Name: "one", DataCentre: "akl-a", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(index)}), 80),
			PacketAddress: netip.MustParseAddrPort("192.0.2.1:6081"), Weight: uint32(weight), Slots: 2, Connections: 2000,
		}},
	}
}

// publish publishes the services to the store and returns the new version.
func publish(t testing.TB, store *fake.Store, seed uint64, services ...service.Service) config.Version {
	t.Helper()
	var key [32]byte
	key[0] = byte(seed)
	result, err := publishrunner.Publish(context.Background(), fake.NewClient(store), publishrunner.Options{
		Operator: "test", Random: rand.NewChaCha8(key), Seed: seed, Now: time.Now,
	}, services)
	if err != nil {
		t.Fatal(err)
	}
	return result.Version
}
