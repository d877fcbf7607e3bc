package health

import (
	"math"
	"slices"
	"time"

	"github.com/oatlatch/oatlatch/internal/service"
)

// Doubt is the reason why a load report is not used as received.
type Doubt string

// Reasons for doubting a load report.
const (
	// DoubtOutOfRange means that the load is not a number from 0 to maxLoad. The
	// report is discarded.
	DoubtOutOfRange Doubt = "range"
	// DoubtInconsistent means that the load differs by more than maxLoadDeviation
	// from the slots and connections in the same report. The highest of the three
	// fractions is used.
	DoubtInconsistent Doubt = "inconsistent"
	// DoubtStale means that no valid report has arrived for loadMaxAge.
	DoubtStale Doubt = "stale"
	// DoubtStuck means that the report has stayed the same while the reports of the
	// service's other upstreams have changed.
	DoubtStuck Doubt = "stuck"
)

// Parameters of the validation of load reports.
const (
	// maxLoad is the largest load accepted. It exceeds 1 because an overloaded
	// upstream may report more than its capacity.
	maxLoad = 4.0
	// maxLoadDeviation is the largest accepted difference between the load and the
	// higher of the fractions of slots and connections in the same report.
	maxLoadDeviation = 0.25
	// loadMaxAge is the age at which a report becomes stale.
	loadMaxAge = 10 * time.Second
	// medianWindow is the number of recent reports whose median is used, so that a
	// single outlier has no effect.
	medianWindow = 3
	// stuckReports is the minimum number of consecutive repeats for a report with a
	// nonzero load to count as stuck. The reports of the service's other upstreams must
	// also have changed at least as many times on average.
	stuckReports = 15
	// unknownLoad represents a load that is not known.
	unknownLoad = -1.0
)

// loadTracker validates and smooths the load reports of one upstream.
type loadTracker struct {
	// recentLoads are the loads of the last medianWindow valid reports.
	recentLoads []float64
	// recentFlowLoads are the fractions of connections in use in the same reports.
	recentFlowLoads []float64
	lastReport      Report
	// repeats is the number of successive reports equal to their predecessor.
	repeats int
	// changes is the total number of reports that differed from their predecessor.
	changes uint64
	// receivedAt is when lastReport was received.
	receivedAt time.Time
	// doubt is the doubt about the last report received, valid or not.
	doubt Doubt
}

// observe records a report from the upstream.
func (l *loadTracker) observe(now time.Time, upstream service.Upstream, report Report) {
	if math.IsNaN(report.Load) || report.Load < 0 || report.Load > maxLoad {
		l.doubt = DoubtOutOfRange
		return
	}
	if report == l.lastReport && !l.receivedAt.IsZero() {
		l.repeats++
	} else {
		l.repeats = 0
		l.changes++
	}
	l.lastReport, l.receivedAt, l.doubt = report, now, ""
	load := report.Load
	countedLoad := max(fraction(report.SlotsInUse, upstream.Slots), fraction(report.Connections, upstream.Connections))
	if math.Abs(load-countedLoad) > maxLoadDeviation {
		l.doubt = DoubtInconsistent
		load = max(load, min(countedLoad, maxLoad))
	}
	flowLoad := load
	if report.Connections > 0 {
		flowLoad = min(fraction(report.Connections, upstream.Connections), maxLoad)
	}
	l.recentLoads, l.recentFlowLoads = appendToWindow(l.recentLoads, load), appendToWindow(l.recentFlowLoads, flowLoad)
}

// appendToWindow appends a value and drops the oldest one if there are more than
// medianWindow.
func appendToWindow(recent []float64, value float64) []float64 {
	if len(recent) == medianWindow {
		recent = recent[1:]
	}
	return append(recent, value)
}

// fraction returns used as a fraction of capacity, or 0 if the capacity is zero.
func fraction(used, capacity uint32) float64 {
	if capacity == 0 {
		return 0
	}
	return float64(used) / float64(capacity)
}

// effectiveLoad returns the load to use, or unknownLoad, and the doubt about the
// reports. othersChanged tells whether the reports of the service's other
// upstreams have changed.
func (l *loadTracker) effectiveLoad(now time.Time, othersChanged bool) (float64, Doubt) {
	switch {
	case len(l.recentLoads) == 0:
		return unknownLoad, l.doubt
	case now.Sub(l.receivedAt) >= loadMaxAge:
		return unknownLoad, DoubtStale
	case l.repeats >= stuckReports && l.lastReport.Load > 0 && othersChanged:
		return unknownLoad, DoubtStuck
	default:
		return median(l.recentLoads), l.doubt
	}
}

// effectiveFlowLoad returns the fraction of connections in use, or unknownLoad if
// the effective load is unknown.
func (l *loadTracker) effectiveFlowLoad(load float64) float64 {
	if load == unknownLoad {
		return unknownLoad
	}
	return median(l.recentFlowLoads)
}

// median returns the median of values, or the upper median if their number is even.
func median(values []float64) float64 {
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}

// Doubts lists all reasons for doubting a load report.
var Doubts = []Doubt{DoubtOutOfRange, DoubtInconsistent, DoubtStale, DoubtStuck}
