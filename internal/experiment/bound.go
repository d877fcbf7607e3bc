package experiment

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/oatlatch/oatlatch/internal/flow/echo"
)

// Bound tells what a run reached and what no balancer could have exceeded with the same
// requests.
type Bound struct {
	Pattern, Policy string
	// Total holds one row for all requests and one for each kind.
	Total []BoundRow
	// Windows are the windows with requests, in order of time.
	Windows []BoundWindow
}

// BoundWindow is a time window of a run.
type BoundWindow struct {
	// At is the start of the window, measured from the start of the run. Requests count in
	// the window in which they were sent.
	At time.Duration
	// Rows holds one row for all requests and one for each kind.
	Rows []BoundRow
}

// BoundRow tells what was reached for requests and bounds it. Each row has a bound of its
// own, as if all upstreams served its requests only; so bounds of rows do not add up.
type BoundRow struct {
	Kind                               Kind
	Due, InTime, Late, Refused, Failed int
	// Worth is as in Result. WorthBound is the bound of it.
	Worth, WorthBound float64
	// InTimeBound bounds the number of requests that can be answered in time, ServedBound that
	// of requests that can be answered at all.
	InTimeBound, ServedBound float64
	// Causes holds the number of requests by the cause for which they were not answered in time.
	Causes map[Cause]int
}

// Lost returns the difference between the bound and what was reached, in requests by worth.
func (r *BoundRow) Lost() float64 { return (r.WorthBound - r.Worth) * float64(r.Due) }

// Worst returns the windows in which most was lost, at most n, the worst first.
func (b *Bound) Worst(n int) []BoundWindow {
	sorted := slices.Clone(b.Windows)
	slices.SortStableFunc(sorted, func(x, y BoundWindow) int {
		switch lostX, lostY := x.Rows[0].Lost(), y.Rows[0].Lost(); {
		case lostX > lostY:
			return -1
		case lostX < lostY:
			return 1
		}
		return 0
	})
	return sorted[:min(n, len(sorted))]
}

// RunBound simulates the pattern and computes the bound.
func RunBound(p Pattern, policy echo.Policy, options Options) Bound {
	m := newMeasurement(options)
	return m.bound(p, simulate(p, policy, options, m))
}

// bound computes the bound after the simulation has ended.
func (m *measurement) bound(p Pattern, sim *simulation) Bound {
	result := Bound{Pattern: p.Name, Policy: sim.policy.String()}
	inTime, served := newRelaxation(m, sim.options.Objective), newRelaxation(m, sim.options.Timeout)
	rows := func(accounts []*requestAccount) []BoundRow {
		var all []BoundRow
		for _, kind := range kinds() {
			all = append(all, newBoundRow(kind, accounts, inTime, served))
		}
		return all
	}
	result.Total = rows(m.accounts)
	windows := make(map[int][]*requestAccount)
	for _, a := range m.accounts {
		number := int(a.sent.Sub(runStart) / windowLength)
		windows[number] = append(windows[number], a)
	}
	for _, number := range slices.Sorted(maps.Keys(windows)) {
		result.Windows = append(result.Windows, BoundWindow{At: time.Duration(number) * windowLength, Rows: rows(windows[number])})
	}
	return result
}

// newBoundRow returns the row of the requests of a kind. Requests without an outcome at the
// end of the run are not due.
func newBoundRow(kind Kind, accounts []*requestAccount, inTime, served *relaxation) BoundRow {
	var total counts
	var due []*requestAccount
	row := BoundRow{Kind: kind, Causes: make(map[Cause]int)}
	for _, a := range accounts {
		if !a.done || !kind.includes(a.kind) {
			continue
		}
		due = append(due, a)
		total.add(a.outcome, a.inTime)
		if !a.inTime {
			row.Causes[a.cause()]++
		}
	}
	row.Due, row.InTime, row.Late, row.Refused, row.Failed = total.requests(), total.inTime, total.late, total.refused, total.failed
	row.Worth, row.WorthBound = total.worth(), 1
	row.InTimeBound, row.ServedBound = wholeRequests(inTime.most(due)), wholeRequests(served.most(due))
	if row.Due > 0 {
		row.WorthBound = (row.InTimeBound + lateWeight*(row.ServedBound-row.InTimeBound)) / float64(row.Due)
	}
	return row
}

// wholeRequests rounds down, as a fraction of a request is not served. The margin covers
// rounding errors of the sums.
func wholeRequests(n float64) float64 { return math.Floor(n + 1e-6) }
