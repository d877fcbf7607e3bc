package config_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/membership"
	"github.com/oatlatch/oatlatch/internal/platform/fake"
	"github.com/oatlatch/oatlatch/internal/publish"
	"github.com/oatlatch/oatlatch/internal/service"
)

// Times and sizes of the simulated network and platform.
const (
	oneWay       = 1500 * time.Microsecond
	peerDeadline = 500 * time.Millisecond
	callDeadline = 2 * time.Second
	watchWait    = 20 * time.Second
	// messageOverhead stands for the net/rpc header, gob framing, TLS and TCP/IP of
	// one small message in one direction.
	messageOverhead = 120
	// fetchLimit is the size up to which one answer carries pages.
	fetchLimit = 512 << 10
	// pullLimit is the size up to which pages come along with a head.
	pullLimit = 64 << 10
	// callPace is the time between platform calls of a host that reads many pages.
	callPace = 20 * time.Millisecond
)

// sim runs adopters in simulated time.
type sim struct {
	now   time.Time
	rng   *rand.Rand
	queue eventQueue
	seq   int
	store *fake.Store
	hosts []*simHost
	byID  map[host.ID]*simHost
	// calls counts platform calls by second since the start.
	calls      map[int]int
	totalCalls int
	start      time.Time
	published  uint64
	// above is passed on to publications.
	above config.Version
	// loss is the share of peer messages that are lost.
	loss float64
	// refuses makes every failed platform call fail at once.
	refuses bool
	fail    func(format string, args ...any)
	// onAdopt, if set, is called for every adoption.
	onAdopt func(*simHost, config.Version)
}

// simHost is one host of the simulation.
type simHost struct {
	sim     *sim
	self    host.Host
	adopter *config.Adopter
	up      bool
	group   int
	// cut hosts cannot reach the platform; deaf ones never hear of changes from it.
	cut, deaf bool
	// stale, if set, answers reads in place of the store.
	stale *fake.Store
	// floor is the highest version that any process of this name has adopted.
	floor    config.Version
	adopted  map[config.Version]time.Time
	refused  map[config.RefuseReason]int
	waiting  func()
	messages int
	bytes    int
	calls    int
	wakeSeq  int
}

type simEvent struct {
	at  time.Time
	seq int
	run func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newSim(seed uint64, fail func(string, ...any)) *sim {
	start := time.Unix(1_800_000_000, 0)
	return &sim{
		now: start, start: start, rng: rand.New(rand.NewPCG(seed, 7)), store: fake.NewStore(),
		calls: map[int]int{}, byID: map[host.ID]*simHost{}, fail: fail,
	}
}

// latency is the time of one message in one direction.
func (s *sim) latency() time.Duration {
	return oneWay + time.Duration(s.rng.Int64N(int64(2*time.Millisecond)))
}

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{s.now.Add(d), s.seq, run})
}

// run advances the simulated time.
func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		next := heap.Pop(&s.queue).(simEvent)
		s.now = next.at
		next.run()
	}
	s.now = end
}

// addHost adds a host that is down, spread over the data centres in turn.
func (s *sim) addHost(dataCentres int) *simHost {
	n := len(s.hosts)
	h := &simHost{sim: s, self: host.Host{
		ID: host.ID(fmt.Sprintf("host-%03d", n)), DataCentre: fmt.Sprintf("dc-%d", n%dataCentres),
	}}
	s.hosts = append(s.hosts, h)
	s.byID[h.self.ID] = h
	return h
}

// boot starts a new process of the host.
func (h *simHost) boot() {
	h.self.Incarnation++
	h.up = true
	h.waiting = nil
	h.adopted = map[config.Version]time.Time{}
	h.refused = map[config.RefuseReason]int{}
	h.adopter = config.NewAdopter(config.AdopterOptions{Self: h.self, Seed: h.sim.rng.Uint64()})
	actions := h.adopter.Start(h.sim.now)
	h.perform(actions)
	h.step(config.MembersChanged{View: h.sim.view()})
}

func (h *simHost) kill() { h.up = false }

// view lists all hosts, running or not, as a lagging host list does.
func (s *sim) view() membership.View {
	var view membership.View
	for _, h := range s.hosts {
		view.Members = append(view.Members, membership.Member{Host: h.self, State: membership.Live})
	}
	return view
}

