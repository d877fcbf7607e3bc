// Package dispatch serves callers' requests: it runs them at upstreams, relays
// tickets between hosts and tells each caller a typed outcome.
package dispatch

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/peer"
)

// Options sets up a dispatcher. Zero limits take their defaults.
type Options struct {
	Self       host.Host
	Logger     zerolog.Logger
	Registerer prometheus.Registerer
	Now        func() time.Time
	Seed       uint64
	Peers      peer.Caller
	Limits     Limits
}

// Limits bounds what the dispatcher holds and for how long.
type Limits struct {
	// DefaultDeadline applies to requests without a deadline, MaxDeadline to all.
	DefaultDeadline time.Duration
	MaxDeadline     time.Duration
	// BodyReadTimeout bounds how long a caller may take to send a body.
	BodyReadTimeout time.Duration
	// WriteTimeout bounds how long a caller may take to accept a part of an answer.
	WriteTimeout time.Duration
	// DialTimeout bounds connecting to an upstream.
	DialTimeout time.Duration
	// RelayTimeout bounds how long a refusal waits for the issuer to burn the ticket.
	RelayTimeout time.Duration
	// QuietTime is how long no request must arrive before a stopping host closes
	// its idle connections.
	QuietTime time.Duration
	// MaxHeaderBytes bounds the headers of requests and answers.
	MaxHeaderBytes int
	// MaxBodyBytes bounds the body of a non-idempotent request. With the headers
	// it must fit into one message between hosts, as must an answer.
	MaxBodyBytes int64
	// MaxAnswerBytes bounds the answer to a non-idempotent request.
	MaxAnswerBytes int64
	// QueueLimit bounds the requests that wait for a slot of one service.
	QueueLimit int
	// TicketLife is how long a ticket may be dispatched.
	TicketLife time.Duration
	// KeepResults is how long the result of a non-idempotent request is kept in full.
	KeepResults time.Duration
	// MaxResults and MaxResultBytes bound the results kept in full.
	MaxResults     int
	MaxResultBytes int
	// MaxTickets bounds the tickets whose state is kept.
	MaxTickets int
	// RetryRatio is the number of retries that each fresh request earns.
	RetryRatio float64
}

// Default limits.
const (
	defaultDeadline        = 10 * time.Second
	defaultMaxDeadline     = 10 * time.Minute
	defaultBodyReadTimeout = 10 * time.Second
	defaultWriteTimeout    = 30 * time.Second
	defaultDialTimeout     = time.Second
	defaultRelayTimeout    = time.Second
	defaultQuietTime       = 500 * time.Millisecond
	defaultMaxHeaderBytes  = 32 << 10
	defaultMaxBodyBytes    = 512 << 10
	defaultMaxAnswerBytes  = 512 << 10
	defaultQueueLimit      = 256
	defaultTicketLife      = 10 * time.Minute
	defaultKeepResults     = 15 * time.Minute
	defaultMaxResults      = 20_000
	defaultMaxResultBytes  = 16 << 20
	defaultMaxTickets      = 2 << 20
	defaultRetryRatio      = 0.1
)

// maxRelayedBytes bounds bodies and answers so that with their headers they fit
// into one message between hosts.
const maxRelayedBytes = 768 << 10

func (l Limits) withDefaults() Limits {
	orDefault(&l.DefaultDeadline, defaultDeadline)
	orDefault(&l.MaxDeadline, defaultMaxDeadline)
	orDefault(&l.BodyReadTimeout, defaultBodyReadTimeout)
	orDefault(&l.WriteTimeout, defaultWriteTimeout)
	orDefault(&l.DialTimeout, defaultDialTimeout)
	orDefault(&l.RelayTimeout, defaultRelayTimeout)
	orDefault(&l.QuietTime, defaultQuietTime)
	orDefault(&l.TicketLife, defaultTicketLife)
	orDefault(&l.KeepResults, defaultKeepResults)
	orDefault(&l.MaxHeaderBytes, defaultMaxHeaderBytes)
	orDefault(&l.MaxBodyBytes, defaultMaxBodyBytes)
	orDefault(&l.MaxAnswerBytes, defaultMaxAnswerBytes)
	orDefault(&l.QueueLimit, defaultQueueLimit)
	orDefault(&l.MaxResults, defaultMaxResults)
	orDefault(&l.MaxResultBytes, defaultMaxResultBytes)
	orDefault(&l.MaxTickets, defaultMaxTickets)
	orDefault(&l.RetryRatio, defaultRetryRatio)
	l.MaxBodyBytes = min(l.MaxBodyBytes, maxRelayedBytes)
	l.MaxAnswerBytes = min(l.MaxAnswerBytes, maxRelayedBytes)
	return l
}

func orDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}
