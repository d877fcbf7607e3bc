package peer

import (
	"fmt"

	"github.com/oatlatch/oatlatch/internal/host"
)

// Kind classifies why a call, a connection or a key was refused. Its text is
// the reason label of the metrics.
type Kind string

// Kinds of errors.
const (
	// UnknownHost means that the host is not a member.
	UnknownHost Kind = "unknown-host"
	// Unreachable means that no connection could be made or that it broke.
	Unreachable Kind = "unreachable"
	// Busy means that the cap of calls in flight to the peer is reached.
	Busy Kind = "busy"
	// Timeout means that the deadline passed before the answer came.
	Timeout Kind = "timeout"
	// Cancelled means that the caller gave up.
	Cancelled Kind = "cancelled"
	// TooLarge means that a message exceeds the size limit.
	TooLarge Kind = "too-large"
	// Failed means that the method ran and returned an error.
	Failed Kind = "failed"
	// Closed means that the client or server has been closed.
	Closed Kind = "closed"
	// WrongIdentity means that a certificate or greeting names another host.
	WrongIdentity Kind = "wrong-identity"
	// WrongAuthority means that a certificate is not signed by the deployment's CA.
	WrongAuthority Kind = "wrong-ca"
	// Expired means that a certificate is out of its validity period.
	Expired Kind = "expired"
	// NotTLS means that a connection did not start with a TLS handshake.
	NotTLS Kind = "not-tls"
	// NoCertificate means that the peer offered no certificate.
	NoCertificate Kind = "no-certificate"
	// Garbage means that a message could not be decoded.
	Garbage Kind = "garbage"
	// Stalled means that a peer did not complete a handshake or a message in time.
	Stalled Kind = "stalled"
	// TooMany means that the cap of connections is reached.
	TooMany Kind = "too-many-connections"
	// BadKeys means that the key files do not form a valid identity.
	BadKeys Kind = "bad-keys"
	// Interrupted means that the peer hung up before the connection was set up.
	Interrupted Kind = "interrupted"
)

// remedies tell an operator or a calling package what to do about each kind.
var remedies = map[Kind]string{
	UnknownHost:    "check that the host is listed by 'oatlatch status'",
	Unreachable:    "check that the host runs and that its peer address is reachable",
	Busy:           "retry later; raise the in-flight limit if this persists",
	Timeout:        "retry with a later deadline, or check the load of the peer",
	Cancelled:      "none needed",
	TooLarge:       "send less in one call",
	Failed:         "see the message of the peer",
	Closed:         "none needed while stopping",
	WrongIdentity:  "issue a certificate whose URI SAN is oatlatch://<data centre>/<host id> of that host",
	WrongAuthority: "use certificates signed by the CA named in the settings of all hosts",
	Expired:        "issue a new certificate and reload the keys, and check the clocks",
	NotTLS:         "set the same TLS keys on all hosts; only loopback may run without",
	NoCertificate:  "set certificate and key on the connecting host",
	Garbage:        "check that only oatlatch hosts of a compatible release connect to the peer address",
	Stalled:        "check the connecting host and the network between",
	TooMany:        "check for a host that reconnects in a loop",
	BadKeys:        "correct the CA, certificate and key settings",
	Interrupted:    "see the log of the connecting host",
}

// Error is a refused call, connection or key.
type Error struct {
	Kind Kind
	// Peer is the other host, if known.
	Peer host.ID
	// Address is the other host's address, if known.
	Address string
	// Err is the cause, if any.
	Err error
}

// Error names the kind, the peer, the cause and the remedy.
func (e *Error) Error() string {
	text := "peer: " + string(e.Kind)
	if e.Peer != "" {
		text += fmt.Sprintf(" (host %s)", e.Peer)
	}
	if e.Address != "" {
		text += fmt.Sprintf(" (address %s)", e.Address)
	}
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text + ": " + remedies[e.Kind]
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Is reports whether target is an Error of the same kind, so that
// errors.Is(err, &Error{Kind: Busy}) selects by kind.
func (e *Error) Is(target error) bool {
	other, ok := target.(*Error)
	return ok && other.Kind == e.Kind
}
