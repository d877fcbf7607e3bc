package admission_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/admission"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/limit"
	"github.com/oatlatch/oatlatch/internal/standin/virtual"
)

// sharingPolicy is a way of dividing the slots of upstreams among hosts.
type sharingPolicy string

const (
	// staticShares gives each host an equal, fixed share.
	staticShares sharingPolicy = "static"
	// lentShares also lets a host borrow a free slot of another one.
	lentShares sharingPolicy = "lent"
	// fullSlots lets every host use all slots; upstreams shed the excess.
	fullSlots sharingPolicy = "full"
)

// scenario holds the parameters of a simulation.
type scenario struct {
	policy  sharingPolicy
	hosts   int
	targets int
	// slots is the number of slots of each target.
	slots int
	// serviceTime is the mean service time without a slowdown.
	serviceTime time.Duration
	// deadline is the time from the arrival of a request to its deadline.
	deadline time.Duration
	// offeredLoad is the rate of requests as a fraction of the capacity of all slots.
	offeredLoad float64
	// skew is the fraction of requests that all go to the first host. The others are
	// spread evenly over all hosts.
	skew float64
	// requests is the number of requests.
	requests int
	seed     uint64
}

// measurements are the results of a simulation.
type measurements struct {
	// goodput is the rate of answers within the deadline as a fraction of capacity.
	goodput float64
	// p99 is the 99th percentile of the latency of answered requests.
	p99 time.Duration
	// excess is the largest number of concurrent requests at a target beyond its slots.
	excess int
	// attempts is the number of attempts per request.
	attempts float64
	// refused is the fraction of requests that were refused.
	refused float64
	// maxQueue is the length of the longest queue.
	maxQueue int
}

const (
	// simulatedRoundTrip is the round-trip time between hosts, and to targets.
	simulatedRoundTrip = 3 * time.Millisecond
	// maxLendRequests is the number of hosts asked for a slot for one request.
	maxLendRequests = 2
)

// request is a simulated request.
type request struct {
	id uint64
	// host is the index of the host that received it.
	host     int
	arrived  time.Time
	deadline time.Time
	queued   bool
	attempts int
}

// simulation is a discrete-event simulation of the schedulers of several hosts that
// send requests to the same targets.
type simulation struct {
	scenario scenario
	rand     *rand.Rand
	now      time.Time
	events   virtual.EventQueue
	// hosts and budgets hold the scheduler and the retry budget of each host.
	hosts   []*admission.Scheduler
	budgets []*limit.RetryBudget
	// requests holds the requests without an outcome, by ID.
	requests map[uint64]*request
	// running is the number of concurrent requests by target.
	running   map[string]int
	excess    int
	attempts  int
	refused   int
	maxQueue  int
	latencies []time.Duration
	// slowdown returns the factor by which requests at a target take longer.
	slowdown func(name string) float64
}

// after schedules do to run when d has passed on the virtual clock.
func (s *simulation) after(d time.Duration, do func()) {
	s.events.Schedule(s.now.Add(d), do)
}

// simulate runs a simulation of the scenario.
func simulate(sc scenario) measurements { return newSimulation(sc).run() }

func newSimulation(sc scenario) *simulation {
	s := &simulation{
		scenario: sc, rand: rand.New(rand.NewPCG(sc.seed, 1)), now: time.Unix(0, 0),
		requests: make(map[uint64]*request), running: make(map[string]int),
		slowdown: func(string) float64 { return 1 },
	}
	s.addHosts()
	return s
}

// run lets the requests arrive at random times, runs all events and returns the
// results.
func (s *simulation) run() measurements {
	mean := float64(s.scenario.serviceTime) / float64(s.scenario.targets*s.scenario.slots) / s.scenario.offeredLoad
	at := time.Duration(0)
	for id := range s.scenario.requests {
		at += time.Duration(s.rand.ExpFloat64() * mean)
		s.after(at, func() { s.arrive(uint64(id)) })
	}
	end := s.now.Add(24 * time.Hour)
	for at, do, ok := s.events.Next(end); ok; at, do, ok = s.events.Next(end) {
		s.now = at
		do()
	}
	return s.measure(at)
}

func (s *simulation) addHosts() {
	for i := range s.scenario.hosts {
		s.hosts = append(s.hosts, admission.NewScheduler(admission.Options{
			Rand: rand.New(rand.NewPCG(s.scenario.seed, uint64(i)+2)), QueueLimit: 256, InitialServiceTime: s.scenario.serviceTime,
		}))
		s.budgets = append(s.budgets, limit.NewRetryBudget(limit.DefaultRetryRatio))
	}
	s.assignSlots(1)
}

