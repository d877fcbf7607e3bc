package experiment

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/evidence"
	"github.com/oatlatch/oatlatch/internal/flow/echo"
	"github.com/oatlatch/oatlatch/internal/standin/virtual"
)

// runStart is the virtual time at which each run starts.
var runStart = time.Unix(1_000_000, 0)

const (
	serviceName = "desk"
	// propagationDelay is the time until hosts receive a change to the upstreams.
	propagationDelay = time.Second
	// registrationTTL is the time until the registration of a crashed upstream
	// expires.
	registrationTTL = 3 * time.Second
	// probeInterval is the interval at which hosts probe suspected upstreams.
	probeInterval = 100 * time.Millisecond
	// connectTimeout is the time after which a probe has failed to reach an upstream.
	connectTimeout = 100 * time.Millisecond
)

// Virtual addresses of requests that may be repeated and of those that may not.
var (
	repeatableAddress    = netip.MustParseAddrPort("198.18.0.1:443")
	nonRepeatableAddress = netip.MustParseAddrPort("198.18.0.2:443")
)

// simulation is the state of one run.
type simulation struct {
	options   Options
	policy    echo.Policy
	random    *rand.Rand
	events    virtual.EventQueue
	now       time.Time
	hosts     []*hostNode
	upstreams []*upstreamNode
	byID      map[catalog.UpstreamID]*upstreamNode
	// isolated holds the indexes of the data centres that are cut off from the
	// others.
	isolated map[int]bool
	// evacuated holds the indexes of the evacuated data centres, with the time of the
	// request. lateSYNs is the number of SYNs that reached them too late.
	evacuated map[int]time.Time
	lateSYNs  int
	// flowsOpened is the number of flows opened so far. The source address of a
	// flow is derived from it.
	flowsOpened int
	// loadFactor divides the think times of callers; 1 is the normal load.
	loadFactor float64
	// demand, if set, is the factor of the demand of a data centre at a time of the run.
	demand     func(dc int, at time.Duration) float64
	callers    []*caller
	recorder   *recorder
	balance    balance
	configured configuration
	// measurement is nil, except in runs that a bound is computed for.
	measurement *measurement
}

// hostNode is a simulated entry host.
type hostNode struct {
	name string
	// dc is the index of the host's data centre.
	dc     int
	engine *echo.Engine
	// pendingAtPeers is the number of pending requests of the other hosts of the
	// data centre, by upstream, at the last exchange of estimates.
	pendingAtPeers map[catalog.UpstreamID]int
	// held are the packets that wait for the host's first view.
	held []func()
	// waiting are the SYNs that wait for a slot; the functions execute the decisions on
	// them. admitting is set while the host looks for those that can be admitted.
	waiting   map[waitingSYN]func(*echo.Decision)
	admitting bool
	// down is set while the host forwards nothing, withdrawn while routers send it
	// no packets.
	down, withdrawn bool
	// lossRate is the fraction of the host's packets to upstreams that are lost.
	lossRate float64
	// ejections and suspicions are the numbers of times that the host has ejected and
	// suspected an upstream.
	ejections, suspicions int
}

// newSimulation returns a simulation with upstreams and running hosts, but without
// callers.
func newSimulation(options Options, policy echo.Policy) *simulation {
	sim := &simulation{
		options: options, policy: policy, random: rand.New(rand.NewPCG(options.Seed, 1)), now: runStart,
		byID: make(map[catalog.UpstreamID]*upstreamNode), isolated: make(map[int]bool), evacuated: make(map[int]time.Time), loadFactor: 1, recorder: newRecorder(options.Objective),
		configured: newConfiguration(),
	}
	for dc := range options.DataCentres {
		for range options.UpstreamsPerDataCentre {
			sim.addUpstream(dc, false)
		}
		for i := range options.HostsPerDataCentre {
			h := &hostNode{name: fmt.Sprintf("%s-%d", dataCentreName(dc), i), dc: dc}
			sim.hosts = append(sim.hosts, h)
			sim.startHost(h)
		}
	}
	return sim
}

// dataCentreName returns the name of the data centre with the index.
func dataCentreName(dc int) string { return fmt.Sprintf("site-%c", 'a'+rune(dc)) }

// after schedules a function to run after a delay in virtual time.
func (sim *simulation) after(delay time.Duration, run func()) {
	sim.events.Schedule(sim.now.Add(delay), run)
}

