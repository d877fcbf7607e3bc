package flow

import "github.com/oatlatch/oatlatch/internal/host"

// DefaultMaxFlows is the default of Options.MaxFlows.
const DefaultMaxFlows = 1 << 20

// Options configures an Engine.
type Options struct {
	// Self is the ID of this host.
	Self host.ID
	// DataCentre is the data centre of this host.
	DataCentre string
	// Seed seeds the engine's random numbers.
	Seed uint64
	// MaxFlows bounds the number of flow records; zero means DefaultMaxFlows.
	MaxFlows int
}
