package flow_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/flow"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/membership"
	"github.com/oatlatch/oatlatch/internal/service"
	"github.com/oatlatch/oatlatch/internal/standin/virtual"
)

// balancer is what runs on the hosts of a cluster: an Engine or a baseline.
type balancer interface {
	Step(now time.Time, event flow.Event) []flow.Action
	Decide(now time.Time, p *flow.Packet) flow.Decision
}

// node is an entry host of a cluster.
type node struct {
	host     host.Host
	balancer balancer
	// alive is cleared by a crash or once a graceful stop has finished.
	alive bool
	// serving is cleared by a crash or once a graceful stop begins.
	serving bool
	// left is set once a graceful stop has finished.
	left    bool
	version config.Version
	// viewNumber is the number of the latest membership view delivered; older views
	// that arrive later are ignored.
	viewNumber int
	// in and out count the bytes of control messages received and sent.
	in, out int
}

// faults sets the loss, duplication and delays of a cluster's network. loss and
// duplication are probabilities per control message.
type faults struct {
	loss, duplication float64
	// delay is the maximum delay of a control message, relayDelay that of a relayed packet.
	delay, relayDelay time.Duration
	// maxLag is the maximum delay with which hosts learn of configurations and members.
	maxLag time.Duration
	// detectionTime is the time from a crash to its detection.
	detectionTime time.Duration
}

// cluster runs the balancers of several hosts on a virtual clock and network.
type cluster struct {
	now        time.Time
	random     *rand.Rand
	faults     faults
	events     virtual.EventQueue
	viewNumber int
	nodes      []*node
	version    config.Version
	services   []service.Service
	// quarantined lists the addresses that configurations publish as quarantined.
	quarantined []config.Quarantine
	oracle      *oracle
	// partitioned reports whether the network between two hosts is cut.
	partitioned func(a, b host.ID) bool
	drops       map[flow.Reason]int
	relays      int
	// packets counts the decisions, so a packet counts again after each relay.
	packets int
	// build creates the balancer of a host.
	build func(self host.Host, seed uint64) balancer
	// trace records the decisions for each flow if it is not nil.
	trace map[flow.Key][]decisionTrace
	sizer sizer
	// bytesByKind counts control bytes and messages by kind if it is not nil.
	bytesByKind map[string]int
	// traceOnly limits the trace to one flow if it is not nil.
	traceOnly *flow.Key
	// measure enables counting of control bytes, which is slow.
	measure bool
}

// decisionTrace is one decision in a trace.
type decisionTrace struct {
	at          time.Duration
	host        host.ID
	first       bool
	decision    flow.Decision
	explanation string
}

var epoch = time.Unix(1_800_000_000, 0)

func newCluster(seed uint64, f faults, services ...service.Service) *cluster {
	return &cluster{
		now: epoch, random: rand.New(rand.NewPCG(seed, 1)), faults: f, services: services,
		build:       buildEngine,
		partitioned: func(host.ID, host.ID) bool { return false },
		drops:       make(map[flow.Reason]int),
		oracle: &oracle{
			serves: make(map[netip.AddrPort]map[netip.AddrPort]bool), dead: make(map[netip.AddrPort]bool),
			upstream: make(map[flow.Key]netip.AddrPort), broken: make(map[flow.Key]string), lastNewFlow: make(map[netip.AddrPort]time.Time),
		},
	}
}

func buildEngine(self host.Host, seed uint64) balancer {
	return flow.New(flow.Options{Self: self.ID, DataCentre: self.DataCentre, Seed: seed, MaxFlows: 1 << 19})
}

// testService returns a service with n upstreams.
func testService(id service.ID, n int, prefer service.Preference) service.Service {
	s := service.Service{
		Name: fmt.Sprintf("desk-%d", id), ID: id, Protocol: service.TCP, Prefer: prefer, DeviationThreshold: 0.01,
		Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, 100, byte(id)}), 443),
		IdleTimeout: time.Minute,
	}
	for i := range n {
		s.Upstreams = append(s.Upstreams, testUpstream(id, i))
	}
	return s
}

func testUpstream(id service.ID, i int) service.Upstream {
	return service.Upstream{
		Name: fmt.Sprintf("u-%02d", i), Weight: 1, Connections: 2000, Slots: 2, State: service.AdminActive,
		PacketAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(id), 0, byte(i)}), 6081),
	}
}

