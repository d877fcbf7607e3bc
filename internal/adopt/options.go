// Package adopt keeps a host's configuration up to date from the platform and
// from its peers, and passes it on to them.
package adopt

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/peer"
	"github.com/oatlatch/oatlatch/internal/platform"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

const (
	// DefaultPeerDeadline bounds one call to a peer of the same region.
	DefaultPeerDeadline = 500 * time.Millisecond
	// otherRegionFactor lengthens the deadline of calls to other regions.
	otherRegionFactor = 3
)

// Options configure a Runner.
type Options struct {
	Self host.Host
	Port platform.Port
	// Peers calls other hosts. Their "Config" receivers are made by PeerService.
	Peers peer.Caller
	// PeerDeadline bounds one call to a peer of the same region.
	PeerDeadline time.Duration
	// Watchers is the number of hosts of a data centre that watch the platform.
	Watchers   int
	Logger     zerolog.Logger
	Registerer prometheus.Registerer
	Now        func() time.Time
	Seed       uint64
	// OnAdopt is called with each adopted configuration, in order, from one goroutine.
	OnAdopt func(*config.Snapshot)
}

func (o *Options) setDefaults() {
	if o.PeerDeadline <= 0 {
		o.PeerDeadline = DefaultPeerDeadline
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.OnAdopt == nil {
		o.OnAdopt = func(*config.Snapshot) {}
	}
}
