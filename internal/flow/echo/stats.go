package echo

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

// Stats summarises the engine's state.
type Stats struct {
	// Version is the version of the applied configuration, or zero if there is none yet.
	Version uint64
	// Flows is the number of flow records.
	Flows int
	// MaxFlows is the greatest number of flow records. EvictedRecords counts, by state, those
	// evicted because there were as many. LargestCallerRecords is the number of records of
	// the caller with the most, as far as they are counted, or zero while there is room.
	MaxFlows, LargestCallerRecords int
	EvictedRecords                 [recordStateCount]uint64
	// Usable, Draining, Departed, Evacuated and Suspected are numbers of upstreams.
	// Draining excludes departed upstreams, and Evacuated both; Usable counts those that
	// are in none of the other states. Suspected also counts suspected upstreams that are
	// draining, departed or evacuated.
	Usable, Draining, Departed, Evacuated, Suspected int
	// Ejected is the number of upstreams that new flows avoid because their answers look
	// failed. They also count in the other numbers.
	Ejected int
	// BusiestRatio is the number of this host's recent requests per slot at the busiest
	// upstream of its data centre, divided by the mean of its service's upstreams there; the
	// largest of all services with enough requests, or zero if there is none.
	BusiestRatio float64
}

// Stats returns the current statistics.
func (e *Engine) Stats(now time.Time) Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := Stats{
		Version: e.version, Flows: len(e.records), Suspected: e.suspectedCount,
		MaxFlows: e.options.MaxFlows, EvictedRecords: e.recordLimit.evicted,
	}
	_, s.LargestCallerRecords = e.recordLimit.counts.most()
	for _, u := range e.upstreams {
		if now.Before(u.ejection.until) {
			s.Ejected++
		}
		switch {
		case u.Presence == catalog.Departed:
			s.Departed++
		case u.Draining:
			s.Draining++
		case u.evacuated:
			s.Evacuated++
		case !u.suspected():
			s.Usable++
		}
	}
	for _, p := range e.pools {
		s.BusiestRatio = max(s.BusiestRatio, e.busiestRatio(now, p))
	}
	return s
}

// OutstandingRequests returns the number of this host's flows that await a response,
// by upstream. Upstreams without any are left out.
func (e *Engine) OutstandingRequests() map[catalog.UpstreamID]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	outstanding := make(map[catalog.UpstreamID]int)
	for id, u := range e.upstreams {
		if u.outstanding > 0 {
			outstanding[id] = u.outstanding
		}
	}
	return outstanding
}