// deliver returns a function that feeds the event to the same process only.
func (h *simHost) deliver(event config.Event) func() {
	incarnation := h.self.Incarnation
	return func() {
		if h.up && h.self.Incarnation == incarnation {
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
	h.floor = max(h.floor, version)
	h.adopted[version] = h.sim.now
	if h.sim.onAdopt != nil {
		h.sim.onAdopt(h, version)
	}
}

func (h *simHost) armTimer() {
	h.wakeSeq++
	seq := h.wakeSeq
	fire := h.deliver(config.TimerFired{})
	h.sim.after(max(0, h.adopter.NextWake().Sub(h.sim.now)), func() {
		if seq == h.wakeSeq {
			fire()
		}
	})
}

// count notes a platform call.
func (h *simHost) count() {
	h.calls++
	h.sim.totalCalls++
	h.sim.calls[int(h.sim.now.Sub(h.sim.start)/time.Second)]++
}

func (h *simHost) reads() *fake.Store {
	if h.stale != nil {
		return h.stale
	}
	return h.sim.store
}

func (h *simHost) readPlatform(a config.ReadPlatform) {
	h.count()
	if h.cut {
		h.sim.after(h.sim.failureDelay(), h.deliver(config.PlatformFailed{Err: errUnreachable}))
		return
	}
	value := h.reads().Get(config.HeadKey)
	if a.Index == 0 || value.Index != a.Index {
		h.sim.after(2*h.sim.latency(), h.deliver(config.PlatformRead{Head: value.Data, Revision: value.Revision, Index: value.Index}))
		return
	}
	h.wait(a.Index)
}

// wait holds a watch until the head changes or its time ends.
func (h *simHost) wait(index uint64) {
	done := false
	incarnation := h.self.Incarnation
	answer := func() {
		if done || !h.up || h.self.Incarnation != incarnation {
			return
		}
		done = true
		h.waiting = nil
		if h.cut || h.deaf {
			h.step(config.PlatformFailed{Err: errUnreachable})
			return
		}
		value := h.reads().Get(config.HeadKey)
		h.step(config.PlatformRead{Head: value.Data, Revision: value.Revision, Index: value.Index})
	}
	h.waiting = answer
	h.sim.after(watchWait, answer)
}

// wakeWatches answers the watches after the head has changed.
func (s *sim) wakeWatches() {
	for _, h := range s.hosts {
		if h.waiting != nil && !h.cut && !h.deaf && h.stale == nil {
			s.after(s.latency(), h.waiting)
		}
	}
}

// failureDelay is short for a refused connection and long for lost packets.
func (s *sim) failureDelay() time.Duration {
	if s.refuses || s.rng.IntN(2) == 0 {
		return oneWay
	}
	return callDeadline
}

func (s *sim) reachable(from, to *simHost) bool {
	return to != nil && to.up && from.up && from.group == to.group && s.rng.Float64() >= s.loss
}

func (s *sim) find(id host.ID) *simHost { return s.byID[id] }

func (h *simHost) sent(bytes int) {
	h.messages++
	h.bytes += bytes + messageOverhead
}

// exchange sends a request to a peer and delivers its answer, or failed at the deadline.
func (h *simHost) exchange(id host.ID, failed config.Event, serve func(peer *simHost) (config.Event, int)) {
	h.sent(0)
	peer := h.sim.find(id)
	if !h.sim.reachable(h, peer) {
		h.sim.after(peerDeadline, h.deliver(failed))
		return
	}
	onFailure, incarnation := h.deliver(failed), h.self.Incarnation
	h.sim.after(h.sim.latency(), func() {
		if !peer.up || h.self.Incarnation != incarnation {
			h.sim.after(peerDeadline, onFailure)
			return
		}
		answer, bytes := serve(peer)
		peer.sent(bytes)
		h.sim.after(h.sim.latency(), h.deliver(answer))
	})
}

func (h *simHost) pull(a config.Pull) {
	h.exchange(a.Peer, config.PullFailed{Peer: a.Peer, Err: errUnreachable}, func(peer *simHost) (config.Event, int) {
		bundle := peer.adopter.Bundle()
		answer := config.Pulled{Peer: a.Peer, Version: bundle.Version(), ConfirmedAge: peer.adopter.ConfirmedAge(h.sim.now)}
		if answer.Version > a.Version {
			answer.Head = bundle.HeadData
			answer.Pages = bundle.PagesSince(a.Version, pullLimit)
		}
		bytes := len(answer.Head)
		for _, page := range answer.Pages {
			bytes += len(page.Data)
		}
		return answer, bytes
	})
}

func (h *simHost) notify(a config.Notify) {
	h.sent(0)
	if peer := h.sim.find(a.Peer); h.sim.reachable(h, peer) {
		h.sim.after(h.sim.latency(), peer.deliver(config.Noticed{Peer: h.self.ID, Version: a.Version}))
	}
}

func (h *simHost) fetch(a config.Fetch) {
	if a.Source == config.Platform {
		h.fetchFromPlatform(a)
		return
	}
	failed := config.FetchFailed{Source: a.Source, Err: errUnreachable}
	h.exchange(a.Source.Peer, failed, func(peer *simHost) (config.Event, int) {
		var pages []config.PageData
		size := 0
		for _, ref := range a.Refs {
			page, ok := peer.adopter.Bundle().Page(ref)
			if ok && size < fetchLimit {
				pages = append(pages, page)
				size += len(page.Data)
			}
		}
		return config.Fetched{Source: a.Source, Pages: pages}, size
	})
}

func (h *simHost) fetchFromPlatform(a config.Fetch) {
	if h.cut {
		h.count()
		h.sim.after(h.sim.failureDelay(), h.deliver(config.FetchFailed{Source: a.Source, Err: errUnreachable}))
		return
	}
	var pages []config.PageData
	for i, ref := range a.Refs {
		h.sim.after(time.Duration(i)*callPace, h.count)
		value := h.reads().Get(ref.Key())
		if !value.Exists() {
			h.sim.after(2*oneWay, h.deliver(config.FetchFailed{Source: a.Source, Err: errUnreachable}))
			return
		}
		pages = append(pages, config.PageData{Ref: ref, Data: value.Data})
	}
	h.sim.after(time.Duration(len(a.Refs))*callPace+2*oneWay, h.deliver(config.Fetched{Source: a.Source, Pages: pages}))
}

func (h *simHost) confirm(a config.Confirm) {
	h.count()
	if h.cut {
		h.sim.after(oneWay, h.deliver(config.ConfirmFailed{Err: errUnreachable}))
		return
	}
	h.count()
	data, err := config.EncodeConfirmation(config.Confirmation{Host: h.self.ID, Version: a.Version})
	if err != nil {
		h.sim.fail("%v", err)
	}
	key := config.AdoptedKey(h.self.ID)
	h.sim.store.CompareAndSwap(key, data, h.sim.store.Get(key).Revision)
	h.sim.after(2*oneWay, h.deliver(config.Confirmed(a)))
}

func (h *simHost) restore(a config.Restore) {
	h.count()
	store := h.sim.store
	if h.cut || store.Get(config.HeadKey).Revision != a.Revision {
		h.sim.after(2*oneWay, h.deliver(config.RestoreFailed{Err: errUnreachable}))
		return
	}
	for _, ref := range a.Bundle.Head.Pages {
		page, _ := a.Bundle.Page(ref)
		h.count()
		store.CompareAndSwap(ref.Key(), page.Data, 0)
	}
	h.count()
	store.CompareAndSwap(config.HeadKey, a.Bundle.HeadData, a.Revision)
	h.sim.after(2*oneWay, h.deliver(config.Restored{}))
	h.sim.wakeWatches()
}

// publish publishes the services at once and returns the version.
func (s *sim) publish(services ...service.Service) config.Version {
	s.published++
	request := publish.Request{ID: fmt.Sprintf("publication-%d", s.published), Services: services, At: s.now, Above: s.above}
	result, err := publishTo(s.store, request)
	if err != nil {
		s.fail("publish: %v", err)
	}
	s.wakeWatches()
	return result.Version
}

// publishTo runs a machine against the store without faults.
func publishTo(store *fake.Store, request publish.Request) (publish.Result, error) {
	machine := publish.NewMachine(request)
	action := machine.Start()
	for {
		switch a := action.(type) {
		case publish.Finish:
			return a.Result, a.Err
		case publish.ReadState:
			action = machine.Step(publish.StateRead{State: readState(store)})
		case publish.WritePages:
			for _, page := range a.Pages {
				store.CompareAndSwap(page.Ref.Key(), page.Data, 0)
			}
			action = machine.Step(publish.PagesWritten{})
		case publish.Swap:
			action = machine.Step(publish.Swapped{Written: store.CompareAndSwap(config.HeadKey, a.Head, a.Revision)})
		}
	}
}

func readState(store *fake.Store) publish.State {
	value := store.Get(config.HeadKey)
	if !value.Exists() {
		return publish.State{}
	}
	head, err := config.DecodeHead(value.Data)
	if err != nil {
		panic(err)
	}
	var pages []config.PageData
	for _, ref := range head.Pages {
		pages = append(pages, config.PageData{Ref: ref, Data: store.Get(ref.Key()).Data})
	}
	bundle, err := config.NewBundle(value.Data, pages, nil)
	if err != nil {
		panic(err)
	}
	return publish.State{Bundle: bundle, Revision: value.Revision}
}

// svc returns a service; number decides its address and weight its contents.
func svc(number, upstreams, weight int) service.Service {
	s := service.Service{
		Name:     fmt.Sprintf("service-%04d", number),
		Region:   "nz-north",
		Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, byte(number >> 8), byte(number)}), 443),
		Protocol: service.TCP, Prefer: service.PreferFlows, DeviationThreshold: 0.25,
		DrainLimit: time.Hour, IdleTimeout: 5 * time.Minute, SlowStart: 30 * time.Second,
		LoadPath: "/load", HealthPath: "/health",
	}
	for i := range upstreams {
		addr := netip.AddrFrom4([4]byte{10, byte(number >> 8), byte(number), byte(i)})
		s.Upstreams = append(s.Upstreams, service.Upstream{
			Name: fmt.Sprintf("upstream-%d", i), DataCentre: "akl-a",
			Address: netip.AddrPortFrom(addr, 8080), PacketAddress: netip.AddrPortFrom(addr, 6081),
			Weight: uint32(weight), Slots: 2, Connections: 2000, State: service.AdminActive,
		})
	}
	return s
}
