package config_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/consul/fake"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/membership"
	"github.com/oatlatch/oatlatch/internal/standin/virtual"
)

// Times and sizes of the simulated network and platform.
const (
	// minLatency is the least time of a message in one direction.
	minLatency      = 1500 * time.Microsecond
	peerTimeout     = 500 * time.Millisecond
	platformTimeout = 2 * time.Second
	watchTimeout    = 20 * time.Second
	// messageOverheadBytes approximates the net/rpc header, gob framing, TLS and TCP/IP
	// overhead of one small message in one direction.
	messageOverheadBytes = 120
	// maxFetchBytes is the size at which no more pages are added to the answer to a Fetch.
	maxFetchBytes = 512 << 10
	// maxPullPageBytes is the maximum total size of the pages in the answer to a Pull.
	maxPullPageBytes = 64 << 10
	// platformCallInterval is the time between two platform calls of a host that fetches
	// several pages.
	platformCallInterval = 20 * time.Millisecond
)

// sim simulates a cluster of hosts with an Adopter each, their network and the platform.
type sim struct {
	now      time.Time
	rng      *rand.Rand
	schedule virtual.EventQueue
	store    *fake.Store
	hosts    []*simHost
	byID     map[host.ID]*simHost
	// callsBySecond counts the platform calls in each second since the start.
	callsBySecond      map[int]int
	totalPlatformCalls int
	start              time.Time
	publications       uint64
	// aboveVersion is passed to publications as Request.AboveVersion, which the new version exceeds.
	aboveVersion config.Version
	// lossRate is the probability that a peer message is lost.
	lossRate float64
	// failImmediately makes failing platform calls fail without waiting for the timeout.
	failImmediately bool
	// fail reports a failure and ends the test.
	fail func(format string, args ...any)
	// onAdopt, if not nil, is called for every adoption.
	onAdopt func(*simHost, config.Version)
}

// simHost is one host of the simulation.
type simHost struct {
	sim     *sim
	self    host.Host
	adopter *config.Adopter
	running bool
	// partition is the network partition of the host. Only hosts of the same partition reach
	// each other.
	partition int
	// platformUnreachable makes all platform calls of the host fail; watchBroken makes its watches
	// fail once they time out, instead of reporting changes.
	platformUnreachable, watchBroken bool
	// staleStore, if not nil, answers the host's reads in place of the store.
	staleStore *fake.Store
	// highestAdopted is the highest version that any process of this host has adopted.
	highestAdopted config.Version
	// adopted and refused belong to the current process: the time of each adoption and the
	// number of refusals.
	adopted map[config.Version]time.Time
	refused map[config.RefuseReason]int
	// pendingWatch answers the watch in progress; nil when there is none.
	pendingWatch func()
	messages     int
	bytes        int
	calls        int
	// timerSeq identifies the latest timer; earlier ones are ignored when they fire.
	timerSeq int
}

func newSim(seed uint64, fail func(string, ...any)) *sim {
	start := time.Unix(1_800_000_000, 0)
	return &sim{
		now: start, start: start, rng: rand.New(rand.NewPCG(seed, 7)), store: fake.NewStore(),
		callsBySecond: map[int]int{}, byID: map[host.ID]*simHost{}, fail: fail,
	}
}

// latency returns a random time of one message in one direction.
func (s *sim) latency() time.Duration {
	return minLatency + time.Duration(s.rng.Int64N(int64(2*time.Millisecond)))
}

// after schedules a function to run after d.
func (s *sim) after(d time.Duration, run func()) {
	s.schedule.Schedule(s.now.Add(d), run)
}

// run advances the simulated time by d and runs the functions that become due.
func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for at, run, ok := s.schedule.Next(end); ok; at, run, ok = s.schedule.Next(end) {
		s.now = at
		run()
	}
	s.now = end
}

// addHost adds a stopped host. Hosts are assigned to the data centres in turn.
func (s *sim) addHost(dataCentres int) *simHost {
	n := len(s.hosts)
	h := &simHost{sim: s, self: host.Host{
		ID: host.ID(fmt.Sprintf("host-%03d", n)), DataCentre: fmt.Sprintf("dc-%d", n%dataCentres),
	}}
	s.hosts = append(s.hosts, h)
	s.byID[h.self.ID] = h
	return h
}

// start starts a new process of the host.
func (h *simHost) start() {
	h.self.Incarnation++
	h.running = true
	h.pendingWatch = nil
	h.adopted = map[config.Version]time.Time{}
	h.refused = map[config.RefuseReason]int{}
	h.adopter = config.NewAdopter(config.AdopterOptions{Self: h.self, Seed: h.sim.rng.Uint64()})
	actions := h.adopter.Start(h.sim.now)
	h.perform(actions)
	h.step(config.MembersChanged{View: h.sim.view()})
}

func (h *simHost) stop() { h.running = false }

