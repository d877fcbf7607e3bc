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

// testStart is an arbitrary fixed time.
var testStart = time.UnixMilli(1_800_000_000_000)

// testHost is one process of the fleet.
type testHost struct {
	host  host.Host
	node  *Node
	alive bool
	// frozen hosts neither step nor answer.
	frozen bool
	wake   time.Time
	// sent counts what the host has sent.
	messages, bytes int
	// changes counts changes of the view.
	changes int
}

// fleet joins nodes by a message bus with a virtual clock.
type fleet struct {
	now    time.Time
	agenda virtual.Agenda
	random *rand.Rand
	// hosts are in the order in which they started.
	hosts     []*testHost
	byAddress map[netip.AddrPort]*testHost
	// seeds are the addresses by which hosts join.
	seeds []netip.AddrPort
	// loss is the fraction of messages that are lost.
	loss float64
	// cut reports whether two hosts cannot reach each other.
	cut func(a, b *testHost) bool
	// measure turns on the counting of bytes.
	measure bool
	scratch bytes.Buffer
	encoder *gob.Encoder
}

func newFleet(seed uint64) *fleet {
	f := &fleet{
		now:       testStart,
		random:    rand.New(rand.NewPCG(seed, 1)),
		byAddress: make(map[netip.AddrPort]*testHost),
		seeds:     []netip.AddrPort{testAddress(0), testAddress(1)},
	}
	f.encoder = gob.NewEncoder(&f.scratch)
	return f
}

func testAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}

// start starts a process of host i in one of the data centres, which joins by the
// seeds.
func (f *fleet) start(i, dataCentres int) *testHost {
	h := f.create(i, dataCentres)
	f.hosts = append(f.hosts, h)
	f.step(h)
	return h
}

// create makes a process of host i that has not begun to step.
func (f *fleet) create(i, dataCentres int) *testHost {
	h := &testHost{alive: true, host: host.Host{
		ID:             host.ID(fmt.Sprintf("dc-%d/entry-%d", i%dataCentres, i)),
		Incarnation:    host.Incarnation(f.random.Uint64()),
		DataCentre:     fmt.Sprintf("dc-%d", i%dataCentres),
		Region:         "north",
		PeerAddress:    testAddress(i),
		PacketAddress:  testAddress(i),
		RequestAddress: testAddress(i),
	}}
	h.node = New(f.now, Config{Self: h.host, Seed: f.random.Uint64(), Seeds: f.seeds})
	f.byAddress[h.host.PeerAddress] = h
	return h
}

// startAll starts n hosts, all at once, and lets them find each other.
func (f *fleet) startAll(n, dataCentres int) {
	for i := range n {
		f.start(i, dataCentres)
	}
}

// newWarmFleet returns a fleet of n hosts that already know each other and are in
// contact along their rings.
func newWarmFleet(seed uint64, n, dataCentres int) *fleet {
	f := newFleet(seed)
	for i := range n {
		f.hosts = append(f.hosts, f.create(i, dataCentres))
	}
	for _, h := range f.hosts {
		for _, other := range f.hosts {
			h.node.merge(f.now, "", []Record{other.node.self.export(true)})
		}
		for _, e := range h.node.order {
			e.reached, e.reachedAt = true, f.now
		}
	}
	for _, h := range f.hosts {
		for _, e := range h.node.targets() {
			h.node.heard(f.now, e.record.ID, processOf(e.record.Incarnation), true)
			f.byAddress[e.host.PeerAddress].node.heard(f.now, h.host.ID, processOf(h.host.Incarnation), true)
		}
	}
	for _, h := range f.hosts {
		h.node.self.record.Contacts = h.node.contactKeys()
		h.node.publishDue = time.Time{}
	}
	for _, h := range f.hosts {
		h.node.settleWarm(f)
		f.step(h)
	}
	f.run(2*time.Second, nil)
	return f
}

// settleWarm takes in all records and begins the probes at random times.
func (n *Node) settleWarm(f *fleet) {
	for _, h := range f.hosts {
		n.entries[h.host.ID].record.Contacts = h.node.self.record.Contacts
	}
	n.stale, n.updateDue = true, time.Time{}
	n.update(f.now)
	n.setTargets(f.now, n.targets())
	n.retargetDue = time.Time{}
	clear(n.pending)
	for _, id := range sortedIDs(n.probes) {
		n.probes[id].answered = true
		n.probes[id].sentAt = f.now.Add(-time.Duration(f.random.Int64N(int64(probeInterval))))
	}
}

