package flow_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/flow"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/membership"
	"github.com/oatlatch/oatlatch/internal/service"
)

// openFlows opens n flows, numbered from the given number on, and sends a second
// packet of each, which confirms their records.
func (c *cluster) openFlows(s *service.Service, from, n int) []flow.Key {
	keys := make([]flow.Key, n)
	for i := range keys {
		keys[i] = key(s, from+i)
		c.sendToAnyHost(flow.Packet{Key: keys[i], First: true})
	}
	c.run(20 * time.Millisecond)
	c.sendPackets(keys)
	return keys
}

func (c *cluster) sendPackets(keys []flow.Key) {
	for _, k := range keys {
		c.sendToAnyHost(flow.Packet{Key: k})
	}
	c.run(100 * time.Millisecond)
}

// drain publishes a configuration in which the upstream drains.
func (c *cluster) drain(serviceIndex, i int) service.Upstream {
	s := &c.services[serviceIndex]
	s.Upstreams = slices.Clone(s.Upstreams)
	s.Upstreams[i].State = service.AdminDraining
	c.publish(c.randomLag)
	return s.Upstreams[i]
}

// TestDrainingUpstreamGetsNoNewFlowAfterThreeSeconds publishes a drain that one
// host adopts at once and the others five seconds later. Unless the first host
// announces the drain, the others go on sending new flows to the upstream.
func TestDrainingUpstreamGetsNoNewFlowAfterThreeSeconds(t *testing.T) {
	for _, prefer := range []service.Preference{service.PreferFlows, service.PreferBalance} {
		t.Run(string(prefer), func(t *testing.T) {
			c := newCluster(3, lossy, testService(1, 14, prefer))
			c.start("akl-a", "akl-b", "ham-a", "tga-a")
			c.run(15 * time.Second)
			first := true
			s := &c.services[0]
			s.Upstreams = slices.Clone(s.Upstreams)
			s.Upstreams[3].State = service.AdminDraining
			c.publish(func() time.Duration {
				if first {
					first = false
					return 0
				}
				return 5 * time.Second
			})
			published := c.now
			for n := range 10_000 {
				c.run(time.Millisecond)
				c.sendToAnyHost(flow.Packet{Key: key(s, n), First: true})
			}
			delay := c.oracle.lastNewFlow[s.Upstreams[3].PacketAddress].Sub(published)
			t.Logf("last new flow after %v", delay)
			if delay > 3*time.Second {
				t.Errorf("the draining upstream got a new flow %v after the drain was published, want at most 3s", delay)
			}
		})
	}
}

// thirdCopyAge is the age from which a flow survives the loss of any two hosts:
// its record has been copied to a third host. That takes five sweeps of two
// seconds and up to the interval between two messages.
const thirdCopyAge = 22 * time.Second

// TestCrashOfTwoOfFourHosts crashes two of four hosts at once after drains have
// moved a seventh of the slots. Flows older than thirdCopyAge must survive. Of
// younger flows, those are lost whose only records were on the two hosts.
func TestCrashOfTwoOfFourHosts(t *testing.T) {
	cases := []struct {
		prefer service.Preference
		age    time.Duration
		bound  float64
	}{
		{service.PreferFlows, thirdCopyAge, 0},
		{service.PreferBalance, thirdCopyAge, 0},
		{service.PreferFlows, time.Second, 0.02},
		{service.PreferBalance, time.Second, 0.1},
	}
	for _, test := range cases {
		t.Run(fmt.Sprint(test.prefer, test.age), func(t *testing.T) {
			prefer := test.prefer
			c := newCluster(4, lossy, testService(1, 14, prefer))
			c.start("akl-a", "akl-b", "ham-a", "tga-a")
			c.run(15 * time.Second)
			old := c.openFlows(&c.services[0], 0, 5000)
			c.drain(0, 3)
			c.drain(0, 9)
			c.run(10 * time.Second)
			fresh := c.openFlows(&c.services[0], 5000, 5000)
			c.run(test.age)
			c.crash(c.nodes[0])
			c.crash(c.nodes[2])
			c.run(10 * time.Second)
			all := append(old, fresh...)
			for range 5 {
				c.sendPackets(all)
				c.run(time.Second)
			}
			share := float64(len(c.oracle.broken)) / float64(len(all))
			t.Logf("%d of %d flows broke", len(c.oracle.broken), len(all))
			if share > test.bound {
				t.Errorf("%.3f of the flows broke, want at most %.3f", share, test.bound)
			}
			c.expectServed(t, all)
		})
	}
}

// expectServed sends a packet of each flow and fails if any is dropped.
func (c *cluster) expectServed(t *testing.T, keys []flow.Key) {
	t.Helper()
	before := c.droppedPackets()
	c.sendPackets(keys)
	if lost := c.droppedPackets() - before; lost > 0 {
		t.Errorf("%d packets of %d flows were dropped: %v", lost, len(keys), c.drops)
	}
}

