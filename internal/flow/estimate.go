package flow

import (
	"sync/atomic"
	"time"

	"github.com/oatlatch/oatlatch/internal/health"
)

const (
	// reportTrust bounds how far a load report may move the host's own estimate:
	// reports lag and may be wrong, while any host sees packets of most flows.
	reportTrust = 0.05
	// reportLifetime is the age at which a load report counts no more.
	reportLifetime = 15 * time.Second
	// panicShare is the share of suspect upstreams from which suspicion is ignored.
	panicShare = 0.5
)

// publishLoads computes the loads that choices use from the host's own counts,
// the health view and the load reports.
func (e *Engine) publishLoads(en *entry) {
	t := en.table.Load()
	l := &loads{
		upstreams: make([]upstreamLoad, len(t.upstreams)),
		counters:  make([]atomic.Uint32, len(t.upstreams)),
		threshold: en.configured.DeviationThreshold,
	}
	weights := en.weights(t)
	for ref := range t.upstreams {
		u := &l.upstreams[ref]
		u.state, u.ramp = health.Up, 1
		if int(ref) < len(en.active) {
			u.estimate = float64(en.active[ref]) / weights[ref]
		}
		u.perFlow = 1 / weights[ref]
		if h, ok := en.health[t.upstreams[ref].name]; ok {
			u.state, u.ramp = h.State, h.Ramp
		}
		if e.drainOver(en, upstreamRef(ref)) {
			u.state = health.Gone
		}
	}
	e.applyReports(en, t, l)
	en.loads.Store(l)
}

// weights returns the weights of the upstreams by reference.
func (en *entry) weights(t *slotTable) []float64 {
	weights := make([]float64, len(t.upstreams))
	for ref := range weights {
		weights[ref] = 1
	}
	for _, u := range en.configured.Upstreams {
		if ref := t.find(u.PacketAddress); ref != noUpstream {
			weights[ref] = float64(max(u.Weight, 1))
		}
	}
	return weights
}

// applyReports moves the estimates towards the load reports, within reportTrust.
func (e *Engine) applyReports(en *entry, t *slotTable, l *loads) {
	var own, reported float64
	fresh := make([]bool, len(t.upstreams))
	for ref := range t.upstreams {
		h, ok := en.health[t.upstreams[ref].name]
		if !ok || h.Load <= 0 || e.now.Sub(h.LoadAt) > reportLifetime || l.upstreams[ref].estimate == 0 {
			continue
		}
		fresh[ref] = true
		own += l.upstreams[ref].estimate
		reported += h.Load
	}
	if own == 0 || reported == 0 {
		return
	}
	for ref := range t.upstreams {
		if !fresh[ref] {
			continue
		}
		u := &l.upstreams[ref]
		claim := en.health[t.upstreams[ref].name].Load / reported * own
		u.estimate = min(max(claim, u.estimate*(1-reportTrust)), u.estimate*(1+reportTrust))
	}
}

// drainOver reports whether a draining upstream has reached the operator's limit.
func (e *Engine) drainOver(en *entry, ref upstreamRef) bool {
	since, ok := en.drainingSince[ref]
	limit := en.configured.DrainLimit
	return ok && limit > 0 && e.now.Sub(since) > limit
}

// usable reports by reference which upstreams may take new flows.
func (en *entry) usable(t *slotTable) []bool {
	usable := make([]bool, len(t.upstreams))
	configured, suspect := 0, 0
	for _, u := range en.configured.Upstreams {
		if h, ok := en.health[u.Name]; ok && h.State == health.Suspect {
			suspect++
		}
		configured++
	}
	distrust := float64(suspect) > panicShare*float64(configured)
	for _, u := range en.configured.Upstreams {
		ref := t.find(u.PacketAddress)
		if ref == noUpstream {
			continue
		}
		usable[ref] = en.mayTakeFlows(ref, u.Name, distrust)
	}
	return usable
}

func (en *entry) mayTakeFlows(ref upstreamRef, name string, distrustSuspicion bool) bool {
	if _, ok := en.excluded[ref]; ok {
		return false
	}
	h, ok := en.health[name]
	if !ok {
		return true
	}
	switch h.State {
	case health.Draining, health.Gone:
		return false
	case health.Suspect:
		return distrustSuspicion
	}
	return true
}
