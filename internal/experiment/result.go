package experiment

import (
	"maps"
	"slices"
	"time"
)

// windowLength is the length of the windows that a run is divided into.
const windowLength = 2 * time.Second

// lateWeight is the weight of a late response in Result.Worth. A response in time
// has the weight 1.
const lateWeight = 0.3

// Result summarizes the outcomes of all requests of one run.
type Result struct {
	Pattern, Policy string
	Requests        int
	// InTime and Late are the numbers of responses within the latency objective
	// and after it.
	InTime, Late int
	// Refused is the number of requests that were rejected, or whose flow was reset
	// before it was established. Failed is the number of requests that timed out or
	// whose flow was reset later.
	Refused, Failed int
	// Ejections is the number of times that a host ejected an upstream.
	Ejections int
	// Suspicions is the number of times that a host suspected an upstream.
	Suspicions int
	// LateSYNs is the number of SYNs that reached an evacuated data centre after hosts knew.
	LateSYNs int
	// Worth is the fraction of requests that were served, where late responses are
	// weighted with lateWeight.
	Worth float64
	// WorstWindow is the lowest worth of any of Windows, and WorstSite the lowest
	// worth of the requests from any data centre.
	WorstWindow, WorstSite float64
	// P50 and P99 are latency percentiles of the served requests.
	P50, P99 time.Duration
	// Balance tells how evenly the requests were distributed.
	Balance Balance
	// Windows are the windows with at least minWindowRequests requests, in order
	// of time.
	Windows []Window
}

// Window is a time window of a run.
type Window struct {
	// At is the start of the window, measured from the start of the run.
	At time.Duration
	// Worth is the worth of the requests sent in the window.
	Worth float64
}

// recorder collects the outcomes of requests.
type recorder struct {
	// objective is the latency up to which a response is in time.
	objective time.Duration
	// windows is keyed by the number of the window, dataCentres by the index of the
	// caller's data centre.
	windows, dataCentres map[int]*counts
	total                counts
	latencies            []time.Duration
}

// counts holds numbers of requests by outcome.
type counts struct {
	inTime, late, refused, failed int
}

func newRecorder(objective time.Duration) *recorder {
	return &recorder{objective: objective, windows: make(map[int]*counts), dataCentres: make(map[int]*counts)}
}

// record adds a request. sent is the time of the request, measured from the start of
// the run, and dc the data centre of the caller.
func (r *recorder) record(sent time.Duration, dc int, o outcome, latency time.Duration) {
	for _, c := range []*counts{&r.total, countsFor(r.windows, int(sent/windowLength)), countsFor(r.dataCentres, dc)} {
		c.add(o, o == served && latency <= r.objective)
	}
	if o == served {
		r.latencies = append(r.latencies, latency)
	}
}

// countsFor returns the counts of a key. It adds empty counts if the key is missing.
func countsFor(m map[int]*counts, key int) *counts {
	c := m[key]
	if c == nil {
		c = &counts{}
		m[key] = c
	}
	return c
}

// add counts one request. inTime is set if it was served within the objective.
func (c *counts) add(o outcome, inTime bool) {
	switch {
	case inTime:
		c.inTime++
	case o == served:
		c.late++
	case o == refused || o == rejected:
		c.refused++
	default:
		c.failed++
	}
}

// requests returns the number of requests with any outcome.
func (c *counts) requests() int { return c.inTime + c.late + c.refused + c.failed }

// worth returns the worth of the requests, as defined by Result.Worth. It is 1 if
// there are none.
func (c *counts) worth() float64 {
	if c.requests() == 0 {
		return 1
	}
	return (float64(c.inTime) + lateWeight*float64(c.late)) / float64(c.requests())
}

// minWindowRequests is the number of requests that a window needs to be part of the
// result.
const minWindowRequests = 20

// summarize returns the result of the run.
func (r *recorder) summarize(pattern, policy string) Result {
	result := Result{
		Pattern: pattern, Policy: policy, Requests: r.total.requests(), InTime: r.total.inTime, Late: r.total.late,
		Refused: r.total.refused, Failed: r.total.failed, Worth: r.total.worth(), WorstWindow: 1, WorstSite: 1,
	}
	for _, number := range slices.Sorted(maps.Keys(r.windows)) {
		if c := r.windows[number]; c.requests() >= minWindowRequests {
			result.WorstWindow = min(result.WorstWindow, c.worth())
			result.Windows = append(result.Windows, Window{At: time.Duration(number) * windowLength, Worth: c.worth()})
		}
	}
	for _, c := range r.dataCentres {
		result.WorstSite = min(result.WorstSite, c.worth())
	}
	slices.Sort(r.latencies)
	if n := len(r.latencies); n > 0 {
		result.P50, result.P99 = r.latencies[n/2], r.latencies[n*99/100]
	}
	return result
}
