package echo

import "github.com/oatlatch/oatlatch/internal/catalog"

// Stats are counts of what the engine knows.
type Stats struct {
	Version uint64
	// Flows is the number of records.
	Flows int
	// Upstreams by what new flows may do with them.
	Usable, Draining, Departed, Suspected int
}

// Stats returns the present counts.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := Stats{Version: e.version, Flows: len(e.flows), Suspected: e.suspects}
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

// Waiting returns the requests of this host's flows that await an answer, by
// upstream. Upstreams without any are left out.
func (e *Engine) Waiting() map[catalog.UpstreamID]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	waiting := make(map[catalog.UpstreamID]int)
	for id, u := range e.upstreams {
		if u.waiting > 0 {
			waiting[id] = u.waiting
		}
	}
	return waiting
}