// at schedules a function at a time measured from the start of the run.
func (sim *simulation) at(t time.Duration, run func()) { sim.events.Schedule(runStart.Add(t), run) }

// runEvents runs the scheduled functions in order of time. It stops when none is
// left, or ten seconds of virtual time after callers have stopped sending requests.
func (sim *simulation) runEvents() {
	until := runStart.Add(sim.options.Duration + 10*time.Second)
	for {
		at, run, ok := sim.events.Next(until)
		if !ok {
			return
		}
		sim.balance.advance(sim, at)
		sim.measurement.advance(at)
		sim.now = at
		run()
	}
}

// startHost gives the host a new engine without flows and the current view.
func (sim *simulation) startHost(h *hostNode) {
	sim.startEngine(h)
	sim.updateView(h)
}

// startEngine gives the host a new engine without flows or a view. The host holds
// packets until it has a view.
func (sim *simulation) startEngine(h *hostNode) {
	h.waiting, h.admitting = make(map[waitingSYN]func(*echo.Decision)), false
	h.engine = echo.New(echo.Options{
		DataCentre: dataCentreName(h.dc), Seed: sim.random.Uint64(), Policy: sim.policy, Without: sim.options.Without,
		ActualLoad:         func(id catalog.UpstreamID) float64 { return sim.actualLoad(h, id) },
		OutstandingAtPeers: func(id catalog.UpstreamID) int { return h.pendingAtPeers[id] },
		OnEvent: func(event echo.Event) {
			switch event.Kind {
			case echo.Ejected:
				h.ejections++
			case echo.Suspected:
				h.suspicions++
				sim.after(0, func() { sim.probeDue(h) })
			}
		},
	})
}

// actualLoad returns the load of an upstream as echo.AllKnowing sees it: the number
// of its requests relative to its capacity, or infinity if the host can't reach it.
// The small addition for other data centres makes local upstreams win ties.
func (sim *simulation) actualLoad(h *hostNode, id catalog.UpstreamID) float64 {
	u := sim.byID[id]
	if u.silent || u.errorRate > 0 || u.muteRate > 0 || sim.partitioned(h.dc, u.dc) {
		return math.Inf(1)
	}
	load := float64(u.running+len(u.queue)) / (float64(u.slots) / u.serviceTimeFactor(sim.now))
	if u.dc != h.dc {
		load += 0.01
	}
	return load
}

// partitioned reports whether two data centres can't reach each other.
func (sim *simulation) partitioned(a, b int) bool {
	return a != b && (sim.isolated[a] || sim.isolated[b])
}

// updateView gives the host the configuration and the current upstreams.
func (sim *simulation) updateView(h *hostNode) {
	view := sim.configured.view(sim)
	for _, other := range sim.hosts {
		view.Hosts = append(view.Hosts, catalog.Host{Name: other.name})
	}
	for _, u := range sim.upstreams {
		if !u.unlisted {
			view.Upstreams = append(view.Upstreams, u.catalogEntry(sim.now))
		}
	}
	view.Evacuations = sim.evacuations()
	h.engine.SetView(sim.now, view)
	held := h.held
	h.held = nil
	for _, decide := range held {
		decide()
	}
}

// updateAllViews updates the views of all running hosts after a delay.
func (sim *simulation) updateAllViews(delay time.Duration) {
	sim.after(delay, func() {
		for _, h := range sim.hosts {
			if !h.down {
				sim.updateView(h)
			}
		}
	})
}

// selectHost returns the host to which routers send the packets of a flow. It uses
// rendezvous hashing over the candidates of the caller's data centre.
func (sim *simulation) selectHost(dc int, source netip.AddrPort) *hostNode {
	var best *hostNode
	var highest uint64
	for _, h := range sim.candidates(dc) {
		if score := hash(uint64(source.Port()), h.name); best == nil || score > highest {
			best, highest = h, score
		}
	}
	return best
}

// candidates returns the hosts to which routers may send packets of a data centre's callers:
// its hosts in rotation, or all its hosts if fewer than half are in rotation.
func (sim *simulation) candidates(dc int) []*hostNode {
	var all, inRotation []*hostNode
	for _, h := range sim.hosts {
		if h.dc != dc {
			continue
		}
		all = append(all, h)
		if !h.withdrawn {
			inRotation = append(inRotation, h)
		}
	}
	if 2*len(inRotation) < len(all) {
		return all
	}
	return inRotation
}

