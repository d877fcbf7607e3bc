package echo

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

// EvacuationStatus describes an evacuated data centre as this host sees it.
type EvacuationStatus struct {
	DataCentre string
	// Position is where the store wrote the request, and Since when a host first knew of it.
	Position catalog.Position
	Since    time.Time
	// Upstreams is the number of upstreams there that are registered and do not drain.
	Upstreams int
	// OpenFlows and Outstanding are the numbers of this host's open flows and of its
	// requests without an answer there.
	OpenFlows, Outstanding int
}

// evacuation is a data centre that is evacuated.
type evacuation struct {
	catalog.Evacuation
	// appliedAt is when the engine first applied it.
	appliedAt time.Time
}

// setEvacuations replaces the evacuated data centres. It must be called before
// setUpstreams. It returns those that are new, and those that have ended.
func (e *Engine) setEvacuations(now time.Time, requested []catalog.Evacuation) (began, ended []evacuation) {
	evacuations := make(map[string]evacuation, len(requested))
	for _, request := range requested {
		applied, known := e.evacuations[request.DataCentre]
		if !known {
			applied.appliedAt = now
		}
		applied.Evacuation = request
		if !known {
			began = append(began, applied)
		}
		evacuations[request.DataCentre] = applied
	}
	for name, former := range e.evacuations {
		if _, remains := evacuations[name]; !remains {
			ended = append(ended, former)
		}
	}
	e.evacuations = evacuations
	return began, ended
}

// reportEvacuations reports the evacuations that have begun and ended.
func (e *Engine) reportEvacuations(now time.Time, began, ended []evacuation) {
	for i := range began {
		e.report(Event{Kind: EvacuationInForce, DataCentre: began[i].DataCentre, Evacuation: e.evacuationStatus(&began[i])})
	}
	for i := range ended {
		e.report(Event{Kind: EvacuationEnded, DataCentre: ended[i].DataCentre, Evacuation: e.evacuationStatus(&ended[i]), Age: now.Sub(ended[i].appliedAt)})
	}
}

// evacuationStatus counts what is in the data centre.
func (e *Engine) evacuationStatus(of *evacuation) EvacuationStatus {
	s := EvacuationStatus{DataCentre: of.DataCentre, Position: of.Position, Since: of.Since}
	for _, u := range e.upstreams {
		if u.DataCentre == of.DataCentre {
			s.add(u)
		}
	}
	return s
}

// add counts an upstream of the data centre.
func (s *EvacuationStatus) add(u *upstream) {
	if u.active() {
		s.Upstreams++
	}
	s.OpenFlows += u.openFlows
	s.Outstanding += u.outstanding
}

// Evacuations returns the evacuated data centres, in no particular order. It visits each
// upstream once, however many are evacuated, because packets wait meanwhile.
func (e *Engine) Evacuations() []EvacuationStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := make([]EvacuationStatus, 0, len(e.evacuations))
	if len(e.evacuations) == 0 {
		return all
	}
	indices := make(map[string]int, len(e.evacuations))
	for name, evacuated := range e.evacuations {
		indices[name] = len(all)
		all = append(all, EvacuationStatus{DataCentre: name, Position: evacuated.Position, Since: evacuated.Since})
	}
	for _, u := range e.upstreams {
		if i, evacuated := indices[u.DataCentre]; evacuated {
			all[i].add(u)
		}
	}
	return all
}
