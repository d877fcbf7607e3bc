package echo

import "github.com/oatlatch/oatlatch/internal/catalog"

// Stats summarises the engine's state.
type Stats struct {
	// Version is that of the applied configuration; zero before the first.
	Version uint64
	// Flows is the number of flow records.
	Flows int
	// Usable, Draining and Departed are the numbers of upstreams by state. Suspected
	// also counts suspected upstreams that are draining or departed.
	Usable, Draining, Departed, Suspected int
}

// Stats returns the current counts.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := Stats{Version: e.version, Flows: len(e.records), Suspected: e.suspectedCount}
	for _, u := range e.upstreams {
		switch {
		case u.Presence == catalog.Departed:
			s.Departed++
		case u.Draining:
			s.Draining++
		case !u.suspected():
			s.Usable++
		}
	}
	return s
}

// OutstandingRequests returns the number of this host's flows that await a response, by
// upstream. Upstreams without any are left out.
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
