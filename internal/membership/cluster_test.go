package membership

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/standin/virtual"
)

const (
	testLatency = 1500 * time.Microsecond
	testTimeout = time.Second
)

// testStart is the arbitrary time at which the virtual clock starts.
var testStart = time.UnixMilli(1_800_000_000_000)

// testHost is one process of a testCluster.
type testHost struct {
	host    host.Host
	node    *Node
	running bool
	// paused hosts neither step nor answer.
	paused   bool
	nextStep time.Time
	// messages and bytes count what the host has sent.
	messages, bytes int
	// viewChanges counts the changes of the host's view.
	viewChanges int
}

// testCluster connects nodes by a simulated network with a virtual clock.
type testCluster struct {
	now    time.Time
	events virtual.EventQueue
	random *rand.Rand
	// hosts holds all processes, including ended ones, in the order in which they
	// started.
	hosts     []*testHost
	byAddress map[netip.AddrPort]*testHost
	// seeds are the addresses through which hosts join.
	seeds []netip.AddrPort
	// loss is the fraction of messages that are lost.
	loss float64
	// partitioned reports whether the network is cut between two hosts.
	partitioned func(a, b *testHost) bool
	// countTraffic enables the counters of messages and bytes.
	countTraffic bool
	encoded      bytes.Buffer
	encoder      *gob.Encoder
}

func newCluster(seed uint64) *testCluster {
	c := &testCluster{
		now:       testStart,
		random:    rand.New(rand.NewPCG(seed, 1)),
		byAddress: make(map[netip.AddrPort]*testHost),
		seeds:     []netip.AddrPort{testAddress(0), testAddress(1)},
	}
	c.encoder = gob.NewEncoder(&c.encoded)
	return c
}

func testAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}

// start starts a process of host i, which joins through the seeds. The hosts are
// distributed over the given number of data centres.
func (c *testCluster) start(i, dataCentres int) *testHost {
	h := c.create(i, dataCentres)
	c.hosts = append(c.hosts, h)
	c.step(h)
	return h
}

// create returns a process of host i that has not taken a step yet.
func (c *testCluster) create(i, dataCentres int) *testHost {
	h := &testHost{running: true, host: host.Host{
		ID:             host.ID(fmt.Sprintf("dc-%d/entry-%d", i%dataCentres, i)),
		Incarnation:    host.Incarnation(c.random.Uint64()),
		DataCentre:     fmt.Sprintf("dc-%d", i%dataCentres),
		Region:         "north",
		PeerAddress:    testAddress(i),
		PacketAddress:  testAddress(i),
		RequestAddress: testAddress(i),
	}}
	h.node = New(c.now, Config{Self: h.host, Seed: c.random.Uint64(), Seeds: c.seeds})
	c.byAddress[h.host.PeerAddress] = h
	return h
}

// startAll starts n hosts at the same time.
func (c *testCluster) startAll(n, dataCentres int) {
	for i := range n {
		c.start(i, dataCentres)
	}
}

// newConvergedCluster returns a cluster of n hosts that already know each other and are
// in contact with their probe targets.
func newConvergedCluster(seed uint64, n, dataCentres int) *testCluster {
	c := newCluster(seed)
	for i := range n {
		c.hosts = append(c.hosts, c.create(i, dataCentres))
	}
	for _, h := range c.hosts {
		for _, other := range c.hosts {
			h.node.mergeRecords(c.now, "", []Record{other.node.self.export(true)})
		}
		for _, e := range h.node.sortedEntries {
			e.reachable, e.reachableSince = true, c.now
		}
	}
	for _, h := range c.hosts {
		for _, e := range h.node.probeTargets() {
			h.node.markSeen(c.now, e.record.ID, processHash(e.record.Incarnation), true)
			c.byAddress[e.host.PeerAddress].node.markSeen(c.now, h.host.ID, processHash(h.host.Incarnation), true)
		}
	}
	for _, h := range c.hosts {
		h.node.self.record.Contacts = h.node.contactKeys()
		h.node.contactsPublishDue = time.Time{}
	}
	for _, h := range c.hosts {
		h.node.converge(c)
		c.step(h)
	}
	c.run(2*time.Second, nil)
	return c
}

// converge copies the contacts of all hosts into the node's records, computes the view
// and the probe targets, and starts the probes at random points of their interval.
func (n *Node) converge(c *testCluster) {
	for _, h := range c.hosts {
		n.entries[h.host.ID].record.Contacts = h.node.self.record.Contacts
	}
	n.viewStale, n.nextUpdate = true, time.Time{}
	n.update(c.now)
	n.setProbeTargets(c.now, n.probeTargets())
	n.retargetDue = time.Time{}
	clear(n.recordQueues)
	for _, id := range sortedIDs(n.probes) {
		n.probes[id].answered = true
		n.probes[id].lastDue = c.now.Add(-time.Duration(c.random.Int64N(int64(probeInterval))))
	}
}