// TestPartitionBreaksNoFlow isolates one data centre for 30 s while an upstream
// drains on the other side. No flow may change its upstream, neither during the
// partition nor after it heals.
func TestPartitionBreaksNoFlow(t *testing.T) {
	c := newCluster(5, faults{delay: 20 * time.Millisecond, detectionTime: 2 * time.Second}, testService(1, 14, service.PreferFlows))
	c.start("akl-a", "akl-b", "ham-a", "tga-a")
	c.run(15 * time.Second)
	keys := c.openFlows(&c.services[0], 0, 2000)
	isolated := c.nodes[3].host.ID
	c.partitioned = func(a, b host.ID) bool { return (a == isolated) != (b == isolated) }
	c.announcePartition(isolated)
	svc := &c.services[0]
	svc.Upstreams = slices.Clone(svc.Upstreams)
	svc.Upstreams[3].State = service.AdminDraining
	c.version++
	s := c.snapshot()
	for _, n := range c.nodes[:3] {
		c.adopt(n, s)
	}
	c.run(5 * time.Second)
	for range 30 {
		c.sendPackets(keys)
		c.run(time.Second)
	}
	brokenDuring := len(c.oracle.broken)
	c.partitioned = func(host.ID, host.ID) bool { return false }
	c.announceMembers(func() time.Duration { return 0 })
	c.adopt(c.nodes[3], s)
	c.run(5 * time.Second)
	more := c.openFlows(svc, 5000, 2000)
	for range 10 {
		c.sendPackets(keys)
		c.sendPackets(more)
	}
	if brokenDuring+len(c.oracle.broken) > 0 {
		t.Errorf("%d flows broke during the partition, %d in all", brokenDuring, len(c.oracle.broken))
	}
	c.expectServed(t, append(keys, more...))
}

// announcePartition gives each side a membership view in which the other is dead.
func (c *cluster) announcePartition(isolated host.ID) {
	for _, n := range c.nodes {
		v := c.members()
		v.Members = slices.Clone(v.Members)
		for i := range v.Members {
			if (v.Members[i].Host.ID == isolated) != (n.host.ID == isolated) {
				v.Members[i].State = membership.Dead
			}
		}
		c.step(n, flow.MembersChanged{View: v})
	}
}

// TestMovedAddressReachesNoOtherService moves an address from one service to
// another with a quarantine between. Hosts adopt each configuration up to five
// seconds apart, and one of them adopts the second at once, so hosts disagree on
// which service has the address.
func TestMovedAddressReachesNoOtherService(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.Uint64().Draw(t, "seed"), lossy, testService(1, 3, service.PreferFlows), testService(2, 3, service.PreferBalance))
		c.start("akl-a", "akl-b", "ham-a")
		early := c.nodes[rapid.IntRange(0, 2).Draw(t, "lagging")]
		moved := c.services[0].Address
		c.services[0].Address = netip.MustParseAddrPort("198.51.100.77:443")
		c.quarantined = []config.Quarantine{{Address: moved, Protocol: service.TCP, Released: 2}}
		c.publish(c.randomLag)
		c.sendPacketsTo(t, moved, 6*time.Second)
		// The publisher reuses an address only after every live host adopted the
		// configuration that released it.
		c.quarantined = nil
		c.services = append(slices.Clone(c.services), testService(3, 3, service.PreferFlows))
		c.services[2].Address = moved
		c.publish(func() time.Duration { return c.randomLag() })
		c.adopt(early, c.snapshot())
		c.sendPacketsTo(t, moved, 6*time.Second)
		if c.oracle.misdelivered > 0 {
			t.Fatalf("%d packets reached another service than their own", c.oracle.misdelivered)
		}
	})
}

// sendPacketsTo sends packets to the address, spread over the duration.
func (c *cluster) sendPacketsTo(t *rapid.T, a netip.AddrPort, d time.Duration) {
	for n := range 60 {
		k := flow.Key{Protocol: service.TCP, Source: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(n)}), 999), Destination: a}
		c.sendToAnyHost(flow.Packet{Key: k, First: rapid.Bool().Draw(t, "first")})
		c.run(d / 60)
	}
}

// TestRelayForAnotherServiceIsDropped sends a relayed packet whose service or
// upstream does not match its destination, as from a host with another configuration.
func TestRelayForAnotherServiceIsDropped(t *testing.T) {
	s := testService(1, 3, service.PreferFlows)
	e := singleHost(0, s)
	relays := map[flow.Reason]flow.Relay{
		flow.WrongService:    {Kind: flow.RelayDecide, Hops: 1, Service: 2},
		flow.UnknownUpstream: {Kind: flow.RelayRecord, Hops: 1, Service: 1, Upstream: netip.MustParseAddrPort("10.9.9.9:6081")},
	}
	for want, relay := range relays {
		d := e.Decide(epoch, &flow.Packet{Key: key(&s, 1), Relay: relay})
		if d.Verdict != flow.Drop || d.Reason != want {
			t.Errorf("%+v: got %+v, want a drop as %v", relay, d, want)
		}
	}
}

// TestControlTrafficAtFullScale drains an upstream, adds a host and removes one
// within twenty seconds, under thousands of new flows per second, and bounds the
// control traffic of each host averaged over a minute.
func TestControlTrafficAtFullScale(t *testing.T) {
	t.Parallel()
	w := startDeployment(deployments[0], lossy, nil)
	w.faults.relayDelay = 0
	w.measure = true
	w.runLoad(20 * time.Second)
	before := make([]int, len(w.nodes))
	for i, n := range w.nodes {
		before[i] = n.in + n.out
	}
	w.setUpstreamState(0, 3, service.AdminDraining)
	w.runLoad(3 * time.Second)
	w.join("casa-quay")
	w.runLoad(3 * time.Second)
	w.leave(w.nodes[1])
	w.runLoad(14 * time.Second)
	for i := range before {
		rate := float64(w.nodes[i].in+w.nodes[i].out-before[i]) / 60
		t.Logf("%s: %.0f B/s over the minute", w.nodes[i].host.ID, rate)
		if rate > 5000 {
			t.Errorf("%s: %.0f B/s of control traffic, want at most 5000", w.nodes[i].host.ID, rate)
		}
	}
	if n := len(w.oracle.broken); n > 0 {
		t.Error(fmt.Sprint(n, " flows broke"))
	}
}
