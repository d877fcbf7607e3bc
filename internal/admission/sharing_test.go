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

// policy is a way of sharing the slots of upstreams between hosts.
type policy string

const (
	// staticShares divides slots by host count.
	staticShares policy = "static"
	// lentShares lets a host borrow a free slot of another one.
	lentShares policy = "lent"
	// fullSlots lets every host use all slots; upstreams shed the excess.
	fullSlots policy = "full"
)

// load describes one simulated run.
type load struct {
	policy   policy
	hosts    int
	targets  int
	slots    int
	work     time.Duration
	deadline time.Duration
	// rate is the offered load as a fraction of the capacity of all slots.
	rate float64
	// skew is the fraction of requests that reach the first host beyond its share.
	skew  float64
	count int
	seed  uint64
}

// figures is what a simulated run measured.
type figures struct {
	// goodput is answers within the deadline as a fraction of capacity.
	goodput  float64
	p99      time.Duration
	excess   int
	attempts float64
	refused  float64
	maxQueue int
}

const (
	simulatedRoundTrip = 3 * time.Millisecond
	lendTries          = 2
)

// request is one simulated request.
type request struct {
	id       uint64
	host     int
	arrived  time.Time
	deadline time.Time
	queued   bool
	attempts int
}

// simulation runs schedulers of several hosts against upstreams with slots.
type simulation struct {
	load      load
	rand      *rand.Rand
	now       time.Time
	agenda    virtual.Agenda
	hosts     []*admission.Scheduler
	budgets   []*limit.RetryBudget
	requests  map[uint64]*request
	running   map[string]int
	excess    int
	attempts  int
	refused   int
	maxQueue  int
	latencies []time.Duration
	// slowness is the factor by which work at an upstream takes longer.
	slowness func(name string) float64
}

func (s *simulation) after(d time.Duration, do func()) {
	s.agenda.Add(s.now.Add(d), do)
}

func simulate(l load) figures { return newSimulation(l).run() }

func newSimulation(l load) *simulation {
	s := &simulation{
		load: l, rand: rand.New(rand.NewPCG(l.seed, 1)), now: time.Unix(0, 0),
		requests: make(map[uint64]*request), running: make(map[string]int),
		slowness: func(string) float64 { return 1 },
	}
	s.addHosts()
	return s
}

func (s *simulation) run() figures {
	mean := float64(s.load.work) / float64(s.load.targets*s.load.slots) / s.load.rate
	at := time.Duration(0)
	for id := range s.load.count {
		at += time.Duration(s.rand.ExpFloat64() * mean)
		s.after(at, func() { s.arrive(uint64(id)) })
	}
	end := s.now.Add(24 * time.Hour)
	for at, do, ok := s.agenda.Next(end); ok; at, do, ok = s.agenda.Next(end) {
		s.now = at
		do()
	}
	return s.figures(at)
}

func (s *simulation) addHosts() {
	for i := range s.load.hosts {
		s.hosts = append(s.hosts, admission.NewScheduler(admission.Options{
			Rand: rand.New(rand.NewPCG(s.load.seed, uint64(i)+2)), QueueLimit: 256, InitialEstimate: s.load.work,
		}))
		s.budgets = append(s.budgets, limit.NewRetryBudget(limit.DefaultRetryRatio))
	}
	s.share(1)
}

// share gives each host its slots, with the first target ramping.
func (s *simulation) share(ramp float64) {
	ids := make([]host.ID, s.load.hosts)
	for i := range ids {
		ids[i] = host.ID(fmt.Sprintf("entry-%d", i))
	}
	demands := make([]limit.Capacity, s.load.targets)
	for i := range demands {
		demands[i] = limit.Capacity{Slots: s.load.slots, Usable: s.load.slots}
	}
	demands[0].Usable = limit.RampSlots(s.load.slots, ramp)
	for i, id := range ids {
		shares := limit.NewGroup(id, ids, ids).Shares(0, demands)
		s.decideAll(s.hosts[i].Update(s.now, s.targets(demands, shares, ramp)))
	}
}

