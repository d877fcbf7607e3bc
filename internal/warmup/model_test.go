package warmup

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// tick is the step of the simulated time.
	tick = 10 * time.Millisecond
	// callTimeout is the time limit of a simulated call.
	callTimeout = 2 * time.Second
	// maxJitter is the greatest variation of the time that packets take to an upstream.
	maxJitter = 50 * time.Millisecond
)

// modelKey is a key of a modelStore.
type modelKey struct {
	value string
	lease uint64
}

// modelStore simulates the metadata store.
type modelStore struct {
	epoch, nextLease uint64
	keys             map[Share]modelKey
	leases           map[uint64]time.Duration
	mark             uint64
	marked           bool
	calls            map[CallKind]int
}

func newModelStore() *modelStore {
	return &modelStore{nextLease: 1, keys: map[Share]modelKey{}, leases: map[uint64]time.Duration{}, calls: map[CallKind]int{}}
}

// copy returns a copy from which the store can be restored.
func (s *modelStore) copy() *modelStore {
	c := *s
	c.keys, c.leases = maps.Clone(s.keys), maps.Clone(s.leases)
	return &c
}

// restore replaces the contents by those of the copy. Its leases run anew.
func (s *modelStore) restore(now time.Duration, from *modelStore) {
	s.epoch++
	s.nextLease, s.mark, s.marked = from.nextLease, from.mark, from.marked
	s.keys, s.leases = maps.Clone(from.keys), maps.Clone(from.leases)
	for lease := range s.leases {
		s.leases[lease] = now + LeaseTTL
	}
}

// expire ends the leases that were not renewed.
func (s *modelStore) expire(now time.Duration) {
	for lease, end := range s.leases {
		if now >= end {
			delete(s.leases, lease)
			maps.DeleteFunc(s.keys, func(_ Share, k modelKey) bool { return k.lease == lease })
		}
	}
}

// execute executes a call.
func (s *modelStore) execute(now time.Duration, c *Call) Result {
	s.expire(now)
	s.calls[c.Kind]++
	r := Result{Outcome: Done, Epoch: s.epoch, Found: map[Share]string{}}
	switch c.Kind {
	case Read:
		for name, k := range s.keys {
			r.Found[name] = k.value
		}
		r.Mark, r.Marked = s.mark, s.marked
	case Grant:
		r.Lease = s.nextLease
		s.nextLease++
		s.leases[r.Lease] = now + LeaseTTL
	case Renew:
		if _, ok := s.leases[c.Lease]; !ok {
			r.Outcome = LeaseEnded
			break
		}
		s.leases[c.Lease] = now + LeaseTTL
	case Acquire:
		for _, name := range c.Shares {
			if k, ok := s.keys[name]; ok {
				r.Found[name], r.Outcome = k.value, Conflict
			}
		}
		if r.Outcome == Conflict {
			break
		}
		if _, ok := s.leases[c.Lease]; !ok {
			r.Outcome = LeaseEnded
			break
		}
		for _, name := range c.Shares {
			s.keys[name] = modelKey{value: c.Value, lease: c.Lease}
		}
		if c.Mark {
			s.mark, s.marked = c.Epoch, true
		}
	}
	return r
}

// modelCall is a call on its way.
type modelCall struct {
	call Call
	// arrivals are when the store executes the call: none if the request is lost, more
	// than one if it is replayed.
	arrivals []time.Duration
	// responseDelay is the delay of the first response; negative if it is lost.
	responseDelay time.Duration
	// result is set once the response is due, at respondAt.
	result    *Result
	respondAt time.Duration
	timeout   time.Duration
}

// injectFault loses, delays or replays the call.
func (m *model) injectFault(r *rand.Rand, c *modelCall) {
	switch r.IntN(6) {
	case 0:
		c.arrivals = nil
	case 1:
		c.responseDelay = -1
	case 2:
		c.arrivals[0] += randomDuration(r, 4*time.Second)
	case 3:
		c.responseDelay = randomDuration(r, 4*time.Second)
	case 4:
		c.arrivals = append(c.arrivals, m.now+tick+randomDuration(r, 16*time.Second))
	case 5:
		c.arrivals = []time.Duration{m.now + randomDuration(r, time.Second), m.now + time.Second + randomDuration(r, 16*time.Second)}
		c.responseDelay = randomDuration(r, time.Second)
	}
}

// modelHost is a host with its clock.
type modelHost struct {
	name        string
	permissions *Permissions
	// speed and offset determine the host's clock.
	speed    float64
	offset   time.Duration
	instance uint64
	call     *modelCall
	// pausedUntil is the end of the current pause or suspension.
	pausedUntil time.Duration
	nextView    time.Duration
	sent        int
	// limit is the number of opening packets that the host has to send per tick.
	limit int
}

