package flow

import "github.com/oatlatch/oatlatch/internal/host"

// DefaultMaxFlows is the default bound on flow records.
const DefaultMaxFlows = 1 << 20

// Options configure an Engine.
type Options struct {
	// Self is the host's own ID.
	Self host.ID
	// DataCentre is the host's own data centre.
	DataCentre string
	// Seed seeds the engine's random choices.
	Seed uint64
	// MaxFlows bounds flow records; zero stands for DefaultMaxFlows.
	MaxFlows int
}
