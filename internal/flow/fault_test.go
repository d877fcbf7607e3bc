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

// openFlows opens n flows and sends a second packet of each.
func (c *cluster) openFlows(s *service.Service, from, n int) []flow.Key {
	keys := make([]flow.Key, n)
	for i := range keys {
		keys[i] = key(s, from+i)
		c.spray(flow.Packet{Key: keys[i], First: true})
	}
	c.run(20 * time.Millisecond)
	c.useFlows(keys)
	return keys
}

func (c *cluster) useFlows(keys []flow.Key) {
	for _, k := range keys {
		c.spray(flow.Packet{Key: k})
	}
	c.run(100 * time.Millisecond)
}

// drain drains an upstream and publishes.
func (c *cluster) drain(desk, i int) service.Upstream {
	d := &c.desks[desk]
	d.Upstreams = slices.Clone(d.Upstreams)
	d.Upstreams[i].State = service.AdminDraining
	c.publish(c.uneven)
	return d.Upstreams[i]
}

// TestLeavingUpstreamGetsNoNewFlowAfterThreeSeconds publishes a drain that one
// host hears at once and the others up to five seconds later.
func TestLeavingUpstreamGetsNoNewFlowAfterThreeSeconds(t *testing.T) {
	for _, prefer := range []service.Preference{service.PreferFlows, service.PreferBalance} {
		t.Run(string(prefer), func(t *testing.T) {
			c := newCluster(3, lossy, desk(1, 14, prefer))
			c.start("akl-a", "akl-b", "ham-a", "tga-a")
			c.run(15 * time.Second)
			first := true
			d := &c.desks[0]
			d.Upstreams = slices.Clone(d.Upstreams)
			d.Upstreams[3].State = service.AdminDraining
			c.publish(func() time.Duration {
				if first {
					first = false
					return 0
				}
				return 5 * time.Second
			})
			known := c.now
			for n := range 10_000 {
				c.run(time.Millisecond)
				c.spray(flow.Packet{Key: key(d, n), First: true})
			}
			late := c.oracle.last[d.Upstreams[3].PacketAddress].Sub(known)
			t.Logf("last new flow after %v", late)
			if late > 3*time.Second {
				t.Errorf("the leaving upstream got a new flow %v after its leaving was known, want at most 3s", late)
			}
		})
	}
}

// replicationInterval is the age from which a flow survives the loss of any two
// hosts: five sweeps of two seconds and the interval between two messages.
const replicationInterval = 22 * time.Second

