package edge

import (
	"sync"
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/evidence"
)

// evacuationProgress finds out at the first host of the tree when all known hosts have an
// evacuation in force. It is safe for concurrent use.
type evacuationProgress struct {
	mu sync.Mutex
	// first is set if this host is the first one of its view, and known is the number of
	// hosts in the view.
	first bool
	known int
	// requests has what is known of each evacuation that some host has in force.
	requests map[evacuationRequest]evacuationCompletion
}

// evacuationRequest names a request to evacuate a data centre.
type evacuationRequest struct {
	dataCentre string
	position   catalog.Position
}

// evacuationCompletion tells since when all known hosts have an evacuation in force; zero if
// some have not.
type evacuationCompletion struct {
	since  time.Time
	logged bool
}

// completedEvacuation is an evacuation that all known hosts have had in force since at.
type completedEvacuation struct {
	evidence.EvacuationSum
	at time.Time
}

// setView replaces the known hosts.
func (p *evacuationProgress) setView(view *catalog.View, self string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.known = len(view.Hosts)
	p.first = p.known > 0 && view.Hosts[0].Name == self
}

// knownHosts returns the number of known hosts.
func (p *evacuationProgress) knownHosts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known
}

// update returns the evacuations that all known hosts have had in force for
// evidence.ReportTTL, each once. A host that moves in the tree counts twice for less than
// that, so it cannot stand for one that is missing.
func (p *evacuationProgress) update(now time.Time, sums *evidence.Sums) []completedEvacuation {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.first {
		p.requests = nil
		return nil
	}
	var completed []completedEvacuation
	requests := make(map[evacuationRequest]evacuationCompletion, len(sums.Evacuations))
	for _, e := range sums.Evacuations {
		request := evacuationRequest{e.DataCentre, e.Position}
		c := p.requests[request]
		switch {
		case e.Hosts != p.known || sums.Hosts != p.known:
			c.since = time.Time{}
		case c.since.IsZero():
			c.since = now
		case !c.logged && now.Sub(c.since) >= evidence.ReportTTL:
			c.logged = true
			completed = append(completed, completedEvacuation{EvacuationSum: e, at: c.since})
		}
		requests[request] = c
	}
	p.requests = requests
	return completed
}