// model simulates hosts that send as many opening packets as they may.
type model struct {
	now       time.Duration
	store     *modelStore
	hosts     []*modelHost
	processes []Process
	// warmAt is when each process is warm, and bornAt when it starts.
	bornAt, warmAt map[Process]time.Duration
	budget         int
	// arrivals are the opening packets that each process got.
	arrivals map[Process][]time.Duration
	// replays are calls that the store may still execute.
	replays []*modelCall
	// fault sets the faults of a new call; nil for none.
	fault func(h *modelHost, c *modelCall)
	// jitter returns the delay of a packet; nil for none.
	jitter func() time.Duration
	// hostNames returns the hosts that a host knows; nil for all.
	hostNames func(h *modelHost) []string
	// eager makes hosts try to get all shares all the time, so that they take over a share
	// as soon as the store allows it.
	eager bool
}

func newModel(hosts, processes, budget int, warmup time.Duration) *model {
	m := &model{store: newModelStore(), budget: budget, arrivals: map[Process][]time.Duration{}, bornAt: map[Process]time.Duration{}, warmAt: map[Process]time.Duration{}}
	for i := range processes {
		p := Process{Name: fmt.Sprintf("i-%02d", i), Started: 1}
		m.processes = append(m.processes, p)
		m.warmAt[p] = warmup
	}
	for i := range hosts {
		h := &modelHost{name: fmt.Sprintf("h-%03d", i), speed: 1, limit: 1 << 20}
		m.hosts = append(m.hosts, h)
		m.start(h)
	}
	return m
}

// start starts a process of the host that knows nothing.
func (m *model) start(h *modelHost) {
	h.instance++
	h.call, h.nextView = nil, m.now
	h.permissions = NewPermissions(Options{Host: h.name, Instance: h.instance, Now: func() time.Duration { return h.clock(m.now) }})
}

func (h *modelHost) clock(now time.Duration) time.Duration {
	return h.offset + time.Duration(float64(now)*h.speed)
}

// names returns the names of all hosts.
func (m *model) names() []string {
	var names []string
	for _, h := range m.hosts {
		names = append(names, h.name)
	}
	return names
}

// step advances the time by a tick.
func (m *model) step() {
	m.now += tick
	m.executeArrivals()
	for _, h := range m.hosts {
		if m.now >= h.pausedUntil {
			m.runHost(h)
		}
	}
}

// executeArrivals executes the calls that reach the store, also those whose hosts are
// paused or gone.
func (m *model) executeArrivals() {
	m.replays = slices.DeleteFunc(m.replays, func(c *modelCall) bool {
		for len(c.arrivals) > 0 && c.arrivals[0] <= m.now {
			c.arrivals = c.arrivals[1:]
			result := m.store.execute(m.now, &c.call)
			if c.result == nil && c.responseDelay >= 0 {
				c.result, c.respondAt = &result, m.now+c.responseDelay
			}
		}
		return len(c.arrivals) == 0
	})
}

func (m *model) runHost(h *modelHost) {
	if m.now >= h.nextView {
		m.updateView(h)
	}
	if c := h.call; c != nil {
		switch {
		case c.result != nil && m.now >= c.respondAt:
			h.permissions.Finish(&c.call, c.result)
			h.call = nil
		case m.now >= c.timeout:
			h.permissions.Finish(&c.call, &Result{})
			h.call = nil
		}
	}
	if m.eager {
		h.permissions.retryAt = 0
		for _, known := range h.permissions.processes {
			for i := range known.shares {
				known.shares[i].turn, known.shares[i].takenUntil = 0, 0
			}
		}
	}
	if h.call == nil {
		if call, _, ok := h.permissions.NextCall(); ok {
			c := &modelCall{call: call, arrivals: []time.Duration{m.now}, timeout: m.now + callTimeout}
			if m.fault != nil {
				m.fault(h, c)
			}
			h.call = c
			m.replays = append(m.replays, c)
		}
	}
	m.send(h)
}

func (m *model) updateView(h *modelHost) {
	var cold []ColdProcess
	for _, p := range m.processes {
		if m.now >= m.bornAt[p] && m.now < m.warmAt[p] {
			cold = append(cold, ColdProcess{Process: p, Budget: m.budget, Remaining: m.warmAt[p] - m.now})
		}
	}
	names := m.names()
	if m.hostNames != nil {
		names = m.hostNames(h)
	}
	h.permissions.SetView(cold, names, m.store.epoch)
	h.nextView = m.now + 300*time.Millisecond
}

// send sends the opening packets that the host may send.
func (m *model) send(h *modelHost) {
	left := h.limit
	for _, p := range m.processes {
		for left > 0 && h.permissions.Allows(p, m.budget) && h.permissions.Spend(p, m.budget) {
			left--
			m.deliver(h, p, m.now)
		}
	}
}

func (m *model) deliver(h *modelHost, p Process, at time.Duration) {
	h.sent++
	if m.jitter != nil {
		at += m.jitter()
	}
	m.arrivals[p] = append(m.arrivals[p], at)
}

// busiestSecond returns the largest number of opening packets that any process got within
// a second.
func (m *model) busiestSecond() int {
	busiest := 0
	for _, times := range m.arrivals {
		sorted := slices.Sorted(slices.Values(times))
		first := 0
		for i, at := range sorted {
			for at-sorted[first] >= time.Second {
				first++
			}
			busiest = max(busiest, i-first+1)
		}
	}
	return busiest
}

// randomDuration returns a random duration from 0 to below limit.
func randomDuration(r *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(limit)))
}