// TestTwoOfFourHostsLostAtOnce crashes two of four hosts together after drains
// have moved a seventh of the slots. Flows older than the replication interval
// survive; of younger ones, those are lost that only the two hosts knew.
func TestTwoOfFourHostsLostAtOnce(t *testing.T) {
	cases := []struct {
		prefer service.Preference
		age    time.Duration
		bound  float64
	}{
		{service.PreferFlows, replicationInterval, 0},
		{service.PreferBalance, replicationInterval, 0},
		{service.PreferFlows, time.Second, 0.02},
		{service.PreferBalance, time.Second, 0.1},
	}
	for _, test := range cases {
		t.Run(fmt.Sprint(test.prefer, test.age), func(t *testing.T) {
			prefer := test.prefer
			c := newCluster(4, lossy, desk(1, 14, prefer))
			c.start("akl-a", "akl-b", "ham-a", "tga-a")
			c.run(15 * time.Second)
			old := c.openFlows(&c.desks[0], 0, 5000)
			c.drain(0, 3)
			c.drain(0, 9)
			c.run(10 * time.Second)
			fresh := c.openFlows(&c.desks[0], 5000, 5000)
			c.run(test.age)
			c.crash(c.nodes[0])
			c.crash(c.nodes[2])
			c.run(10 * time.Second)
			all := append(old, fresh...)
			for range 5 {
				c.useFlows(all)
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

// expectServed fails when a packet of a flow is dropped.
func (c *cluster) expectServed(t *testing.T, keys []flow.Key) {
	t.Helper()
	before := c.lostPackets()
	c.useFlows(keys)
	if lost := c.lostPackets() - before; lost > 0 {
		t.Errorf("%d packets of %d flows were dropped: %v", lost, len(keys), c.drops)
	}
}

// TestPartitionHealsWithoutDisagreement cuts one data centre off for 30 s while
// an upstream drains on the other side, and then heals.
func TestPartitionHealsWithoutDisagreement(t *testing.T) {
	c := newCluster(5, faults{delay: 20 * time.Millisecond, detection: 2 * time.Second}, desk(1, 14, service.PreferFlows))
	c.start("akl-a", "akl-b", "ham-a", "tga-a")
	c.run(15 * time.Second)
	keys := c.openFlows(&c.desks[0], 0, 2000)
	apart := c.nodes[3].host.ID
	c.isCut = func(a, b host.ID) bool { return (a == apart) != (b == apart) }
	c.splitViews(apart)
	d := &c.desks[0]
	d.Upstreams = slices.Clone(d.Upstreams)
	d.Upstreams[3].State = service.AdminDraining
	c.version++
	s := c.snapshot()
	for _, n := range c.nodes[:3] {
		c.adopt(n, s)
	}
	c.run(5 * time.Second)
	for range 30 {
		c.useFlows(keys)
		c.run(time.Second)
	}
	inside := len(c.oracle.broken)
	c.isCut = func(host.ID, host.ID) bool { return false }
	c.announceMembers(func() time.Duration { return 0 })
	c.adopt(c.nodes[3], s)
	c.run(5 * time.Second)
	more := c.openFlows(d, 5000, 2000)
	for range 10 {
		c.useFlows(keys)
		c.useFlows(more)
	}
	if inside+len(c.oracle.broken) > 0 {
		t.Errorf("%d flows broke during the partition, %d in all", inside, len(c.oracle.broken))
	}
	c.expectServed(t, append(keys, more...))
}

// splitViews tells each side of a cut that the other is dead.
func (c *cluster) splitViews(apart host.ID) {
	for _, n := range c.nodes {
		v := c.members()
		v.Members = slices.Clone(v.Members)
		for i := range v.Members {
			if (v.Members[i].Host.ID == apart) != (n.host.ID == apart) {
				v.Members[i].State = membership.Dead
			}
		}
		c.step(n, flow.MembersChanged{View: v})
	}
}

// TestMovedAddressReachesNoOtherService moves an address to another service by
// way of quarantine while hosts hear of each step up to five seconds apart and
// one host hears nothing at all.
func TestMovedAddressReachesNoOtherService(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.Uint64().Draw(t, "seed"), lossy, desk(1, 3, service.PreferFlows), desk(2, 3, service.PreferBalance))
		c.start("akl-a", "akl-b", "ham-a")
		lagging := c.nodes[rapid.IntRange(0, 2).Draw(t, "lagging")]
		moved := c.desks[0].Address
		c.desks[0].Address = netip.MustParseAddrPort("198.51.100.77:443")
		c.quarantined = []config.Quarantine{{Address: moved, Protocol: service.TCP, Released: 2}}
		c.publish(c.uneven)
		c.sprayAt(t, moved, 6*time.Second)
		// The publisher reuses an address only after every live host adopted its
		// release; the lagging host hears of the reuse last.
		c.quarantined = nil
		c.desks = append(slices.Clone(c.desks), desk(3, 3, service.PreferFlows))
		c.desks[2].Address = moved
		c.publish(func() time.Duration { return c.uneven() })
		c.adopt(lagging, c.snapshot())
		c.sprayAt(t, moved, 6*time.Second)
		if c.oracle.wrong > 0 {
			t.Fatalf("%d packets reached a service not their own", c.oracle.wrong)
		}
	})
}

// sprayAt sends packets to the address for a while, as owned at the time.
func (c *cluster) sprayAt(t *rapid.T, a netip.AddrPort, d time.Duration) {
	for n := range 60 {
		k := flow.Key{Protocol: service.TCP, Source: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(n)}), 999), Destination: a}
		c.spray(flow.Packet{Key: k, First: rapid.Bool().Draw(t, "first")})
		c.run(d / 60)
	}
}

// TestRelayForAnotherServiceIsDropped sends a relayed packet whose identity
// does not match its destination, as a host with another configuration would.
func TestRelayForAnotherServiceIsDropped(t *testing.T) {
	s := desk(1, 3, service.PreferFlows)
	e := single(0, s)
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

// TestControlTrafficAtTheSizesOfTheBrief drains, re-weights and joins within a
// minute of thousands of new flows a second.
func TestControlTrafficAtTheSizesOfTheBrief(t *testing.T) {
	t.Parallel()
	w := deploy(users[0], lossy, nil)
	w.faults.relayDelay = 0
	w.measure = true
	w.play(20 * time.Second)
	before := make([]int, len(w.nodes))
	for i, n := range w.nodes {
		before[i] = n.in + n.out
	}
	w.setState(0, 3, service.AdminDraining)
	w.play(3 * time.Second)
	w.join("casa-quay")
	w.play(3 * time.Second)
	w.leave(w.nodes[1])
	w.play(14 * time.Second)
	for i := range before {
		rate := float64(w.nodes[i].in+w.nodes[i].out-before[i]) / 60
		t.Logf("%s: %.0f B/s over the minute", w.nodes[i].host.ID, rate)
		if rate > 5000 {
			t.Errorf("%s: %.0f B/s of control, want at most 5000", w.nodes[i].host.ID, rate)
		}
	}
	if n := len(w.oracle.broken); n > 0 {
		t.Error(fmt.Sprint(n, " flows broke"))
	}
}