// assignSlots assigns the slots of all targets to the hosts, those of the first target
// reduced by the ramp.
func (s *simulation) assignSlots(ramp float64) {
	ids := make([]host.ID, s.scenario.hosts)
	for i := range ids {
		ids[i] = host.ID(fmt.Sprintf("entry-%d", i))
	}
	capacities := make([]limit.Capacity, s.scenario.targets)
	for i := range capacities {
		capacities[i] = limit.Capacity{Slots: s.scenario.slots, Usable: s.scenario.slots}
	}
	capacities[0].Usable = limit.RampSlots(s.scenario.slots, ramp)
	for i, id := range ids {
		shares := limit.NewGroup(id, ids, ids).Shares(0, capacities)
		s.applyAll(s.hosts[i].Update(s.now, s.targets(capacities, shares, ramp)))
	}
}

// targets returns the targets of a host with the given shares of their slots.
func (s *simulation) targets(capacities []limit.Capacity, shares []int, ramp float64) []admission.Target {
	var targets []admission.Target
	for j, capacity := range capacities {
		target := admission.Target{Name: fmt.Sprintf("target-%d", j), Slots: shares[j], Ramp: 1}
		if s.scenario.policy == fullSlots {
			target.Slots = capacity.Usable
		}
		if j == 0 {
			target.Ramp = ramp
		}
		if target.Slots > 0 {
			targets = append(targets, target)
		}
	}
	return targets
}

// arrive receives a request at a host.
func (s *simulation) arrive(id uint64) {
	hostIndex := s.rand.IntN(s.scenario.hosts)
	if s.rand.Float64() < s.scenario.skew {
		hostIndex = 0
	}
	r := &request{id: id, host: hostIndex, arrived: s.now, deadline: s.now.Add(s.scenario.deadline)}
	s.requests[id] = r
	s.budgets[hostIndex].RecordRequest()
	s.submit(r, nil)
}

// submit passes a request to its host's scheduler. If that grants no slot and the
// policy allows it, the host tries to borrow one.
func (s *simulation) submit(r *request, exclude []string) {
	decision := s.hosts[r.host].Submit(s.now, admission.Request{ID: r.id, Deadline: r.deadline, Exclude: exclude})
	s.apply(decision)
	s.maxQueue = max(s.maxQueue, s.hosts[r.host].QueueLength())
	if decision.Kind == admission.Granted || s.scenario.policy != lentShares {
		return
	}
	if decision.Kind == admission.Refused {
		s.refused--
	}
	s.borrow(r, maxLendRequests)
}

// borrow asks a random other host for a slot.
func (s *simulation) borrow(r *request, requestsLeft int) {
	lender := (r.host + 1 + s.rand.IntN(s.scenario.hosts-1)) % s.scenario.hosts
	s.after(simulatedRoundTrip/2, func() {
		name, ok := s.hosts[lender].Lend(s.now, nil)
		s.after(simulatedRoundTrip/2, func() { s.handleLendReply(r, lender, name, ok, requestsLeft) })
	})
}

// handleLendReply sends the request on the lent slot, or returns the slot if the
// request no longer needs it. Without a slot it tries another host.
func (s *simulation) handleLendReply(r *request, lender int, name string, ok bool, requestsLeft int) {
	waiting := r.attempts == 0 && s.requests[r.id] != nil
	switch {
	case ok && waiting && (!r.queued || s.hosts[r.host].Cancel(r.id)):
		s.serve(r, name, func(time.Duration) {
			s.after(simulatedRoundTrip/2, func() { s.applyAll(s.hosts[lender].Release(s.now, name, 0)) })
		})
	case ok:
		s.applyAll(s.hosts[lender].Release(s.now, name, 0))
	case waiting && requestsLeft > 1:
		s.borrow(r, requestsLeft-1)
	case waiting && !r.queued:
		s.refused++
		delete(s.requests, r.id)
	}
}

func (s *simulation) applyAll(decisions []admission.Decision) {
	for _, d := range decisions {
		s.apply(d)
	}
}

// apply carries out a decision of a scheduler.
func (s *simulation) apply(d admission.Decision) {
	r := s.requests[d.ID]
	switch d.Kind {
	case admission.Queued:
		r.queued = true
		s.after(d.QueueDeadline.Sub(s.now), func() {
			if r.queued && s.hosts[r.host].Cancel(r.id) {
				s.refuse(r)
			}
		})
	case admission.Refused:
		if r.queued || s.scenario.policy != lentShares {
			delete(s.requests, r.id)
		}
		r.queued = false
		s.refused++
	case admission.Granted:
		r.queued = false
		s.serve(r, d.Upstream, nil)
	}
}

