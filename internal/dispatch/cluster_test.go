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

// cluster runs several hosts and stand-in upstreams in one process.
type cluster struct {
	t         testing.TB
	limits    dispatch.Limits
	upstreams []*upstream.Upstream
	snapshot  *config.Snapshot

	mu           sync.Mutex
	nodes        map[host.ID]*node
	partitioned  map[[2]host.ID]bool
	losesReplies map[host.ID]bool
	incarnations uint64
	viewsHidden  bool
	peerCalls    int
	// peakRelays is the highest value that relaysInProgress has reached.
	relaysInProgress int
	peakRelays       int
}

// node is one incarnation of a host in a cluster.
type node struct {
	self       host.Host
	dispatcher *dispatch.Dispatcher
	server     *http.Server
	address    string
	// leaving is set when the host is being stopped and gets no new connections of callers.
	leaving bool
}

var errUnreachable = errors.New("test: host unreachable")

// clusterOptions configures a cluster.
type clusterOptions struct {
	hosts         int
	upstreams     int
	slots         uint32
	serviceTime   time.Duration
	limits        dispatch.Limits
	upstreamQueue int
	coldStart     time.Duration
	// noQueue leaves limits.QueueLimit at zero instead of testQueueLimit.
	noQueue bool
}

// testQueueLimit lets all requests of most tests wait.
const testQueueLimit = 256

func newCluster(t testing.TB, o clusterOptions) *cluster {
	t.Helper()
	o.limits.QuietPeriod = 20 * time.Millisecond
	if !o.noQueue && o.limits.QueueLimit == 0 {
		o.limits.QueueLimit = testQueueLimit
	}
	c := &cluster{
		t: t, limits: o.limits,
		nodes:        make(map[host.ID]*node),
		partitioned:  make(map[[2]host.ID]bool),
		losesReplies: make(map[host.ID]bool),
	}
	s := service.Service{Name: "berth-desk", ID: 7, RequestHost: requestHost}
	for i := range o.upstreams {
		u := c.startUpstream(upstream.Options{
			Service: 7, ServiceTime: o.serviceTime, QueueLimit: o.upstreamQueue, ColdStart: o.coldStart, ColdFactor: 5,
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
	runInBackground(c.t, u.Run)
	return u
}

// runInBackground runs the function until the test ends, and waits for it to return.
func runInBackground(t testing.TB, serve func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := serve(ctx); err != nil {
			t.Errorf("background task: %v", err)
		}
	}()
	t.Cleanup(func() { cancel(); <-done })
}

// start starts a new incarnation of a host and publishes the new membership view.
func (c *cluster) start(id host.ID) *node {
	c.mu.Lock()
	c.incarnations++
	self := host.Host{ID: id, Incarnation: host.Incarnation(c.incarnations)}
	c.mu.Unlock()
	n := &node{self: self}
	n.dispatcher = dispatch.New(dispatch.Options{
		Self: self, Logger: zerolog.Nop(), Now: time.Now, Seed: uint64(self.Incarnation),
		Peers: &inProcessPeers{cluster: c, from: id}, Limits: c.limits,
	})
	n.dispatcher.Adopt(c.snapshot)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	n.address = listener.Addr().String()
	n.server = dispatch.NewServer(n.dispatcher.Handler(), c.limits)
	runInBackground(c.t, func(ctx context.Context) error {
		go func() { <-ctx.Done(); n.server.Close() }()
		if err := n.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	runInBackground(c.t, n.dispatcher.Run)
	c.mu.Lock()
	c.nodes[id] = n
	c.mu.Unlock()
	c.publishView()
	return n
}

// kill stops a host at once: its connections to callers break, and its replies to peers are lost.
func (c *cluster) kill(id host.ID) {
	c.mu.Lock()
	n := c.nodes[id]
	delete(c.nodes, id)
	c.mu.Unlock()
	n.server.Close()
	c.publishView()
}

// stop stops a host gracefully and returns the summary of its drain.
func (c *cluster) stop(id host.ID) (dispatch.DrainSummary, error) {
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

// publishView gives all running hosts the same membership view, unless views are hidden.
func (c *cluster) publishView() {
	c.mu.Lock()
	var view membership.View
	var nodes []*node
	for _, n := range c.nodes {
		if c.viewsHidden {
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

// hideViews makes publishView withhold membership views from the hosts.
func (c *cluster) hideViews(hidden bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.viewsHidden = hidden
}

// peerCallCount returns the number of calls between hosts so far.
func (c *cluster) peerCallCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peerCalls
}

// skewView gives one host a wrong membership view, in which other hosts are dead or missing
// at random.
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

// setPartitioned makes calls between two hosts fail in both directions, or work again.
func (c *cluster) setPartitioned(a, b host.ID, partitioned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitioned[[2]host.ID{a, b}] = partitioned
	c.partitioned[[2]host.ID{b, a}] = partitioned
}

// setLosesReplies makes the replies to calls that the host has carried out get lost, or arrive
// again.
func (c *cluster) setLosesReplies(id host.ID, loses bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.losesReplies[id] = loses
}

// addresses returns the addresses of the hosts that are not being stopped.
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

// runCounts returns how often each request ran at all upstreams together.
func (c *cluster) runCounts() map[string]int {
	counts := make(map[string]int)
	for _, u := range c.upstreams {
		for _, r := range u.Runs() {
			counts[r.RequestID]++
		}
	}
	return counts
}

// inProcessPeers makes the calls of one host to the others in the same process. Arguments
// and replies are encoded with gob, as net/rpc does.
type inProcessPeers struct {
	cluster *cluster
	from    host.ID
}

func (p *inProcessPeers) Call(ctx context.Context, to host.ID, method string, args, reply any) error {
	c := p.cluster
	c.mu.Lock()
	c.peerCalls++
	if method == "Request.Relay" {
		c.relaysInProgress++
		c.peakRelays = max(c.peakRelays, c.relaysInProgress)
		defer func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.relaysInProgress--
		}()
	}
	target, partitioned, losesReply := c.nodes[to], c.partitioned[[2]host.ID{p.from, to}], c.losesReplies[to]
	c.mu.Unlock()
	if target == nil || partitioned {
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
	if losesReply || c.node(to) != target {
		return errUnreachable
	}
	return transcode(result.Interface(), reply)
}

// transcode copies a value by way of gob, and fails if it does not fit into one message
// between hosts.
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

// redirectUpstream changes the address of an upstream in the configuration of all hosts.
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
