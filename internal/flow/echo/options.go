package echo

import "github.com/oatlatch/oatlatch/internal/catalog"

// DefaultMaxFlows is the default maximum number of flow records.
const DefaultMaxFlows = 1 << 17

// Options configures an Engine.
type Options struct {
	// DataCentre is the host's own data centre.
	DataCentre string
	// MaxFlows is the maximum number of flow records; zero means DefaultMaxFlows.
	MaxFlows int
	// Policy determines how upstreams are chosen for new flows; zero is LeastUsed.
	Policy Policy
	// ActualLoad returns the actual load of an upstream. Only AllKnowing uses it, and
	// requires it.
	ActualLoad func(catalog.UpstreamID) float64
	// OutstandingAtPeers returns the number of outstanding requests of the data centre's
	// other hosts at an upstream. Only SharedEstimates uses it, and requires it.
	OutstandingAtPeers func(catalog.UpstreamID) int
	// Without holds the mechanisms that are switched off.
	Without MechanismSet
	// OnEvent, if set, is called with each event. It must not block or call the
	// engine, whose lock is held.
	OnEvent func(Event)
	// OnEvidence, if set, is called when there is new evidence that an upstream has failed.
	// It must not block or call the engine, whose lock is held.
	OnEvidence func()
	// Warmup limits the opening packets to upstreams that warm up.
	Warmup WarmupLimits
	// Seed seeds the engine's random number generator.
	Seed uint64
}