// snapshot returns the current configuration.
func (c *cluster) snapshot() *config.Snapshot {
	s := &config.Snapshot{Manifest: config.Manifest{Version: c.version, FlowKey: [16]byte{7}, Quarantined: c.quarantined}}
	for _, svc := range c.services {
		svc.Upstreams = slices.Clone(svc.Upstreams)
		s.Services = append(s.Services, svc)
		for _, u := range svc.Upstreams {
			if c.oracle.serves[u.PacketAddress] == nil {
				c.oracle.serves[u.PacketAddress] = make(map[netip.AddrPort]bool)
			}
			c.oracle.serves[u.PacketAddress][svc.Address] = true
		}
		c.oracle.assignAddress(&svc)
	}
	return s
}

// publish publishes a new configuration with the current services; each host
// adopts it after its own delay.
func (c *cluster) publish(delay func() time.Duration) {
	c.version++
	s := c.snapshot()
	for _, n := range c.nodes {
		c.after(delay(), func() { c.adopt(n, s) })
	}
}

func (c *cluster) adopt(n *node, s *config.Snapshot) {
	if n.alive && s.Version() > n.version {
		n.version = s.Version()
		c.step(n, flow.Adopted{Snapshot: s})
	}
}

// randomLag returns a random duration below maxLag.
func (c *cluster) randomLag() time.Duration { return c.randomDuration(c.faults.maxLag) }

func (c *cluster) randomDuration(limit time.Duration) time.Duration {
	if limit == 0 {
		return 0
	}
	return time.Duration(c.random.Int64N(int64(limit)))
}

// join starts a host. The others learn of it after their own delays.
func (c *cluster) join(dataCentre string) *node {
	i := len(c.nodes)
	n := &node{alive: true, serving: true, host: host.Host{
		ID: host.ID(fmt.Sprintf("%s/entry-%d", dataCentre, i)), DataCentre: dataCentre,
		PacketAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{172, 16, 0, byte(i)}), 6081),
	}}
	n.balancer = c.build(n.host, uint64(i))
	c.nodes = append(c.nodes, n)
	n.viewNumber = c.viewNumber
	c.step(n, flow.MembersChanged{View: c.members()})
	c.adopt(n, c.snapshot())
	c.tick(n)
	c.announceMembers(c.randomLag)
	return n
}

// start starts hosts that all have the first configuration and know each other.
func (c *cluster) start(dataCentres ...string) {
	c.version = 1
	for _, dc := range dataCentres {
		c.join(dc)
	}
	c.announceMembers(func() time.Duration { return 0 })
	c.run(2 * time.Second)
}

func (c *cluster) members() membership.View {
	var v membership.View
	for _, n := range c.nodes {
		state := membership.Live
		switch {
		case !n.alive:
			state = membership.Dead
		case !n.serving:
			state = membership.Leaving
		}
		v.Members = append(v.Members, membership.Member{Host: n.host, State: state})
	}
	return v
}

func (c *cluster) announceMembers(delay func() time.Duration) {
	v := c.members()
	c.viewNumber++
	number := c.viewNumber
	for _, n := range c.nodes {
		c.after(delay(), func() {
			if n.alive && number > n.viewNumber {
				n.viewNumber = number
				c.step(n, flow.MembersChanged{View: v})
			}
		})
	}
}

// crash stops a host at once. The others learn of it after the detection time.
func (c *cluster) crash(n *node) {
	n.alive, n.serving = false, false
	c.after(c.faults.detectionTime, func() { c.announceMembers(c.randomLag) })
}

// leave starts a graceful stop of a host. It receives packets until it reports
// that it has left.
func (c *cluster) leave(n *node) {
	n.serving = false
	c.announceMembers(c.randomLag)
	c.step(n, flow.Leave{})
}

func (c *cluster) tick(n *node) {
	if n.alive {
		c.step(n, flow.Tick{})
		c.after(flow.TickInterval, func() { c.tick(n) })
	}
}

func (c *cluster) step(n *node, event flow.Event) {
	for _, action := range n.balancer.Step(c.now, event) {
		switch action := action.(type) {
		case flow.Send:
			c.send(n, action)
		case flow.Left:
			n.left, n.alive = true, false
			c.announceMembers(c.randomLag)
		}
	}
}

