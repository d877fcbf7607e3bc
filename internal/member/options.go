// Package member runs the membership protocol: it makes the exchanges that the
// state machine asks for over peer connections and publishes the view.
package member

import (
	"context"
	"net/netip"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/membership"
)

// Peers calls other hosts by address.
type Peers interface {
	CallAddress(ctx context.Context, to netip.AddrPort, method string, args, reply any) error
}

// Options configure a Runner.
type Options struct {
	// Self describes this host.
	Self host.Host
	// Seeds are peer addresses of hosts to join.
	Seeds []netip.AddrPort
	Peers Peers
	// PlatformHosts reads the platform's lagging host list; nil when there is none.
	PlatformHosts func(ctx context.Context) ([]membership.PlatformHost, error)
	Logger        zerolog.Logger
	Registerer    prometheus.Registerer
	Now           func() time.Time
	Seed          uint64
	// OnView receives each new view, in order, from one goroutine.
	OnView func(membership.View)
}

// Timing of the runner.
const (
	// exchangeTimeout bounds one exchange; a late answer still counts as a sign of life.
	exchangeTimeout = time.Second
	// hintInterval is the time between reads of the platform's host list.
	hintInterval = 30 * time.Second
	// hintTimeout bounds one read of the platform's host list.
	hintTimeout = 5 * time.Second
	// farewellTimeout bounds the announcement that this host has left.
	farewellTimeout = 500 * time.Millisecond
	// maxWait bounds the time between two steps.
	maxWait = 500 * time.Millisecond
)

// queueLength bounds the events that wait for the runner.
const queueLength = 256

// method is the net/rpc method of exchanges.
const method = "Member.Exchange"
