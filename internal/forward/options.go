package forward

import (
	"net/netip"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/peer"
)

// DefaultWorkers is the default number of goroutines that forward packets.
const DefaultWorkers = 4

// Options configures a Forwarder.
type Options struct {
	// Self is the host that the forwarder runs on.
	Self host.Host
	// Listen is the UDP address to bind; port 0 picks a free port.
	Listen netip.AddrPort
	// Workers is the number of goroutines that forward packets; zero means DefaultWorkers.
	Workers int
	// MaxFlows is the maximum number of flow records; zero means flow.DefaultMaxFlows.
	MaxFlows int
	Logger   zerolog.Logger
	// Registerer registers the metrics; nil leaves them unregistered.
	Registerer prometheus.Registerer
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// Seed seeds the engine's random choices.
	Seed uint64
	// Peers sends messages to other hosts; nil if there are none.
	Peers peer.Caller
}