func (s *simulation) refuse(r *request) {
	s.refused++
	delete(s.requests, r.id)
}

// serve sends the request to a target, which sheds it if all slots are in use. When
// the request ends, done is called, or the slot is released at its host if done is nil.
func (s *simulation) serve(r *request, name string, done func(time.Duration)) {
	r.attempts++
	r.queued = false
	s.attempts++
	s.running[name]++
	s.excess = max(s.excess, s.running[name]-s.scenario.slots)
	if s.running[name] > s.scenario.slots {
		s.after(simulatedRoundTrip, func() { s.shed(r, name) })
		return
	}
	duration := time.Duration(float64(s.scenario.serviceTime) * (0.5 + s.rand.ExpFloat64()/2) * s.slowdown(name))
	s.after(duration, func() {
		s.running[name]--
		s.latencies = append(s.latencies, s.now.Sub(r.arrived))
		delete(s.requests, r.id)
		if done != nil {
			done(duration)
			return
		}
		s.applyAll(s.hosts[r.host].Release(s.now, name, duration))
	})
}

// shed handles a request that a target refused: it is retried at another target within
// the retry budget.
func (s *simulation) shed(r *request, name string) {
	s.running[name]--
	decisions := s.hosts[r.host].ReleaseRefused(s.now, name)
	if r.attempts < 3 && s.budgets[r.host].TakeRetry() {
		s.submit(r, []string{name})
	} else {
		s.refuse(r)
	}
	s.applyAll(decisions)
}

// measure returns the results of a simulation whose requests arrived over duration.
func (s *simulation) measure(duration time.Duration) measurements {
	slices.Sort(s.latencies)
	good, _ := slices.BinarySearch(s.latencies, s.scenario.deadline+1)
	capacity := float64(duration) / float64(s.scenario.serviceTime) * float64(s.scenario.targets*s.scenario.slots)
	m := measurements{
		goodput:  float64(good) / capacity,
		excess:   s.excess,
		attempts: float64(s.attempts) / float64(s.scenario.requests),
		refused:  float64(s.refused) / float64(s.scenario.requests),
		maxQueue: s.maxQueue,
	}
	if len(s.latencies) > 0 {
		m.p99 = s.latencies[len(s.latencies)*99/100]
	}
	return m
}

// planStoreScenario models the smaller service of the users' deployments.
func planStoreScenario(policy sharingPolicy, offeredLoad, skew float64) scenario {
	return scenario{
		policy: policy, hosts: 5, targets: 4, slots: 3, serviceTime: 50 * time.Millisecond,
		deadline: 500 * time.Millisecond, offeredLoad: offeredLoad, skew: skew, requests: 12_000, seed: 7,
	}
}

func TestSharingPolicies(t *testing.T) {
	goodput := make(map[string]float64)
	for _, skew := range []float64{0, 0.3} {
		for _, offeredLoad := range []float64{0.7, 1, 2} {
			for _, policy := range []sharingPolicy{staticShares, lentShares, fullSlots} {
				m := simulate(planStoreScenario(policy, offeredLoad, skew))
				goodput[fmt.Sprint(policy, skew, offeredLoad)] = m.goodput
				t.Logf("skew %.1f load %.1f %-6s goodput %.3f p99 %v excess %d attempts %.3f refused %.3f queue %d",
					skew, offeredLoad, policy, m.goodput, m.p99.Round(time.Millisecond), m.excess, m.attempts, m.refused, m.maxQueue)
				if policy != fullSlots && m.excess > 0 {
					t.Errorf("policy %s: a target got %d requests more than it has slots, although the hosts agree", policy, m.excess)
				}
			}
		}
		atCapacity, atDouble := goodput[fmt.Sprint(lentShares, skew, 1.0)], goodput[fmt.Sprint(lentShares, skew, 2.0)]
		if atDouble < 0.9*atCapacity {
			t.Errorf("skew %.1f: goodput %.3f at an offered load of 2, less than 0.9 of the %.3f at 1", skew, atDouble, atCapacity)
		}
		if static := goodput[fmt.Sprint(staticShares, skew, 1.0)]; atCapacity < static {
			t.Errorf("skew %.1f: goodput %.3f with lending, less than the %.3f with static shares", skew, atCapacity, static)
		}
	}
}
