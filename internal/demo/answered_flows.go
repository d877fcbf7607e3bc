package demo

import (
	"sync"

	"github.com/oatlatch/oatlatch/internal/standin/upstream"
)

// answeredFlows is the set of flows of which a packet has reached an upstream. It
// replaces the upstreams' responses, which the demo does not send back to callers.
type answeredFlows struct {
	mu    sync.Mutex
	flows map[flowID]bool
}

func newAnsweredFlows() *answeredFlows { return &answeredFlows{flows: make(map[flowID]bool)} }

func (a *answeredFlows) record(f upstream.Flow) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.flows[flowID{f.Source, f.Destination}] = true
}

func (a *answeredFlows) contains(f flowID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.flows[f]
}