// reachesLiveHost reports whether a packet of a caller of the data centre can reach a live
// host.
func (sim *simulation) reachesLiveHost(dc int) bool {
	return slices.ContainsFunc(sim.candidates(dc), func(h *hostNode) bool { return !h.down })
}

// hash returns a hash of a number and a name, as a score for rendezvous hashing.
func hash(number uint64, name string) uint64 {
	h := number*0x9e3779b97f4a7c15 + 0x1234567
	for _, c := range []byte(name) {
		h = (h ^ uint64(c)) * 0x100000001b3
	}
	return h ^ h>>29
}

// runProbes probes the upstreams that hosts suspect of a failure, and schedules the
// next round of probes while callers send requests.
func (sim *simulation) runProbes() {
	for _, h := range sim.hosts {
		sim.probeDue(h)
	}
	if sim.now.Before(runStart.Add(sim.options.Duration)) {
		sim.after(probeInterval, sim.runProbes)
	}
}

// probeDue probes the upstreams that the host suspects and that are due.
func (sim *simulation) probeDue(h *hostNode) {
	engine := h.engine
	for _, p := range engine.DueProbes(sim.now) {
		if u := sim.byID[p.Upstream]; !u.silent && !sim.partitioned(h.dc, u.dc) && !h.down {
			engine.ProbeSucceeded(sim.now, p.Upstream)
			continue
		}
		sim.after(connectTimeout, func() { engine.ProbeFailed(p.Upstream, true) })
	}
}

// shareEstimates tells each host the pending requests of the other hosts of its
// data centre, and schedules the next exchange while callers send requests.
func (sim *simulation) shareEstimates() {
	learned := make([]map[catalog.UpstreamID]int, len(sim.hosts))
	for i := range sim.hosts {
		learned[i] = make(map[catalog.UpstreamID]int)
	}
	for _, h := range sim.hosts {
		if h.down {
			continue
		}
		pending := h.engine.OutstandingRequests()
		for i, other := range sim.hosts {
			if other == h || other.dc != h.dc {
				continue
			}
			for id, n := range pending {
				learned[i][id] += n
			}
		}
	}
	sim.after(sim.options.KnowledgeAge, func() {
		for i, h := range sim.hosts {
			h.pendingAtPeers = learned[i]
		}
	})
	if sim.now.Before(runStart.Add(sim.options.Duration)) {
		sim.after(sim.options.ShareInterval, sim.shareEstimates)
	}
}

// shareEvidence gives the hosts of each part of the network the sums of their evidence, and
// schedules the next exchange while callers send requests.
func (sim *simulation) shareEvidence() {
	parts := make(map[int][]*hostNode)
	for _, h := range sim.hosts {
		part := -1 // of all data centres that are not cut off
		if sim.isolated[h.dc] {
			part = h.dc
		}
		if !h.down {
			parts[part] = append(parts[part], h)
		}
	}
	for _, part := range slices.Sorted(maps.Keys(parts)) {
		sim.shareEvidenceAmong(parts[part])
	}
	if sim.now.Before(runStart.Add(sim.options.Duration)) {
		sim.after(evidenceInterval, sim.shareEvidence)
	}
}

// shareEvidenceAmong gives the hosts the sums of their evidence.
func (sim *simulation) shareEvidenceAmong(hosts []*hostNode) {
	node := evidence.NewNode()
	for _, ask := range []bool{false, true} {
		// In the second round, hosts add what they know of upstreams in question.
		inQuestion := make(map[catalog.UpstreamID]struct{})
		if ask {
			inQuestion = node.InQuestion(sim.now)
		}
		for _, h := range hosts {
			node.AddReport(sim.now, h.name, evidence.Report{Entries: h.engine.Evidence(sim.now, inQuestion), Depth: 1})
		}
	}
	total := node.Subtree(sim.now, nil, "")
	sim.after(evidenceDelay, func() {
		for _, h := range hosts {
			if !h.down {
				h.engine.SetEvidence(sim.now, total.Entries)
			}
		}
	})
}

// logNormal returns a log-normally distributed duration with the given mean; sigma
// is the standard deviation of its logarithm.
func (sim *simulation) logNormal(mean time.Duration, sigma float64) time.Duration {
	return time.Duration(float64(mean) * math.Exp(sigma*sim.random.NormFloat64()-sigma*sigma/2))
}

// exponential returns an exponentially distributed duration with the given mean.
func (sim *simulation) exponential(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * sim.random.ExpFloat64())
}
