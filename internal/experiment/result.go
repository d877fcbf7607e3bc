package experiment

import (
	"maps"
	"slices"
	"time"
)

// window is the length of the spans whose worst one is shown.
const window = 2 * time.Second

// lateWorth is what a late answer is worth to a caller, as a part of one in time.
const lateWorth = 0.3

// Result is what callers saw in one run.
type Result struct {
	Pattern, Policy string
	Requests        int
	// InTime answers came within the objective, Late ones after it.
	InTime, Late int
	// Refused requests were not run, Failed ones had no answer or a broken one.
	Refused, Failed int
	// Worth is the part of the requests served, late ones counted less.
	Worth float64
	// WorstWindow and WorstSite are the least worth of a window and of a site.
	WorstWindow, WorstSite float64
	// P50 and P99 are of answers.
	P50, P99 time.Duration
	// Windows are the spans of the run that have enough requests, in order.
	Windows []Window
}

// Window is a span of the run.
type Window struct {
	// At is when it begins.
	At time.Duration
	// Worth is that of the requests sent in it.
	Worth float64
}

// recorder collects requests.
type recorder struct {
	windows, sites map[int]*tally
	total          tally
	latencies      []time.Duration
}

// tally counts requests.
type tally struct {
	inTime, late, refused, failed int
}

func newRecorder() *recorder {
	return &recorder{windows: make(map[int]*tally), sites: make(map[int]*tally)}
}

func (r *recorder) add(sent time.Duration, site int, how answer, took time.Duration) {
	for _, t := range []*tally{&r.total, entryOf(r.windows, int(sent/window)), entryOf(r.sites, site)} {
		t.add(how, took)
	}
	if how == served {
		r.latencies = append(r.latencies, took)
	}
}

func entryOf(m map[int]*tally, key int) *tally {
	t := m[key]
	if t == nil {
		t = &tally{}
		m[key] = t
	}
	return t
}

func (t *tally) add(how answer, took time.Duration) {
	switch {
	case how == served && took <= objective:
		t.inTime++
	case how == served:
		t.late++
	case how == refused || how == rejected:
		t.refused++
	default:
		t.failed++
	}
}

func (t *tally) requests() int { return t.inTime + t.late + t.refused + t.failed }

func (t *tally) worth() float64 {
	if t.requests() == 0 {
		return 1
	}
	return (float64(t.inTime) + lateWorth*float64(t.late)) / float64(t.requests())
}

// minRequests is the number of requests that a window must have to count.
const minRequests = 20

func (r *recorder) result(pattern, policy string) Result {
	out := Result{
		Pattern: pattern, Policy: policy, Requests: r.total.requests(), InTime: r.total.inTime, Late: r.total.late,
		Refused: r.total.refused, Failed: r.total.failed, Worth: r.total.worth(), WorstWindow: 1, WorstSite: 1,
	}
	for _, number := range slices.Sorted(maps.Keys(r.windows)) {
		if t := r.windows[number]; t.requests() >= minRequests {
			out.WorstWindow = min(out.WorstWindow, t.worth())
			out.Windows = append(out.Windows, Window{At: time.Duration(number) * window, Worth: t.worth()})
		}
	}
	for _, t := range r.sites {
		out.WorstSite = min(out.WorstSite, t.worth())
	}
	slices.Sort(r.latencies)
	if n := len(r.latencies); n > 0 {
		out.P50, out.P99 = r.latencies[n/2], r.latencies[n*99/100]
	}
	return out
}