func (c *testCluster) schedule(after time.Duration, run func()) {
	c.events.Schedule(c.now.Add(after), run)
}

// step calls Step on a host's node, sends the resulting requests and schedules the next
// step. It does nothing if the host is not running or is paused.
func (c *testCluster) step(h *testHost) {
	if !h.running || h.paused {
		return
	}
	for _, exchange := range h.node.Step(c.now) {
		c.send(h, exchange)
	}
	if h.node.TakeChanged() {
		h.viewChanges++
	}
	next := h.node.NextStep()
	if !next.After(c.now) {
		next = c.now.Add(time.Millisecond)
	}
	if h.nextStep.After(c.now) && !next.Before(h.nextStep) {
		return
	}
	h.nextStep = next
	c.schedule(next.Sub(c.now), func() {
		if h.nextStep.Equal(c.now) {
			c.step(h)
		}
	})
}

// countMessage adds a message without its From field to the counters of its sender.
func (c *testCluster) countMessage(h *testHost, message Message) {
	if !c.countTraffic {
		return
	}
	message.From = ""
	c.encoded.Reset()
	if err := c.encoder.Encode(message); err != nil {
		panic(err)
	}
	h.messages++
	h.bytes += c.encoded.Len()
}

// drawLoss decides at random whether a message between two hosts is lost. A message to a
// receiver that is paused, not running or cut off by the partition is always lost.
func (c *testCluster) drawLoss(from, to *testHost) bool {
	return to == nil || !to.running || to.paused || c.partitioned != nil && c.partitioned(from, to) || c.random.Float64() < c.loss
}

// send delivers a request and its answer, each after testLatency. If one of them is
// lost, the sender's node learns of the failure after testTimeout.
func (c *testCluster) send(from *testHost, exchange Exchange) {
	c.countMessage(from, exchange.Message)
	to := c.byAddress[exchange.To.Address]
	failAfter := func(after time.Duration) {
		c.schedule(after, func() {
			if from.running {
				from.node.HandleFailure(c.now, exchange)
				c.step(from)
			}
		})
	}
	if c.drawLoss(from, to) || exchange.To.ID != "" && to.host.ID != exchange.To.ID {
		failAfter(testTimeout)
		return
	}
	c.schedule(testLatency, func() {
		if !to.running || to.paused {
			failAfter(testTimeout - testLatency)
			return
		}
		answer := to.node.HandleRequest(c.now, exchange.Message)
		c.countMessage(to, answer)
		c.step(to)
		if c.drawLoss(to, from) {
			failAfter(testTimeout - testLatency)
			return
		}
		c.schedule(testLatency, func() {
			if from.running {
				from.node.HandleAnswer(c.now, exchange, answer)
				c.step(from)
			}
		})
	})
}

// run advances the clock by the duration and calls check after every event.
func (c *testCluster) run(duration time.Duration, check func()) {
	end := c.now.Add(duration)
	for at, run, ok := c.events.Next(end); ok; at, run, ok = c.events.Next(end) {
		c.now = at
		run()
		if check != nil {
			check()
		}
	}
	c.now = end
}

// runUntil advances the clock until done returns true or the limit is reached, and
// returns the time that passed.
func (c *testCluster) runUntil(limit time.Duration, done func() bool) (time.Duration, bool) {
	return c.runUntilChecked(limit, nil, done)
}

// runUntilChecked is runUntil with a check after every event.
func (c *testCluster) runUntilChecked(limit time.Duration, check func(), done func() bool) (time.Duration, bool) {
	began := c.now
	for c.now.Sub(began) < limit {
		if done() {
			return c.now.Sub(began), true
		}
		c.run(20*time.Millisecond, check)
	}
	return limit, done()
}

// runningHosts returns the hosts whose process is running.
func (c *testCluster) runningHosts() []*testHost {
	var running []*testHost
	for _, h := range c.hosts {
		if h.running {
			running = append(running, h)
		}
	}
	return running
}

// aliveMembers returns the members in the host's view that are not dead.
func (h *testHost) aliveMembers() map[host.ID]host.Incarnation {
	alive := make(map[host.ID]host.Incarnation)
	for _, member := range h.node.View().Members {
		if member.State != Dead {
			alive[member.Host.ID] = member.Host.Incarnation
		}
	}
	return alive
}

// viewsAgree reports whether every host's view holds exactly the given hosts as members
// that are not dead.
func viewsAgree(hosts []*testHost) bool {
	for _, h := range hosts {
		alive := h.aliveMembers()
		if len(alive) != len(hosts) {
			return false
		}
		for _, other := range hosts {
			if alive[other.host.ID] != other.host.Incarnation {
				return false
			}
		}
	}
	return true
}
