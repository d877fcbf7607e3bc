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
	// maxReportCorrection is the largest relative change that a load report may make
	// to the host's own estimate.
	maxReportCorrection = 0.15
	// toleratedBias is the long-run relative difference between reports and the
	// host's own counts up to which reports are used uncorrected.
	toleratedBias = 0.12
	// calibrationSamples is the number of sweeps that a calibration averages over.
	calibrationSamples = 30
	// surplusFactor multiplies a surplus of assignments. It is greater than 1 to damp
	// oscillation, because all owners react to the same reports.
	surplusFactor = 2
	// fastTimeConstant is the time in seconds until an assignment shows in load reports.
	fastTimeConstant = 5.0
	// slowTimeConstant is the time in seconds over which the usual rate of
	// assignments is averaged.
	slowTimeConstant = 15.0
	// trendTimeConstant is the time in seconds after which a lasting difference of
	// the two rates counts as a trend.
	trendTimeConstant = 20.0
	// maxReportAge is the age above which a load report is ignored.
	maxReportAge = 15 * time.Second
	// panicThreshold is the share of suspect upstreams above which suspicion is
	// ignored and suspect upstreams take new flows.
	panicThreshold = 0.5
)

// publishLoads computes the loads that Decide compares from the host's own flow
// counts, the health view and the load reports.
func (e *Engine) publishLoads(svc *serviceState) {
	t := svc.table.Load()
	l := &loads{
		upstreams: make([]upstreamLoad, len(t.upstreams)),
		newFlows:  make([]atomic.Uint32, len(t.upstreams)),
		threshold: svc.configured.DeviationThreshold,
	}
	weights := svc.weights(t)
	usable := svc.usable(t)
	for ref := range t.upstreams {
		u := &l.upstreams[ref]
		u.usable = usable[ref]
		u.state, u.ramp = health.Up, 1
		if int(ref) < len(svc.activeFlows) {
			u.estimate = float64(svc.activeFlows[ref]) / weights[ref]
		}
		if h, ok := svc.health[t.upstreams[ref].name]; ok {
			u.state, u.ramp = h.State, h.Ramp
		}
		if e.drainLimitReached(svc, upstreamRef(ref)) {
			u.state = health.Gone
		}
	}
	e.applyReports(svc, t, l)
	e.applyAssignmentRates(svc, weights, l)
	svc.loads.Store(l)
}

// weights returns the weight of each upstream, indexed by upstreamRef.
func (svc *serviceState) weights(t *slotTable) []float64 {
	weights := make([]float64, len(t.upstreams))
	for ref := range weights {
		weights[ref] = 1
	}
	for _, u := range svc.configured.Upstreams {
		if ref := t.find(u.PacketAddress); ref != noUpstream {
			weights[ref] = float64(max(u.Weight, 1))
		}
	}
	return weights
}

// applyReports adjusts the estimates by the load reports. The host's own counts
// are unbiased but noisy; reports are exact but may be false. The long-run ratio
// of the two shows the bias of a report, which is divided out. Own counts miss
// quiet flows and include some that have ended, so they are scaled to the reports.
func (e *Engine) applyReports(svc *serviceState, t *slotTable, l *loads) {
	reported := svc.reportedLoads(t, l, e.now)
	scale := svc.medianReportRatio()
	if scale == 0 {
		return
	}
	for ref, reportedLoad := range reported {
		u := &l.upstreams[ref]
		u.estimate *= scale
		if reportedLoad == 0 {
			continue
		}
		c := svc.calibrations[upstreamRef(ref)]
		if bias := c.mean / scale; c.samples > 0 && (bias < 1-toleratedBias || bias > 1+toleratedBias) {
			reportedLoad /= bias
		}
		u.estimate = min(max(reportedLoad, u.estimate*(1-maxReportCorrection)), u.estimate*(1+maxReportCorrection))
	}
}

// medianReportRatio returns the median ratio of reports to own counts, which is
// sound as long as most reports are honest.
func (svc *serviceState) medianReportRatio() float64 {
	var ratios []float64
	for _, c := range svc.calibrations {
		ratios = append(ratios, c.mean)
	}
	if len(ratios) == 0 {
		return 0
	}
	slices.Sort(ratios)
	return ratios[len(ratios)/2]
}

// applyAssignmentRates adds the flows that this owner assigned too recently to
// show in a report, less the number that its usual rate gives: a steady stream of
// new flows only replaces flows that end. It assumes that the other owners, which see the same
// loads, assign the same number.
func (e *Engine) applyAssignmentRates(svc *serviceState, weights []float64, l *loads) {
	owners := float64(1 + len(e.peers()))
	elapsed := e.now.Sub(svc.ratesUpdatedAt).Seconds()
	svc.ratesUpdatedAt = e.now
	old := svc.loads.Load()
	for len(svc.assignmentRates) < len(weights) {
		svc.assignmentRates = append(svc.assignmentRates, assignmentRate{})
	}
	for ref := range l.upstreams {
		assigned := 0.0
		if old != nil && ref < len(old.newFlows) {
			assigned = float64(old.newFlows[ref].Load())
		}
		r := &svc.assignmentRates[ref]
		r.add(assigned, elapsed)
		u := &l.upstreams[ref]
		u.perFlow = owners / weights[ref]
		u.estimate += surplusFactor * owners * r.surplus() / weights[ref]
	}
}

