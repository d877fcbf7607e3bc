package dispatch_test

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"net/rpc"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/callers"
	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/dispatch"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/membership"
	"github.com/oatlatch/oatlatch/internal/peer"
	"github.com/oatlatch/oatlatch/internal/service"
	"github.com/oatlatch/oatlatch/internal/standin/upstream"
)

const requestHost = "berth-desk.test"

// cluster is a set of entry hosts in one process with stand-in upstreams.
type cluster struct {
	t         testing.TB
	limits    dispatch.Limits
	upstreams []*upstream.Upstream
	snapshot  *config.Snapshot

	mu      sync.Mutex
	nodes   map[host.ID]*node
	cuts    map[[2]host.ID]bool
	lose    map[host.ID]bool
	counter uint64
	hidden  bool
	calls   int
	// relaying counts the relays in progress, and relayPeak the most at once.
	relaying  int
	relayPeak int
}

// node is one entry host of a cluster.
type node struct {
	self       host.Host
	dispatcher *dispatch.Dispatcher
	server     *http.Server
	address    string
	// leaving hosts get no new connections from the fabric.
	leaving bool
}

var errUnreachable = errors.New("test: host unreachable")

// clusterOptions sizes a cluster.
type clusterOptions struct {
	hosts     int
	upstreams int
	slots     uint32
	work      time.Duration
	limits    dispatch.Limits
	queue     int
	cold      time.Duration
}

func newCluster(t testing.TB, o clusterOptions) *cluster {
	t.Helper()
	o.limits.QuietTime = 20 * time.Millisecond
	c := &cluster{
		t: t, limits: o.limits,
		nodes: make(map[host.ID]*node),
		cuts:  make(map[[2]host.ID]bool),
		lose:  make(map[host.ID]bool),
	}
	s := service.Service{Name: "berth-desk", ID: 7, RequestHost: requestHost}
	for i := range o.upstreams {
		u := c.startUpstream(upstream.Options{
			Service: 7, Work: o.work, QueueLimit: o.queue, ColdStart: o.cold, ColdFactor: 5,
			Upstream: service.Upstream{Slots: o.slots},
		})
		s.Upstreams = append(s.Upstreams, service.Upstream{
			Name: fmt.Sprintf("target-%02d", i), Address: u.HTTPAddr(), Slots: o.slots,
			Weight: 1, State: service.AdminActive,
		})
	}
	c.snapshot = &config.Snapshot{
		Manifest: config.Manifest{Version: 1, TicketKeys: [][]byte{[]byte("a test key of thirty-two bytes!!")}},
		Services: []service.Service{s},
	}
	for i := range o.hosts {
		c.start(host.ID(fmt.Sprintf("entry-%d", i)))
	}
	return c
}

func (c *cluster) startUpstream(o upstream.Options) *upstream.Upstream {
	u, err := upstream.New(o)
	if err != nil {
		c.t.Fatal(err)
	}
	c.upstreams = append(c.upstreams, u)
	run(c.t, u.Run)
	return u
}

// run runs a duty until the test ends and joins it.
func run(t testing.TB, duty func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := duty(ctx); err != nil {
			t.Errorf("duty: %v", err)
		}
	}()
	t.Cleanup(func() { cancel(); <-done })
}

