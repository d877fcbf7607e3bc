package peer

import "time"

// Limits bounds the resources that a client or server uses and the duration of its
// operations. A field that is zero or negative takes its default.
type Limits struct {
	// MessageBytes is the maximum size of a request or response, header and body together.
	MessageBytes int
	// InFlight is the maximum number of calls in progress per peer.
	InFlight int
	// Connections is the maximum number of connections from one peer.
	Connections int
	// Handshakes is the maximum number of simultaneous handshakes on a server.
	Handshakes int
	// HandshakeTimeout limits dialling, the TLS handshake and the greeting together.
	HandshakeTimeout time.Duration
	// MessageTimeout limits the transfer of a message once it has begun.
	MessageTimeout time.Duration
	// IdleTimeout is the time without a call in progress or a new message after which a
	// server closes a connection. A client closes an idle connection earlier.
	IdleTimeout time.Duration
	// CallTimeout is the time limit of a call that has no deadline.
	CallTimeout time.Duration
	// StopTimeout is how long Run waits for calls in progress when it stops.
	StopTimeout time.Duration
	// StallTimeout is the time after which a client closes a connection that has an
	// abandoned call without a response and has delivered nothing else since the call
	// was abandoned.
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

// withDefaults returns the limits with their defaults filled in.
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
