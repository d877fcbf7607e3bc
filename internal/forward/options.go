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

// Options configure a Forwarder.
type Options struct {
	Self host.Host
	// Listen is the UDP address for packets; port 0 takes a free one.
	Listen netip.AddrPort
	// Workers is the number of goroutines that forward packets; zero stands for DefaultWorkers.
	Workers int
	// MaxFlows bounds flow records; zero stands for flow.DefaultMaxFlows.
	MaxFlows   int
	Logger     zerolog.Logger
	Registerer prometheus.Registerer
	// Now returns the time; nil stands for time.Now.
	Now  func() time.Time
	Seed uint64
	// Peers carries messages to the other hosts; nil on a host without any.
	Peers peer.Caller
}
