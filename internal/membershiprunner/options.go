// Package membershiprunner runs the membership protocol: it carries out the exchanges of the
// state machine over peer connections and publishes the view.
package membershiprunner

import (
	"context"
	"net/netip"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/membership"
)

// PeerClient calls methods of other hosts by peer address.
type PeerClient interface {
	CallAddress(ctx context.Context, to netip.AddrPort, method string, args, reply any) error
}

// Options configures a Runner.
type Options struct {
	// Self describes this host.
	Self host.Host
	// Seeds are peer addresses of hosts to join through.
	Seeds []netip.AddrPort
	Peers PeerClient
	// PlatformHosts reads the platform's host list, which may be out of date. It is nil
	// if the platform has none.
	PlatformHosts func(ctx context.Context) ([]membership.PlatformHost, error)
	Logger        zerolog.Logger
	Registerer    prometheus.Registerer
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Seed seeds the random number generator of the membership state machine.
	Seed uint64
	// OnView is called with each new view, in order, from a single goroutine.
	OnView func(membership.View)
}

// Timing of the runner.
const (
	// exchangeTimeout bounds one exchange. It exceeds the interval between probes, so
	// that an answer that arrives after the next probe still counts as a sign of life.
	exchangeTimeout = time.Second
	// hostListInterval is the mean time between reads of the platform's host list.
	hostListInterval = 30 * time.Second
	// hostListTimeout bounds one read of the platform's host list.
	hostListTimeout = 5 * time.Second
	// stopAnnouncementTimeout bounds the final exchanges, which announce that this host
	// has left.
	stopAnnouncementTimeout = 500 * time.Millisecond
	// maxStepInterval bounds the time between two steps.
	maxStepInterval = 500 * time.Millisecond
)

// eventQueueLength bounds the number of events waiting for the event loop of Run.
const eventQueueLength = 256

// exchangeMethod is the net/rpc method that performs an exchange.
const exchangeMethod = "Member.Exchange"
