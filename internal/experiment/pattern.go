package experiment

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/oatlatch/oatlatch/internal/flow/echo"
)

// Pattern is a named scenario of load or faults.
type Pattern struct {
	Name string
	// Help describes what happens.
	Help string
	// schedule schedules the events of the pattern.
	schedule func(*simulation)
}

const (
	// patternStart and patternEnd are the times of the run at which most patterns
	// start and end.
	patternStart = 10 * time.Second
	patternEnd   = 16 * time.Second
	// flapPeriod is the time between the starts of two outages of a flapping
	// upstream, and flapOutage the length of each outage.
	flapPeriod = 3 * time.Second
	// checkFailureTime is the time until routers withdraw a host that does not answer their
	// readiness checks.
	checkFailureTime = time.Second
	flapOutage       = 1500 * time.Millisecond
	// swingPeriod is the time in which the demand of a data centre rises and falls once, and
	// swingAmplitude the largest difference from its mean, as a fraction of it.
	swingPeriod    = 15 * time.Second
	swingAmplitude = 0.5
	// moveInterval is the time between two moves of callers, and one in movingFraction moves.
	moveInterval   = 4 * time.Second
	movingFraction = 3
	// greedyFlows is the number of flows of the greedy caller of each data centre, and
	// greedyPause the time from the end of one to the next.
	greedyFlows = 40
	greedyPause = 100 * time.Millisecond
)

// Patterns returns all patterns in the order in which they are listed.
func Patterns() []Pattern {
	return []Pattern{
		{"steady", "normal load without faults", func(*simulation) {}},
		{"swing", "the demand of each data centre rises and falls by half with a period of 15 s, out of phase with the others", swing},
		{"moving-callers", "a third of the callers is in another data centre every few seconds", movingCallers},
		{"burst", "1.7 times the normal load for six seconds", burst},
		{"overload", "2.2 times the normal load for six seconds, more than all slots can serve", overload},
		{"greedy-caller", "one caller in each data centre has forty flows for six seconds; its requests are not counted", greedyCaller},
		{"rolling-release", "upstreams are replaced by cold ones, one after the other", rollingRelease},
		{"scale-in", "a fifth of the upstreams is drained and stopped", scaleIn},
		{"zone-cut", "one data centre is cut off from the others for six seconds", zoneCut},
		{"overloaded-cut", "the same, after half of its upstreams have been stopped", overloadedCut},
		{"silent-upstreams", "a quarter of the upstreams stops responding", silentUpstreams},
		{"flapping", "two upstreams stop responding and recover, repeatedly", flapping},
		{"grey-upstreams", "two upstreams drop 40% of their requests", greyUpstreams},
		{"sinkhole", "a quarter of the upstreams answers each request with an error at once for eight seconds", sinkhole},
		{"grey-fleet", "a fifth of the upstreams answers 40% of its requests with an error for eight seconds", greyFleet},
		{"dark-many", "a fifth of the upstreams falls silent at once for five seconds", darkMany},
		{"mute", "a fifth of the upstreams runs requests without a response for six seconds", muteUpstreams},
		{"lossy-host", "one host loses a third of its packets to upstreams", lossyHost},
		{"slow-upstreams", "two upstreams are four times slower", slowUpstreams},
		{"route-moved", "all routes move to another service with upstreams of its own, and then the hosts restart one after the other", routeMoved},
		{"mass-restart", "all hosts are down for a second", massRestart},
		{"evacuate", "one data centre is evacuated for six seconds", evacuateOne},
		{"evacuate-overloaded", "the same, after half of the others' upstreams have been stopped", evacuateOverloaded},
		{"cold-zone-return", "one data centre is evacuated, all of its upstreams are replaced, and it returns cold", coldZoneReturn},
		{"power-loss", "all hosts are down for --outage, start one after the other within --start-spread, and know nothing for --start-delay", powerLoss},
	}
}

// Find returns the pattern with the given name.
func Find(name string) (Pattern, error) {
	for _, p := range Patterns() {
		if p.Name == name {
			return p, nil
		}
	}
	var names []string
	for _, p := range Patterns() {
		names = append(names, p.Name)
	}
	return Pattern{}, fmt.Errorf("unknown pattern %q: must be one of %v", name, names)
}

// Run simulates the pattern with hosts that choose upstreams by the policy.
func Run(p Pattern, policy echo.Policy, options Options) Result {
	sim := newSimulation(options, policy)
	sim.startCallers()
	sim.after(probeInterval, sim.runProbes)
	if policy == echo.SharedEstimates {
		sim.shareEstimates()
	}
	sim.shareEvidence()
	p.schedule(sim)
	sim.runEvents()
	result := sim.recorder.summarize(p.Name, policy.String())
	result.LateSYNs = sim.lateSYNs
	result.Balance = sim.balance.summarize(sim)
	for _, h := range sim.hosts {
		result.Ejections += h.ejections
		result.Suspicions += h.suspicions
	}
	return result
}

// startCallers starts the number of callers that keeps the fraction Options.Load of
// all slots busy on average. Of each ten callers, 10*persistentShare are persistent.
func (sim *simulation) startCallers() {
	o := &sim.options
	slots := float64(o.DataCentres * o.UpstreamsPerDataCentre * o.Slots)
	cycle := sim.options.ThinkTime + sim.options.ServiceTime + 4*callerDelay
	callers := int(o.Load * slots * float64(cycle) / float64(sim.options.ServiceTime))
	for i := range callers {
		sim.startCaller(i%o.DataCentres, float64(i%10) < 10*persistentShare)
	}
}