// view returns a view in which all hosts are live, whether they run or not, like that of a
// membership that lags behind.
func (s *sim) view() membership.View {
	var view membership.View
	for _, h := range s.hosts {
		view.Members = append(view.Members, membership.Member{Host: h.self, State: membership.Live})
	}
	return view
}

// deliverFunc returns a function that passes the event to the adopter, unless the host's current
// process has stopped by then.
func (h *simHost) deliverFunc(event config.Event) func() {
	incarnation := h.self.Incarnation
	return func() {
		if h.running && h.self.Incarnation == incarnation {
			h.step(event)
		}
	}
}

func (h *simHost) step(event config.Event) {
	h.perform(h.adopter.Step(h.sim.now, event))
}

func (h *simHost) perform(actions []config.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case config.ReadPlatform:
			h.readPlatform(a)
		case config.Pull:
			h.pull(a)
		case config.Fetch:
			h.fetch(a)
		case config.Notify:
			h.notify(a)
		case config.Confirm:
			h.confirm(a)
		case config.Restore:
			h.restore(a)
		case config.Adopt:
			h.recordAdoption(a.Bundle.Version())
		case config.Refuse:
			h.refused[a.Reason]++
		}
	}
	h.armTimer()
}

func (h *simHost) recordAdoption(version config.Version) {
	h.highestAdopted = max(h.highestAdopted, version)
	h.adopted[version] = h.sim.now
	if h.sim.onAdopt != nil {
		h.sim.onAdopt(h, version)
	}
}

// armTimer replaces the host's timer by one that fires at the adopter's next wake-up time.
func (h *simHost) armTimer() {
	h.timerSeq++
	seq := h.timerSeq
	fire := h.deliverFunc(config.TimerFired{})
	h.sim.after(max(0, h.adopter.NextWake().Sub(h.sim.now)), func() {
		if seq == h.timerSeq {
			fire()
		}
	})
}

// delivers reports whether a message reaches its destination. It draws at random whether the
// message is lost.
func (s *sim) delivers(from, to *simHost) bool {
	return to != nil && to.running && from.running && from.partition == to.partition && s.rng.Float64() >= s.lossRate
}

func (s *sim) hostByID(id host.ID) *simHost { return s.byID[id] }

// countMessage counts a message with a payload of the given size.
func (h *simHost) countMessage(bytes int) {
	h.messages++
	h.bytes += bytes + messageOverheadBytes
}

// callPeer sends a request to a peer, where serve returns the answer and its size. The host
// receives the answer, or the event failed after peerTimeout.
func (h *simHost) callPeer(id host.ID, failed config.Event, serve func(peer *simHost) (config.Event, int)) {
	h.countMessage(0)
	peer := h.sim.hostByID(id)
	if !h.sim.delivers(h, peer) {
		h.sim.after(peerTimeout, h.deliverFunc(failed))
		return
	}
	onFailure, incarnation := h.deliverFunc(failed), h.self.Incarnation
	h.sim.after(h.sim.latency(), func() {
		if !peer.running || h.self.Incarnation != incarnation {
			h.sim.after(peerTimeout, onFailure)
			return
		}
		answer, bytes := serve(peer)
		peer.countMessage(bytes)
		h.sim.after(h.sim.latency(), h.deliverFunc(answer))
	})
}

func (h *simHost) pull(a config.Pull) {
	h.callPeer(a.Peer, config.PullFailed{Peer: a.Peer, Err: errUnreachable}, func(peer *simHost) (config.Event, int) {
		bundle := peer.adopter.Bundle()
		answer := config.Pulled{Peer: a.Peer, Version: bundle.Version(), PlatformReadAge: peer.adopter.PlatformReadAge(h.sim.now)}
		if answer.Version > a.Version {
			answer.Head = bundle.HeadData
			answer.Pages = bundle.PagesSince(a.Version, maxPullPageBytes)
		}
		bytes := len(answer.Head)
		for _, page := range answer.Pages {
			bytes += len(page.Data)
		}
		return answer, bytes
	})
}

func (h *simHost) notify(a config.Notify) {
	h.countMessage(0)
	if peer := h.sim.hostByID(a.Peer); h.sim.delivers(h, peer) {
		h.sim.after(h.sim.latency(), peer.deliverFunc(config.PeerNotified{Peer: h.self.ID, Version: a.Version}))
	}
}

func (h *simHost) fetch(a config.Fetch) {
	if a.Source == config.PlatformSource {
		h.fetchFromPlatform(a)
		return
	}
	failed := config.FetchFailed{Source: a.Source, Err: errUnreachable}
	h.callPeer(a.Source.Peer, failed, func(peer *simHost) (config.Event, int) {
		var pages []config.PageData
		size := 0
		for _, ref := range a.Refs {
			page, ok := peer.adopter.Bundle().Page(ref)
			if ok && size < maxFetchBytes {
				pages = append(pages, page)
				size += len(page.Data)
			}
		}
		return config.Fetched{Source: a.Source, Pages: pages}, size
	})
}
