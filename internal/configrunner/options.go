// Package configrunner keeps a host's configuration up to date. It reads newer versions from the
// platform and from peers, and passes them on to other peers.
package configrunner

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/consul"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/peer"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

const (
	// DefaultPeerDeadline bounds one call to a peer of the same region.
	DefaultPeerDeadline = 500 * time.Millisecond
	// otherRegionDeadlineFactor multiplies the deadline of calls to other regions.
	otherRegionDeadlineFactor = 3
)

// Options configures a Runner.
type Options struct {
	// Self is this host.
	Self host.Host
	// Client accesses the platform's key-value store.
	Client consul.Client
	// Peers calls other hosts, which register the result of PeerService as "Config".
	Peers peer.Caller
	// PeerDeadline bounds one call to a peer of the same region; the default is
	// DefaultPeerDeadline.
	PeerDeadline time.Duration
	// Watchers is the number of hosts of a data centre that watch the platform; the default is
	// config.DefaultWatchers.
	Watchers int
	Logger   zerolog.Logger
	// Registerer registers the metrics unless it is nil.
	Registerer prometheus.Registerer
	// Now returns the wall clock time; the default is time.Now.
	Now func() time.Time
	// Seed seeds the random choices of the adopter.
	Seed uint64
	// OnAdopt is called with each adopted configuration, in order, from one goroutine. No
	// event is handled until it returns.
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