// swing changes the demand of the data centres in turn.
func swing(sim *simulation) {
	sim.demand = func(dc int, at time.Duration) float64 {
		phase := float64(at)/float64(swingPeriod) + float64(dc)/float64(sim.options.DataCentres)
		return 1 + swingAmplitude*math.Sin(2*math.Pi*phase)
	}
}

// movingCallers moves callers to another data centre. Their open flows go on there.
func movingCallers(sim *simulation) {
	for at := moveInterval; at < sim.options.Duration; at += moveInterval {
		sim.at(at, func() {
			for i, c := range sim.callers {
				if i%movingFraction == 0 {
					c.dc = (c.dc + 1) % sim.options.DataCentres
				}
			}
		})
	}
}

func burst(sim *simulation) {
	sim.at(patternStart, func() { sim.loadFactor = 1.7 })
	sim.at(patternEnd, func() { sim.loadFactor = 1 })
}

func overload(sim *simulation) {
	sim.at(patternStart, func() { sim.loadFactor = 2.2 })
	sim.at(patternEnd, func() { sim.loadFactor = 1 })
}

func greedyCaller(sim *simulation) {
	sim.at(patternStart, func() {
		for i := range greedyFlows * sim.options.DataCentres {
			dc := i % sim.options.DataCentres
			c := &caller{sim: sim, dc: dc, persistent: true, greedy: netip.AddrFrom4([4]byte{101, 0, 0, byte(dc)})}
			c.sendNext()
		}
	})
}

func rollingRelease(sim *simulation) {
	for i, u := range slices.Clone(sim.upstreams) {
		sim.at(5*time.Second+time.Duration(i)*time.Second, func() {
			sim.addUpstream(u.dc, true)
			sim.updateAllViews(propagationDelay)
			u.drainAndStop()
		})
	}
}

func scaleIn(sim *simulation) {
	sim.at(patternStart, func() {
		for i, u := range sim.upstreams {
			if i%5 == 0 {
				u.drainAndStop()
			}
		}
	})
}

func zoneCut(sim *simulation) {
	sim.at(patternStart, func() { sim.isolated[0] = true })
	sim.at(patternEnd, func() { sim.isolated[0] = false })
}

func overloadedCut(sim *simulation) {
	sim.at(3*time.Second, func() {
		for i, u := range sim.upstreams {
			if u.dc == 0 && i%2 == 0 {
				u.drainAndStop()
			}
		}
	})
	zoneCut(sim)
}

func silentUpstreams(sim *simulation) {
	sim.at(patternStart, func() {
		for i, u := range sim.upstreams {
			if i%4 == 0 {
				u.crash()
			}
		}
	})
}

func flapping(sim *simulation) {
	for cycle := range 4 {
		begin := patternStart + time.Duration(cycle)*flapPeriod
		for _, u := range sim.upstreams[:2] {
			sim.at(begin, func() { u.silent = true })
			sim.at(begin+flapOutage, func() { u.silent = false })
		}
	}
}

func greyUpstreams(sim *simulation) {
	for _, u := range sim.upstreams[:2] {
		sim.at(patternStart, func() { u.dropRate = 0.4 })
		sim.at(patternStart+10*time.Second, func() { u.dropRate = 0 })
	}
}

// disturb applies begin to every n-th upstream for the time, and then end.
func disturb(sim *simulation, n int, length time.Duration, begin, end func(*upstreamNode)) {
	for i, u := range sim.upstreams {
		if i%n == 0 {
			sim.at(patternStart, func() { begin(u) })
			sim.at(patternStart+length, func() { end(u) })
		}
	}
}

func sinkhole(sim *simulation) {
	disturb(sim, 4, 8*time.Second, func(u *upstreamNode) { u.errorRate = 1 }, func(u *upstreamNode) { u.errorRate = 0 })
}

func greyFleet(sim *simulation) {
	disturb(sim, 5, 8*time.Second, func(u *upstreamNode) { u.errorRate = 0.4 }, func(u *upstreamNode) { u.errorRate = 0 })
}

func darkMany(sim *simulation) {
	disturb(sim, 5, 5*time.Second, func(u *upstreamNode) { u.silent = true }, func(u *upstreamNode) { u.silent = false })
}

func muteUpstreams(sim *simulation) {
	disturb(sim, 5, 6*time.Second, func(u *upstreamNode) { u.muteRate = 1 }, func(u *upstreamNode) { u.muteRate = 0 })
}

func lossyHost(sim *simulation) {
	h := sim.hosts[0]
	sim.at(patternStart, func() { h.lossRate = 1.0 / 3 })
	sim.at(patternEnd, func() { h.lossRate = 0 })
}

func slowUpstreams(sim *simulation) {
	for _, u := range sim.upstreams[:2] {
		sim.at(patternStart, func() { u.slowdown = 4 })
		sim.at(patternStart+10*time.Second, func() { u.slowdown = 1 })
	}
}

func massRestart(sim *simulation) {
	for _, h := range sim.hosts {
		sim.at(patternStart, func() { h.down = true })
		sim.at(patternStart+time.Second, func() {
			h.down = false
			sim.startHost(h)
		})
	}
}

func powerLoss(sim *simulation) {
	o := &sim.options
	for i, h := range sim.hosts {
		start := patternStart + o.Outage + o.StartSpread*time.Duration(i)/time.Duration(len(sim.hosts))
		sim.at(patternStart, func() { h.down = true })
		sim.at(patternStart+min(o.Outage, checkFailureTime), func() { h.withdrawn = true })
		sim.at(start, func() {
			h.down = false
			sim.startEngine(h)
		})
		sim.at(start+o.StartDelay, func() {
			sim.updateView(h)
			h.withdrawn = false
		})
	}
}
