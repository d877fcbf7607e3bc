package flow

import (
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/oatlatch/oatlatch/internal/health"
	"github.com/oatlatch/oatlatch/internal/service"
)

const (
	// reportTrust bounds how far a load report may move the host's own estimate.
	reportTrust = 0.15
	// toleratedBias is the long-run difference between reports and own counts
	// below which reports are taken as they are.
	toleratedBias = 0.12
	// calibrationSamples is the number of sweeps that a calibration remembers.
	calibrationSamples = 30
	// damping makes a change of rate count for more than it is, since every owner
	// reacts to the same reports.
	damping = 2
	// fastLife is how many seconds an assignment takes to show in load reports.
	fastLife = 5.0
	// slowLife is how many seconds tell the usual rate of assignments.
	slowLife = 15.0
	// trendLife is how many seconds of growth are taken for a trend.
	trendLife = 20.0
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
	usable := en.usable(t)
	for ref := range t.upstreams {
		u := &l.upstreams[ref]
		u.usable = usable[ref]
		u.state, u.ramp = health.Up, 1
		if int(ref) < len(en.active) {
			u.estimate = float64(en.active[ref]) / weights[ref]
		}
		if h, ok := en.health[t.upstreams[ref].name]; ok {
			u.state, u.ramp = h.State, h.Ramp
		}
		if e.drainOver(en, upstreamRef(ref)) {
			u.state = health.Gone
		}
	}
	e.applyReports(en, t, l)
	e.applyRecent(en, weights, l)
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

// applyReports replaces estimates by the load reports as far as these can be
// believed. The host's own counts are unbiased but noisy, the reports are exact
// but may be false: the long-run ratio between the two tells by how much. Own
// counts miss quiet flows and keep some that have ended, so they are scaled.
func (e *Engine) applyReports(en *entry, t *slotTable, l *loads) {
	claims := en.claims(t, l, e.now)
	scale := en.typicalRatio()
	if scale == 0 {
		return
	}
	for ref, claim := range claims {
		u := &l.upstreams[ref]
		u.estimate *= scale
		if claim == 0 {
			continue
		}
		c := en.calibrations[upstreamRef(ref)]
		if bias := c.mean / scale; c.samples > 0 && (bias < 1-toleratedBias || bias > 1+toleratedBias) {
			claim /= bias
		}
		u.estimate = min(max(claim, u.estimate*(1-reportTrust)), u.estimate*(1+reportTrust))
	}
}

// typicalRatio returns the median ratio of reports to own counts: most reports are honest.
func (en *entry) typicalRatio() float64 {
	var ratios []float64
	for _, c := range en.calibrations {
		ratios = append(ratios, c.mean)
	}
	if len(ratios) == 0 {
		return 0
	}
	slices.Sort(ratios)
	return ratios[len(ratios)/2]
}

// applyRecent adds what this owner has assigned too lately for a report to
// show, as far as it differs from before: a steady stream of new flows replaces
// flows that end. The other owners see the same loads and are taken to do the
// same.
func (e *Engine) applyRecent(en *entry, weights []float64, l *loads) {
	owners := float64(1 + len(e.peers()))
	elapsed := e.now.Sub(en.recentAt).Seconds()
	en.recentAt = e.now
	old := en.loads.Load()
	for len(en.recent) < len(weights) {
		en.recent = append(en.recent, recent{})
	}
	for ref := range l.upstreams {
		assigned := 0.0
		if old != nil && ref < len(old.counters) {
			assigned = float64(old.counters[ref].Load())
		}
		r := &en.recent[ref]
		r.add(assigned, elapsed)
		u := &l.upstreams[ref]
		u.perFlow = owners / weights[ref]
		u.estimate += damping * owners * r.surplus() / weights[ref]
	}
}

// recent has an owner's rates of assignment in flows a second, averaged over
// two decay times.
type recent struct {
	fast, slow float64
	// trend is the long-run mean of the difference.
	trend float64
}

func (r *recent) add(assigned, elapsed float64) {
	if elapsed <= 0 {
		return
	}
	rate := assigned / elapsed
	r.fast += (rate - r.fast) * (1 - math.Exp(-elapsed/fastLife))
	r.slow += (rate - r.slow) * (1 - math.Exp(-elapsed/slowLife))
	r.trend += (r.fast - r.slow - r.trend) * (1 - math.Exp(-elapsed/trendLife))
}

// surplus returns the assignments of the fast decay time beyond the usual.
func (r *recent) surplus() float64 {
	return (r.fast - r.slow - r.trend) * fastLife
}

// claims returns the reported flows for each unit of weight by reference, zero
// where there is no recent report or nothing to compare it with.
func (en *entry) claims(t *slotTable, l *loads, now time.Time) []float64 {
	claims := make([]float64, len(t.upstreams))
	for _, u := range en.configured.Upstreams {
		ref := t.find(u.PacketAddress)
		h, ok := en.health[u.Name]
		if ref == noUpstream || !ok || h.FlowLoad <= 0 || now.Sub(h.LoadAt) > reportLifetime || l.upstreams[ref].estimate == 0 {
			continue
		}
		claims[ref] = h.FlowLoad * float64(u.Connections) / float64(max(u.Weight, 1))
	}
	return claims
}

// calibration is the long-run ratio of an upstream's reports to the host's own counts.
type calibration struct {
	mean    float64
	samples int
}

// add averages the first samples and forgets older ones later.
func (c *calibration) add(ratio float64) {
	c.samples = min(c.samples+1, calibrationSamples)
	c.mean += (ratio - c.mean) / float64(c.samples)
}

// calibrate compares the reports with a complete sweep's counts.
func (e *Engine) calibrate(en *entry) {
	t := en.table.Load()
	l := en.loads.Load()
	weights := en.weights(t)
	claims := en.claims(t, l, e.now)
	for ref, claim := range claims {
		if claim == 0 || ref >= len(en.active) || en.active[ref] == 0 {
			continue
		}
		c := en.calibrations[upstreamRef(ref)]
		c.add(claim * weights[ref] / float64(en.active[ref]))
		en.calibrations[upstreamRef(ref)] = c
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
		usable[ref] = u.State != service.AdminDraining && en.mayTakeFlows(ref, u.Name, distrust)
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
