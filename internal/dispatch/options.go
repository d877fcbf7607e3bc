// Package dispatch serves callers' requests over HTTP. It sends each request to an
// upstream within the slots of its service, relays a request with a ticket to the
// host that holds the ticket's ledger, and reports a typed outcome to the caller.
//
// A non-idempotent request carries a ticket, which gives it the right to run once.
// The ledger of the host that issued the ticket records the result, so that a
// repeat of the request gets the same response. Burning a ticket makes sure that its
// request never runs. A host that stops hands its ledgers to a successor.
package dispatch

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/peer"
)

// Options configures a Dispatcher. Limits that are zero take their defaults, except
// Limits.QueueLimit.
type Options struct {
	Self       host.Host
	Logger     zerolog.Logger
	Registerer prometheus.Registerer
	Now        func() time.Time
	// Seed seeds the random choice of upstreams and lenders.
	Seed   uint64
	Peers  peer.Caller
	Limits Limits
}

// Limits bounds the memory and the time that a Dispatcher spends.
type Limits struct {
	// DefaultDeadline applies to requests that state no deadline, and MaxDeadline
	// caps the deadlines that requests state.
	DefaultDeadline time.Duration
	MaxDeadline     time.Duration
	// BodyReadTimeout bounds how long a caller may take to send a request body.
	BodyReadTimeout time.Duration
	// WriteTimeout bounds how long a caller may take to accept one part of a response.
	WriteTimeout time.Duration
	// DialTimeout bounds connecting to an upstream.
	DialTimeout time.Duration
	// RelayTimeout bounds how long the refusal of a request waits until the holder of
	// the ledger has burned the ticket.
	RelayTimeout time.Duration
	// QuietPeriod is how long no request may have arrived before a stopping host
	// closes its idle connections.
	QuietPeriod time.Duration
	// MaxHeaderBytes bounds the headers of requests and responses.
	MaxHeaderBytes int
	// MaxBodyBytes bounds the body of a non-idempotent request. Together with its
	// headers it must fit into one message between hosts.
	MaxBodyBytes int64
	// MaxResponseBytes bounds the response to a non-idempotent request, which must fit
	// into one message between hosts as well.
	MaxResponseBytes int64
	// QueueLimit bounds the requests that wait for a slot of one service; zero lets none
	// wait. Its default is that of the settings.
	QueueLimit int
	// TicketLifetime is the time after which an unused ticket expires.
	TicketLifetime time.Duration
	// ResultRetention is how long the full result of a non-idempotent request is kept.
	ResultRetention time.Duration
	// MaxResults and MaxResultBytes bound the results kept in full.
	MaxResults     int
	MaxResultBytes int
	// MaxTickets bounds the tickets whose state is kept, such as unused or burned.
	MaxTickets int
	// RetryRatio is the number of retries that each first attempt adds to the
	// service's retry budget.
	RetryRatio float64
}

const (
	defaultDeadline         = 10 * time.Second
	defaultMaxDeadline      = 10 * time.Minute
	defaultBodyReadTimeout  = 10 * time.Second
	defaultWriteTimeout     = 30 * time.Second
	defaultDialTimeout      = time.Second
	defaultRelayTimeout     = time.Second
	defaultQuietPeriod      = 500 * time.Millisecond
	defaultMaxHeaderBytes   = 32 << 10
	defaultMaxBodyBytes     = 512 << 10
	defaultMaxResponseBytes = 512 << 10
	defaultTicketLifetime   = 10 * time.Minute
	defaultResultRetention  = 15 * time.Minute
	defaultMaxResults       = 20_000
	defaultMaxResultBytes   = 16 << 20
	defaultMaxTickets       = 2 << 20
	defaultRetryRatio       = 0.1
)

// maxRelayedBytes caps MaxBodyBytes and MaxResponseBytes, so that a body fits into
// one message between hosts together with its headers.
const maxRelayedBytes = 768 << 10

func (l Limits) withDefaults() Limits {
	orDefault(&l.DefaultDeadline, defaultDeadline)
	orDefault(&l.MaxDeadline, defaultMaxDeadline)
	orDefault(&l.BodyReadTimeout, defaultBodyReadTimeout)
	orDefault(&l.WriteTimeout, defaultWriteTimeout)
	orDefault(&l.DialTimeout, defaultDialTimeout)
	orDefault(&l.RelayTimeout, defaultRelayTimeout)
	orDefault(&l.QuietPeriod, defaultQuietPeriod)
	orDefault(&l.TicketLifetime, defaultTicketLifetime)
	orDefault(&l.ResultRetention, defaultResultRetention)
	orDefault(&l.MaxHeaderBytes, defaultMaxHeaderBytes)
	orDefault(&l.MaxBodyBytes, defaultMaxBodyBytes)
	orDefault(&l.MaxResponseBytes, defaultMaxResponseBytes)
	orDefault(&l.MaxResults, defaultMaxResults)
	orDefault(&l.MaxResultBytes, defaultMaxResultBytes)
	orDefault(&l.MaxTickets, defaultMaxTickets)
	orDefault(&l.RetryRatio, defaultRetryRatio)
	l.MaxBodyBytes = min(l.MaxBodyBytes, maxRelayedBytes)
	l.MaxResponseBytes = min(l.MaxResponseBytes, maxRelayedBytes)
	return l
}

func orDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}