func (f *fleet) schedule(after time.Duration, run func()) {
	f.agenda.Add(f.now.Add(after), run)
}

// step steps a host, sends its messages and schedules its next step.
func (f *fleet) step(h *testHost) {
	if !h.alive || h.frozen {
		return
	}
	for _, send := range h.node.Step(f.now) {
		f.send(h, send)
	}
	if h.node.TakeChanged() {
		h.changes++
	}
	wake := h.node.Next()
	if !wake.After(f.now) {
		wake = f.now.Add(time.Millisecond)
	}
	if h.wake.After(f.now) && !wake.Before(h.wake) {
		return
	}
	h.wake = wake
	f.schedule(wake.Sub(f.now), func() {
		if h.wake.Equal(f.now) {
			f.step(h)
		}
	})
}

func (f *fleet) count(h *testHost, message Message) {
	if !f.measure {
		return
	}
	message.From = ""
	f.scratch.Reset()
	if err := f.encoder.Encode(message); err != nil {
		panic(err)
	}
	h.messages++
	h.bytes += f.scratch.Len()
}

// lost draws whether a message from one host to the other arrives.
func (f *fleet) lost(from, to *testHost) bool {
	return to == nil || !to.alive || to.frozen || f.cut != nil && f.cut(from, to) || f.random.Float64() < f.loss
}

func (f *fleet) send(from *testHost, send Send) {
	f.count(from, send.Message)
	to := f.byAddress[send.To.Address]
	fail := func(after time.Duration) {
		f.schedule(after, func() {
			if from.alive {
				from.node.Failed(f.now, send)
				f.step(from)
			}
		})
	}
	if f.lost(from, to) || send.To.ID != "" && to.host.ID != send.To.ID {
		fail(testTimeout)
		return
	}
	f.schedule(testLatency, func() {
		if !to.alive || to.frozen {
			fail(testTimeout - testLatency)
			return
		}
		answer := to.node.Request(f.now, send.Message)
		f.count(to, answer)
		f.step(to)
		if f.lost(to, from) {
			fail(testTimeout - testLatency)
			return
		}
		f.schedule(testLatency, func() {
			if from.alive {
				from.node.Answered(f.now, send, answer)
				f.step(from)
			}
		})
	})
}

// run lets the given time pass and calls check after every event.
func (f *fleet) run(duration time.Duration, check func()) {
	end := f.now.Add(duration)
	for at, run, ok := f.agenda.Next(end); ok; at, run, ok = f.agenda.Next(end) {
		f.now = at
		run()
		if check != nil {
			check()
		}
	}
	f.now = end
}

// runUntil lets time pass until done or the limit and returns the time it took.
func (f *fleet) runUntil(limit time.Duration, done func() bool) (time.Duration, bool) {
	return f.runUntilChecked(limit, nil, done)
}

// runUntilChecked is runUntil with a check after every event.
func (f *fleet) runUntilChecked(limit time.Duration, check func(), done func() bool) (time.Duration, bool) {
	began := f.now
	for f.now.Sub(began) < limit {
		if done() {
			return f.now.Sub(began), true
		}
		f.run(20*time.Millisecond, check)
	}
	return limit, done()
}

// running lists the hosts that are alive.
func (f *fleet) running() []*testHost {
	var running []*testHost
	for _, h := range f.hosts {
		if h.alive {
			running = append(running, h)
		}
	}
	return running
}

// owners is the set of members that a host believes to own slots or to be leaving.
func (h *testHost) owners() map[host.ID]host.Incarnation {
	owners := make(map[host.ID]host.Incarnation)
	for _, member := range h.node.View().Members {
		if member.State != Dead {
			owners[member.Host.ID] = member.Host.Incarnation
		}
	}
	return owners
}

// agreed reports whether each of the hosts sees exactly the hosts.
func agreed(hosts []*testHost) bool {
	for _, h := range hosts {
		owners := h.owners()
		if len(owners) != len(hosts) {
			return false
		}
		for _, other := range hosts {
			if owners[other.host.ID] != other.host.Incarnation {
				return false
			}
		}
	}
	return true
}
