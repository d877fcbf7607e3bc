package experiment

import (
	"slices"
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

const (
	// evacuationLimit is how long after the request a SYN may still reach the data centre:
	// the time until hosts know, and that of packets which they forwarded before.
	evacuationLimit = propagationDelay + 10*time.Millisecond
	// quietDelay is the time until hosts receive a change when no feed is behind. With
	// propagationDelay, upstreams would be half warm before the first host knows of them.
	quietDelay = 100 * time.Millisecond
	// coldStop is the time of the run at which the upstreams of an emptied data centre
	// stop, coldStart the one at which new ones start, after the drain of the old ones, and
	// coldReturn the one at which the data centre is used again.
	coldStop   = 5 * time.Second
	coldStart  = 14 * time.Second
	coldReturn = coldStart + 800*time.Millisecond
)

// evacuate asks hosts to send nothing more to the data centre.
func (sim *simulation) evacuate(dc int) {
	sim.evacuated[dc] = sim.now
	sim.updateAllViews(propagationDelay)
}

// withdrawEvacuation lets hosts use the data centre again.
func (sim *simulation) withdrawEvacuation(dc int) {
	delete(sim.evacuated, dc)
	sim.updateAllViews(quietDelay)
}

// evacuations returns the evacuated data centres for the hosts' views.
func (sim *simulation) evacuations() []catalog.Evacuation {
	if sim.options.ignoreEvacuations {
		return nil
	}
	var all []catalog.Evacuation
	for dc := range sim.options.DataCentres {
		if since, ok := sim.evacuated[dc]; ok {
			all = append(all, catalog.Evacuation{DataCentre: dataCentreName(dc), Since: since})
		}
	}
	return all
}

// countLateSYN counts a SYN that reaches an upstream whose data centre has been evacuated
// for longer than evacuationLimit.
func (sim *simulation) countLateSYN(u *upstreamNode) {
	if since, ok := sim.evacuated[u.dc]; ok && sim.now.Sub(since) > evacuationLimit {
		sim.lateSYNs++
	}
}

// evacuateOne evacuates a data centre for six seconds.
func evacuateOne(sim *simulation) {
	sim.at(patternStart, func() { sim.evacuate(0) })
	sim.at(patternEnd, func() { sim.withdrawEvacuation(0) })
}

// evacuateOverloaded evacuates a data centre although the others lack slots.
func evacuateOverloaded(sim *simulation) {
	sim.at(3*time.Second, func() {
		for i, u := range sim.upstreams {
			if u.dc != 0 && i%2 == 0 {
				u.drainAndStop()
			}
		}
	})
	evacuateOne(sim)
}

// coldZoneReturn evacuates a data centre, replaces all of its upstreams and withdraws the
// evacuation once the new ones are there, all of them cold.
func coldZoneReturn(sim *simulation) {
	sim.at(coldStop-time.Second, func() { sim.evacuate(0) })
	for _, u := range slices.Clone(sim.upstreams) {
		if u.dc == 0 {
			sim.at(coldStop, u.drainAndStop)
			sim.at(coldStart, func() { sim.addUpstream(u.dc, true) })
		}
	}
	sim.at(coldStart, func() { sim.updateAllViews(quietDelay) })
	sim.at(coldReturn, func() { sim.withdrawEvacuation(0) })
}