// start starts a new incarnation of a host and tells all hosts.
func (c *cluster) start(id host.ID) *node {
	c.mu.Lock()
	c.counter++
	self := host.Host{ID: id, Incarnation: host.Incarnation(c.counter)}
	c.mu.Unlock()
	n := &node{self: self}
	n.dispatcher = dispatch.New(dispatch.Options{
		Self: self, Logger: zerolog.Nop(), Now: time.Now, Seed: uint64(self.Incarnation),
		Peers: &fakePeers{cluster: c, from: id}, Limits: c.limits,
	})
	n.dispatcher.Adopt(c.snapshot)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	n.address = listener.Addr().String()
	n.server = dispatch.NewServer(n.dispatcher.Handler(), c.limits)
	run(c.t, func(ctx context.Context) error {
		go func() { <-ctx.Done(); n.server.Close() }()
		if err := n.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	run(c.t, n.dispatcher.Run)
	c.mu.Lock()
	c.nodes[id] = n
	c.mu.Unlock()
	c.publishView()
	return n
}

// kill ends a host at once: its connections and its answers to peers are lost.
func (c *cluster) kill(id host.ID) {
	c.mu.Lock()
	n := c.nodes[id]
	delete(c.nodes, id)
	c.mu.Unlock()
	n.server.Close()
	c.publishView()
}

// stop ends a host gracefully and returns what the drain reports.
func (c *cluster) stop(id host.ID) (dispatch.Summary, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	n := c.node(id)
	c.mu.Lock()
	n.leaving = true
	c.mu.Unlock()
	summary, err := n.dispatcher.Stop(ctx, n.server)
	c.mu.Lock()
	delete(c.nodes, id)
	c.mu.Unlock()
	c.publishView()
	return summary, err
}

func (c *cluster) node(id host.ID) *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[id]
}

// publishView gives all hosts the same view of those that run.
func (c *cluster) publishView() {
	c.mu.Lock()
	var view membership.View
	var nodes []*node
	for _, n := range c.nodes {
		if c.hidden {
			continue
		}
		nodes = append(nodes, n)
		view.Members = append(view.Members, membership.Member{Host: n.self, State: membership.Live})
	}
	c.mu.Unlock()
	slices.SortFunc(view.Members, func(a, b membership.Member) int {
		return strings.Compare(string(a.Host.ID), string(b.Host.ID))
	})
	for _, n := range nodes {
		n.dispatcher.SetMembers(view)
	}
}

// hideViews keeps membership views from the hosts.
func (c *cluster) hideViews(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hidden = on
}

// callCount returns the number of calls between hosts.
func (c *cluster) callCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// skewView gives one host a view of its own, in which others may be dead or missing.
func (c *cluster) skewView(id host.ID, r *rand.Rand) {
	var view membership.View
	for _, name := range []host.ID{"entry-0", "entry-1", "entry-2", "entry-3"} {
		n := c.node(name)
		if n == nil || (name != id && r.IntN(3) == 0) {
			continue
		}
		state := membership.Live
		if name != id && r.IntN(3) == 0 {
			state = membership.Dead
		}
		view.Members = append(view.Members, membership.Member{Host: n.self, State: state})
	}
	c.node(id).dispatcher.SetMembers(view)
}

func (c *cluster) cut(a, b host.ID, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cuts[[2]host.ID{a, b}] = on
	c.cuts[[2]host.ID{b, a}] = on
}

// loseReplies makes a host's answers to peers get lost after they took effect.
func (c *cluster) loseReplies(id host.ID, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lose[id] = on
}

func (c *cluster) addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []string
	for _, n := range c.nodes {
		if !n.leaving {
			all = append(all, n.address)
		}
	}
	slices.Sort(all)
	return all
}

func (c *cluster) client() *callers.Client {
	return callers.New(callers.Options{Hosts: c.addresses(), RequestHost: requestHost})
}

// runs returns how often each request ran, over all upstreams.
func (c *cluster) runs() map[string]int {
	counts := make(map[string]int)
	for _, u := range c.upstreams {
		for _, r := range u.Runs() {
			counts[r.RequestID]++
		}
	}
	return counts
}

// fakePeers carries the calls of one host to the others in the process, with
// values encoded by gob as net/rpc would.
type fakePeers struct {
	cluster *cluster
	from    host.ID
}

func (p *fakePeers) Call(ctx context.Context, to host.ID, method string, args, reply any) error {
	c := p.cluster
	c.mu.Lock()
	c.calls++
	if method == "Request.Relay" {
		c.relaying++
		c.relayPeak = max(c.relayPeak, c.relaying)
		defer func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.relaying--
		}()
	}
	target, cut, lose := c.nodes[to], c.cuts[[2]host.ID{p.from, to}], c.lose[to]
	c.mu.Unlock()
	if target == nil || cut {
		return errUnreachable
	}
	receiver := reflect.ValueOf(target.dispatcher.PeerService(p.from))
	function := receiver.MethodByName(strings.TrimPrefix(method, "Request."))
	copied := reflect.New(reflect.TypeOf(args).Elem())
	if err := transcode(args, copied.Interface()); err != nil {
		return err
	}
	result := reflect.New(reflect.TypeOf(reply).Elem())
	done := make(chan error, 1)
	go func() {
		err, _ := function.Call([]reflect.Value{copied, result})[0].Interface().(error)
		done <- err
	}()
	select {
	case err := <-done:
		if err != nil {
			return rpc.ServerError(err.Error())
		}
	case <-ctx.Done():
		return ctx.Err()
	}
	if lose || c.node(to) != target {
		return errUnreachable
	}
	return transcode(result.Interface(), reply)
}

func transcode(from, to any) error {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(from); err != nil {
		return err
	}
	if buffer.Len() > 1<<20 {
		return &peer.Error{Kind: peer.TooLarge}
	}
	return gob.NewDecoder(&buffer).Decode(to)
}

// redirectUpstream makes all hosts use another address for an upstream.
func (c *cluster) redirectUpstream(index int, address string) {
	next := *c.snapshot
	next.Manifest.Version++
	next.Services = slices.Clone(c.snapshot.Services)
	next.Services[0].Upstreams = slices.Clone(next.Services[0].Upstreams)
	next.Services[0].Upstreams[index].Address = netip.MustParseAddrPort(address)
	c.snapshot = &next
	for _, n := range c.nodes {
		n.dispatcher.Adopt(&next)
	}
}