// send delivers a control message subject to loss, duplication and delay.
func (c *cluster) send(from *node, s flow.Send) {
	size := 0
	if c.measure {
		size = c.sizer.size(&s.Message)
		if c.bytesByKind != nil {
			c.bytesByKind[fmt.Sprintf("k%d", s.Message.Kind)] += size
			c.bytesByKind[fmt.Sprintf("k%d-n", s.Message.Kind)]++
		}
		from.out += size
	}
	copies := 1
	if c.random.Float64() < c.faults.duplication {
		copies = 2
	}
	for range copies {
		if c.random.Float64() < c.faults.loss {
			continue
		}
		c.after(c.randomDuration(c.faults.delay), func() {
			to := c.nodeByID(s.To)
			if to != nil && to.alive && !c.partitioned(from.host.ID, s.To) {
				to.in += size
				c.step(to, flow.Received{From: from.host.ID, Message: s.Message})
			}
		})
	}
}

// callOverhead is the size in bytes of an RPC besides the message: its headers,
// the reply, TLS records and TCP/IP headers.
const callOverhead = 250

// sizer measures encoded messages as a long-lived connection carries them: gob
// type descriptions are sent only once.
type sizer struct {
	buffer  bytes.Buffer
	encoder *gob.Encoder
}

func (s *sizer) size(m *flow.Message) int {
	if s.encoder == nil {
		s.encoder = gob.NewEncoder(&s.buffer)
	}
	s.buffer.Reset()
	_ = s.encoder.Encode(m)
	return s.buffer.Len() + callOverhead
}

func (c *cluster) nodeByID(id host.ID) *node {
	for _, n := range c.nodes {
		if n.host.ID == id {
			return n
		}
	}
	return nil
}

// deliver gives a packet to a host and follows it until it is dropped or reaches
// an upstream.
func (c *cluster) deliver(n *node, p flow.Packet) {
	if !n.alive {
		return
	}
	c.packets++
	d := n.balancer.Decide(c.now, &p)
	if c.trace != nil && (c.traceOnly == nil || *c.traceOnly == p.Key) {
		x := n.balancer.(*flow.Engine).Explain(p.Key)
		c.trace[p.Key] = append(c.trace[p.Key], decisionTrace{c.now.Sub(epoch), n.host.ID, p.First, d, strings.Join(x.Steps[1:], "; ")})
	}
	switch d.Verdict {
	case flow.Drop:
		c.drops[d.Reason]++
	case flow.Forward:
		c.oracle.record(c.now, p.Key, d.Target)
	case flow.RelayPacket:
		c.relays++
		p.Relay = d.Relay
		to := c.nodeAt(d.Target)
		if to == nil || c.partitioned(n.host.ID, to.host.ID) {
			return
		}
		if c.faults.relayDelay == 0 {
			c.deliver(to, p)
			return
		}
		c.after(c.randomDuration(c.faults.relayDelay), func() { c.deliver(to, p) })
	}
}

func (c *cluster) nodeAt(a netip.AddrPort) *node {
	for _, n := range c.nodes {
		if n.host.PacketAddress == a {
			return n
		}
	}
	return nil
}

// sendToAnyHost delivers a packet to a random live host, as the network fabric
// does.
func (c *cluster) sendToAnyHost(p flow.Packet) {
	for range 100 {
		if n := c.nodes[c.random.IntN(len(c.nodes))]; n.alive {
			c.deliver(n, p)
			return
		}
	}
}

// run advances the clock and runs everything due on the way.
func (c *cluster) run(d time.Duration) {
	end := c.now.Add(d)
	for at, do, ok := c.events.Next(end); ok; at, do, ok = c.events.Next(end) {
		c.now = at
		do()
	}
	c.now = end
}

func (c *cluster) after(d time.Duration, do func()) {
	c.events.Schedule(c.now.Add(d), do)
}

// key returns the key of the n-th flow to the service.
func key(s *service.Service, n int) flow.Key {
	source := netip.AddrFrom4([4]byte{10, 200 + byte(n>>24), byte(n >> 16), byte(n >> 8)})
	return flow.Key{Protocol: s.Protocol, Source: netip.AddrPortFrom(source, 1024+uint16(n&0xFF)), Destination: s.Address}
}