func (s *simulation) targets(demands []limit.Capacity, shares []int, ramp float64) []admission.Target {
	var targets []admission.Target
	for j, d := range demands {
		target := admission.Target{Name: fmt.Sprintf("target-%d", j), Slots: shares[j], Ramp: 1}
		if s.load.policy == fullSlots {
			target.Slots = d.Usable
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

func (s *simulation) arrive(id uint64) {
	at := s.rand.IntN(s.load.hosts)
	if s.rand.Float64() < s.load.skew {
		at = 0
	}
	r := &request{id: id, host: at, arrived: s.now, deadline: s.now.Add(s.load.deadline)}
	s.requests[id] = r
	s.budgets[at].RecordRequest()
	s.submit(r, nil)
}

func (s *simulation) submit(r *request, exclude []string) {
	decision := s.hosts[r.host].Submit(s.now, admission.Request{ID: r.id, Deadline: r.deadline, Exclude: exclude})
	s.decide(decision)
	s.maxQueue = max(s.maxQueue, s.hosts[r.host].QueueLength())
	if decision.Kind == admission.Granted || s.load.policy != lentShares {
		return
	}
	if decision.Kind == admission.Refused {
		s.refused--
	}
	s.borrow(r, lendTries)
}

// borrow asks a random other host for a slot, while the request waits.
func (s *simulation) borrow(r *request, tries int) {
	lender := (r.host + 1 + s.rand.IntN(s.load.hosts-1)) % s.load.hosts
	s.after(simulatedRoundTrip/2, func() {
		name, ok := s.hosts[lender].Lend(s.now, nil)
		s.after(simulatedRoundTrip/2, func() { s.lent(r, lender, name, ok, tries) })
	})
}

func (s *simulation) lent(r *request, lender int, name string, ok bool, tries int) {
	waiting := r.attempts == 0 && s.requests[r.id] != nil
	switch {
	case ok && waiting && (!r.queued || s.hosts[r.host].Cancel(r.id)):
		s.serve(r, name, func(time.Duration) {
			s.after(simulatedRoundTrip/2, func() { s.decideAll(s.hosts[lender].Release(s.now, name, 0)) })
		})
	case ok:
		s.decideAll(s.hosts[lender].Release(s.now, name, 0))
	case waiting && tries > 1:
		s.borrow(r, tries-1)
	case waiting && !r.queued:
		s.refused++
		delete(s.requests, r.id)
	}
}

func (s *simulation) decideAll(decisions []admission.Decision) {
	for _, d := range decisions {
		s.decide(d)
	}
}

func (s *simulation) decide(d admission.Decision) {
	r := s.requests[d.ID]
	switch d.Kind {
	case admission.Queued:
		r.queued = true
		s.after(d.GiveUp.Sub(s.now), func() {
			if r.queued && s.hosts[r.host].Cancel(r.id) {
				s.refuse(r)
			}
		})
	case admission.Refused:
		if r.queued || s.load.policy != lentShares {
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

// serve sends the request to the upstream, which sheds it when it is full.
func (s *simulation) serve(r *request, name string, done func(time.Duration)) {
	r.attempts++
	r.queued = false
	s.attempts++
	s.running[name]++
	s.excess = max(s.excess, s.running[name]-s.load.slots)
	if s.running[name] > s.load.slots {
		s.after(simulatedRoundTrip, func() { s.shed(r, name) })
		return
	}
	work := time.Duration(float64(s.load.work) * (0.5 + s.rand.ExpFloat64()/2) * s.slowness(name))
	s.after(work, func() {
		s.running[name]--
		s.latencies = append(s.latencies, s.now.Sub(r.arrived))
		delete(s.requests, r.id)
		if done != nil {
			done(work)
			return
		}
		s.decideAll(s.hosts[r.host].Release(s.now, name, work))
	})
}

func (s *simulation) shed(r *request, name string) {
	s.running[name]--
	decisions := s.hosts[r.host].ReleaseRefused(s.now, name)
	if r.attempts < 3 && s.budgets[r.host].TakeRetry() {
		s.submit(r, []string{name})
	} else {
		s.refuse(r)
	}
	s.decideAll(decisions)
}

func (s *simulation) figures(length time.Duration) figures {
	slices.Sort(s.latencies)
	good, _ := slices.BinarySearch(s.latencies, s.load.deadline+1)
	capacity := float64(length) / float64(s.load.work) * float64(s.load.targets*s.load.slots)
	f := figures{
		goodput:  float64(good) / capacity,
		excess:   s.excess,
		attempts: float64(s.attempts) / float64(s.load.count),
		refused:  float64(s.refused) / float64(s.load.count),
		maxQueue: s.maxQueue,
	}
	if len(s.latencies) > 0 {
		f.p99 = s.latencies[len(s.latencies)*99/100]
	}
	return f
}

// planStore is the smaller service of the users' deployments.
func planStore(p policy, rate, skew float64) load {
	return load{
		policy: p, hosts: 5, targets: 4, slots: 3, work: 50 * time.Millisecond,
		deadline: 500 * time.Millisecond, rate: rate, skew: skew, count: 12_000, seed: 7,
	}
}

func TestSharingPolicies(t *testing.T) {
	goodput := make(map[string]float64)
	for _, skew := range []float64{0, 0.3} {
		for _, rate := range []float64{0.7, 1, 2} {
			for _, p := range []policy{staticShares, lentShares, fullSlots} {
				f := simulate(planStore(p, rate, skew))
				goodput[fmt.Sprint(p, skew, rate)] = f.goodput
				t.Logf("skew %.1f load %.1f %-6s goodput %.3f p99 %v excess %d attempts %.3f refused %.3f queue %d",
					skew, rate, p, f.goodput, f.p99.Round(time.Millisecond), f.excess, f.attempts, f.refused, f.maxQueue)
				if p != fullSlots && f.excess > 0 {
					t.Errorf("%s exceeds the slots by %d while hosts agree", p, f.excess)
				}
			}
		}
		once, twice := goodput[fmt.Sprint(lentShares, skew, 1.0)], goodput[fmt.Sprint(lentShares, skew, 2.0)]
		if twice < 0.9*once {
			t.Errorf("skew %.1f: goodput %.3f at 2x, %.3f at 1x", skew, twice, once)
		}
		if static := goodput[fmt.Sprint(staticShares, skew, 1.0)]; once < static {
			t.Errorf("skew %.1f: lending brings %.3f, static shares %.3f", skew, once, static)
		}
	}
}