// assignmentRate holds an owner's rate of assignments to an upstream in flows per
// second, as exponential averages over a short and a long time.
type assignmentRate struct {
	fast, slow float64
	// trend is the long-run mean of fast - slow.
	trend float64
}

func (r *assignmentRate) add(assigned, elapsed float64) {
	if elapsed <= 0 {
		return
	}
	rate := assigned / elapsed
	r.fast += (rate - r.fast) * (1 - math.Exp(-elapsed/fastTimeConstant))
	r.slow += (rate - r.slow) * (1 - math.Exp(-elapsed/slowTimeConstant))
	r.trend += (r.fast - r.slow - r.trend) * (1 - math.Exp(-elapsed/trendTimeConstant))
}

// surplus returns by how much the number of assignments within fastTimeConstant
// exceeds the usual number.
func (r *assignmentRate) surplus() float64 {
	return (r.fast - r.slow - r.trend) * fastTimeConstant
}

// reportedLoads returns the reported flows per unit of weight, indexed by
// upstreamRef. An element is zero if the upstream has no recent report or this host
// has no estimate of its own to compare it with.
func (svc *serviceState) reportedLoads(t *slotTable, l *loads, now time.Time) []float64 {
	reported := make([]float64, len(t.upstreams))
	for _, u := range svc.configured.Upstreams {
		ref := t.find(u.PacketAddress)
		h, ok := svc.health[u.Name]
		if ref == noUpstream || !ok || h.FlowLoad <= 0 || now.Sub(h.LoadAt) > maxReportAge || l.upstreams[ref].estimate == 0 {
			continue
		}
		reported[ref] = h.FlowLoad * float64(u.Connections) / float64(max(u.Weight, 1))
	}
	return reported
}

// calibration is the mean ratio of an upstream's reports to the host's own counts.
type calibration struct {
	mean    float64
	samples int
}

// add updates the mean with a sample. The mean is arithmetic for the first
// calibrationSamples samples and an exponential average after that.
func (c *calibration) add(ratio float64) {
	c.samples = min(c.samples+1, calibrationSamples)
	c.mean += (ratio - c.mean) / float64(c.samples)
}

// calibrate adds the ratio of each report to the counts of the last complete sweep.
func (e *Engine) calibrate(svc *serviceState) {
	t := svc.table.Load()
	l := svc.loads.Load()
	weights := svc.weights(t)
	reported := svc.reportedLoads(t, l, e.now)
	for ref, reportedLoad := range reported {
		if reportedLoad == 0 || ref >= len(svc.activeFlows) || svc.activeFlows[ref] == 0 {
			continue
		}
		c := svc.calibrations[upstreamRef(ref)]
		c.add(reportedLoad * weights[ref] / float64(svc.activeFlows[ref]))
		svc.calibrations[upstreamRef(ref)] = c
	}
}

// drainLimitReached reports whether the upstream has been draining for longer
// than the service's drain limit.
func (e *Engine) drainLimitReached(svc *serviceState, ref upstreamRef) bool {
	since, ok := svc.drainingSince[ref]
	limit := svc.configured.DrainLimit
	return ok && limit > 0 && e.now.Sub(since) > limit
}

// usable reports which upstreams may take new flows, indexed by upstreamRef.
func (svc *serviceState) usable(t *slotTable) []bool {
	usable := make([]bool, len(t.upstreams))
	configured, suspect := 0, 0
	for _, u := range svc.configured.Upstreams {
		if h, ok := svc.health[u.Name]; ok && h.State == health.Suspect {
			suspect++
		}
		configured++
	}
	ignoreSuspicion := float64(suspect) > panicThreshold*float64(configured)
	for _, u := range svc.configured.Upstreams {
		ref := t.find(u.PacketAddress)
		if ref == noUpstream {
			continue
		}
		usable[ref] = u.State != service.AdminDraining && svc.mayTakeFlows(ref, u.Name, ignoreSuspicion)
	}
	return usable
}

func (svc *serviceState) mayTakeFlows(ref upstreamRef, name string, ignoreSuspicion bool) bool {
	if _, ok := svc.excludedUntil[ref]; ok {
		return false
	}
	h, ok := svc.health[name]
	if !ok {
		return true
	}
	switch h.State {
	case health.Draining, health.Gone:
		return false
	case health.Suspect:
		return ignoreSuspicion
	}
	return true
}
