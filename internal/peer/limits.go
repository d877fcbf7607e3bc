package peer

import "time"

// Limits bound what one peer may cost. Zero fields take the defaults.
type Limits struct {
	// MessageBytes is the largest header and body of one request or response.
	MessageBytes int
	// InFlight is the number of calls in progress per peer.
	InFlight int
	// Connections is the number of connections per peer.
	Connections int
	// Handshakes is the number of connections that are being set up at once.
	Handshakes int
	// HandshakeTimeout bounds dialling, the TLS handshake and the greeting.
	HandshakeTimeout time.Duration
	// MessageTimeout bounds the transfer of one message once it has begun.
	MessageTimeout time.Duration
	// IdleTimeout closes a connection without calls.
	IdleTimeout time.Duration
	// CallTimeout is the deadline of calls whose context has none.
	CallTimeout time.Duration
	// StopTimeout bounds how long Run waits for calls in progress when it stops.
	StopTimeout time.Duration
	// StallTimeout closes a client connection that leaves timed-out calls without
	// an answer and delivers nothing else for that long.
	StallTimeout time.Duration
}

// Defaults of Limits.
const (
	defaultMessageBytes     = 1 << 20
	defaultInFlight         = 64
	defaultConnections      = 4
	defaultHandshakes       = 256
	defaultHandshakeTimeout = 2 * time.Second
	defaultMessageTimeout   = 5 * time.Second
	defaultIdleTimeout      = 2 * time.Minute
	defaultCallTimeout      = 10 * time.Second
	defaultStopTimeout      = 30 * time.Second
	defaultStallTimeout     = 10 * time.Second
)

// withDefaults fills the zero fields.
func (l Limits) withDefaults() Limits {
	setDefault(&l.MessageBytes, defaultMessageBytes)
	setDefault(&l.InFlight, defaultInFlight)
	setDefault(&l.Connections, defaultConnections)
	setDefault(&l.Handshakes, defaultHandshakes)
	setDefault(&l.HandshakeTimeout, defaultHandshakeTimeout)
	setDefault(&l.MessageTimeout, defaultMessageTimeout)
	setDefault(&l.IdleTimeout, defaultIdleTimeout)
	setDefault(&l.CallTimeout, defaultCallTimeout)
	setDefault(&l.StopTimeout, defaultStopTimeout)
	setDefault(&l.StallTimeout, defaultStallTimeout)
	return l
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
