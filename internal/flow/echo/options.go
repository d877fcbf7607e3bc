package echo

import "github.com/oatlatch/oatlatch/internal/catalog"

// DefaultMaxFlows is the default bound on flow records.
const DefaultMaxFlows = 1 << 17

// Options configure an Engine.
type Options struct {
	// DataCentre is the host's own data centre.
	DataCentre string
	// MaxFlows bounds flow records; zero stands for DefaultMaxFlows.
	MaxFlows int
	// Policy chooses the upstreams of new flows; zero stands for LeastUsed.
	Policy Policy
	// Truth returns what is really against an upstream, for AllKnowing only.
	Truth func(catalog.UpstreamID) float64
	// Neighbours returns how many requests of other hosts await an upstream's
	// answer, for SharedEstimates only.
	Neighbours func(catalog.UpstreamID) int
	// OnEvent is told of changes in what the engine believes. It must not block
	// or call the engine.
	OnEvent func(Event)
	// Seed seeds the engine's random choices.
	Seed uint64
}
