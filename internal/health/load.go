package health

import (
	"math"
	"slices"
	"time"

	"github.com/oatlatch/oatlatch/internal/service"
)

// Doubt is the reason for which a load report is not believed as it is.
type Doubt string

// Doubts.
const (
	// DoubtRange means that the load is no fraction of capacity.
	DoubtRange Doubt = "range"
	// DoubtInconsistent means that the load is far from the slots and connections in
	// the same report; the highest of the three is taken.
	DoubtInconsistent Doubt = "inconsistent"
	// DoubtStale means that no report has come for loadMaxAge.
	DoubtStale Doubt = "stale"
	// DoubtStuck means that the report has not changed while other upstreams' have.
	DoubtStuck Doubt = "stuck"
)

// Bounds within which load reports are believed.
const (
	// maxLoad is the largest fraction that an overloaded upstream may report.
	maxLoad = 4.0
	// maxDisagreement is the largest difference between the load and the fractions
	// of slots and connections in one report.
	maxDisagreement = 0.25
	// loadMaxAge is the age from which a report says nothing.
	loadMaxAge = 10 * time.Second
	// medianWindow is the number of reports of which the median is believed, so that
	// one outlier has no effect.
	medianWindow = 3
	// stuckReports is the number of equal reports after which a loaded upstream's
	// report is compared with the others' changes.
	stuckReports = 15
	// noLoad stands for an unknown load.
	noLoad = -1.0
)

// loadTracker decides what to believe of one upstream's load reports.
type loadTracker struct {
	recent []float64
	// flows are the fractions of connections in use of the same reports.
	flows []float64
	last  Report
	// equal is the number of reports that were the same as the one before.
	equal int
	// changes counts reports that differed from the one before.
	changes uint64
	at      time.Time
	doubt   Doubt
}

// observe takes in a report.
func (l *loadTracker) observe(now time.Time, upstream service.Upstream, report Report) {
	if math.IsNaN(report.Load) || report.Load < 0 || report.Load > maxLoad {
		l.doubt = DoubtRange
		return
	}
	if report == l.last && !l.at.IsZero() {
		l.equal++
	} else {
		l.equal = 0
		l.changes++
	}
	l.last, l.at, l.doubt = report, now, ""
	load := report.Load
	counted := max(fraction(report.SlotsInUse, upstream.Slots), fraction(report.Connections, upstream.Connections))
	if math.Abs(load-counted) > maxDisagreement {
		l.doubt = DoubtInconsistent
		load = max(load, min(counted, maxLoad))
	}
	flows := load
	if report.Connections > 0 {
		flows = min(fraction(report.Connections, upstream.Connections), maxLoad)
	}
	l.recent, l.flows = appendRecent(l.recent, load), appendRecent(l.flows, flows)
}

// appendRecent keeps the last reports of which the median is believed.
func appendRecent(recent []float64, value float64) []float64 {
	if len(recent) == medianWindow {
		recent = recent[1:]
	}
	return append(recent, value)
}

// fraction returns used of capacity.
func fraction(used, capacity uint32) float64 {
	if capacity == 0 {
		return 0
	}
	return float64(used) / float64(capacity)
}

// believed returns the load to act on and the doubt about it. othersChanged is
// whether the reports of the service's other upstreams change.
func (l *loadTracker) believed(now time.Time, othersChanged bool) (float64, Doubt) {
	switch {
	case len(l.recent) == 0:
		return noLoad, l.doubt
	case now.Sub(l.at) >= loadMaxAge:
		return noLoad, DoubtStale
	case l.equal >= stuckReports && l.last.Load > 0 && othersChanged:
		return noLoad, DoubtStuck
	default:
		return median(l.recent), l.doubt
	}
}

// believedFlows returns the fraction of connections to act on under the doubt
// about the load.
func (l *loadTracker) believedFlows(load float64) float64 {
	if load == noLoad {
		return noLoad
	}
	return median(l.flows)
}

// median returns the middle value, the higher one of two.
func median(values []float64) float64 {
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}

// Doubts lists all doubts.
var Doubts = []Doubt{DoubtRange, DoubtInconsistent, DoubtStale, DoubtStuck}
