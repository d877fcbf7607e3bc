package peer

import (
	"fmt"

	"github.com/oatlatch/oatlatch/internal/host"
)

// Kind is the reason why a call, a connection or a set of keys was refused or failed.
// Its text is the value of metric labels, of the log field "reason" and of the reason
// in a refused greeting.
type Kind string

// Kinds of errors.
const (
	// UnknownHost means that the host is not a member.
	UnknownHost Kind = "unknown-host"
	// Unreachable means that no connection could be established or that it failed.
	Unreachable Kind = "unreachable"
	// Busy means that the limit of calls in flight between the two hosts is reached.
	Busy Kind = "busy"
	// Timeout means that the deadline passed before the response arrived.
	Timeout Kind = "timeout"
	// Cancelled means that the context of the call was cancelled.
	Cancelled Kind = "cancelled"
	// TooLarge means that a message exceeds the size limit.
	TooLarge Kind = "too-large"
	// Failed means that the method returned an error or does not exist.
	Failed Kind = "failed"
	// Closed means that the client is closed or that the server is stopping.
	Closed Kind = "closed"
	// WrongIdentity means that a certificate or greeting has no valid identity or that
	// of another host.
	WrongIdentity Kind = "wrong-identity"
	// UnknownAuthority means that a certificate is not signed by a configured CA or not
	// valid for its use.
	UnknownAuthority Kind = "wrong-ca"
	// Expired means that a certificate is outside its validity period.
	Expired Kind = "expired"
	// NotTLS means that a connection did not start with a TLS handshake.
	NotTLS Kind = "not-tls"
	// NoCertificate means that the peer presented no certificate.
	NoCertificate Kind = "no-certificate"
	// Malformed means that a message or greeting could not be encoded or decoded.
	Malformed Kind = "garbage"
	// Stalled means that a peer did not complete a handshake or a message in time.
	Stalled Kind = "stalled"
	// TooManyConnections means that the limit of connections of one peer or of
	// simultaneous handshakes is reached.
	TooManyConnections Kind = "too-many-connections"
	// InvalidKeys means that this host's keys are missing, inconsistent or for another
	// identity.
	InvalidKeys Kind = "bad-keys"
	// Interrupted means that the connection failed during the handshake.
	Interrupted Kind = "interrupted"
)

// remedies are the parts of error messages that tell an operator what to do about
// each kind.
var remedies = map[Kind]string{
	UnknownHost:        "check that the host is listed by 'oatlatch status'",
	Unreachable:        "check that the host runs and that its peer address is reachable",
	Busy:               "retry later; raise the in-flight limit if this persists",
	Timeout:            "retry with a later deadline, or check the load of the peer",
	Cancelled:          "no action needed",
	TooLarge:           "reduce the size of the arguments or the reply",
	Failed:             "see the error message of the peer",
	Closed:             "no action needed while the host stops",
	WrongIdentity:      "issue a certificate whose URI SAN is oatlatch://<data centre>/<host id> of that host",
	UnknownAuthority:   "use certificates signed by the CA that is configured on all hosts",
	Expired:            "issue a new certificate and reload the keys, and check the clocks of the hosts",
	NotTLS:             "configure TLS keys with the same CA on all hosts; only loopback addresses work without TLS",
	NoCertificate:      "configure the certificate and key of the connecting host",
	Malformed:          "check that only oatlatch hosts of a compatible release connect to the peer address",
	Stalled:            "check the connecting host and the network between the hosts",
	TooManyConnections: "check for a host that repeatedly reconnects",
	InvalidKeys:        "correct the CA, certificate and key settings",
	Interrupted:        "check the log of the connecting host",
}

// remoteKind returns the kind that a peer has sent, or the given one if the text is not a
// kind. Kinds become metric labels, so no other text of a peer may become one.
func remoteKind(text string, otherwise Kind) Kind {
	if _, known := remedies[Kind(text)]; known {
		return Kind(text)
	}
	return otherwise
}

// Error describes a refused or failed call, connection or set of keys.
type Error struct {
	Kind Kind
	// Peer is the ID of the other host, if known.
	Peer host.ID
	// Address is the other host's address, if known.
	Address string
	// Err is the cause, if any.
	Err error
}

// Error returns a message with the kind, the peer, its address, the cause and the
// remedy.
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

// Is reports whether target is an *Error of the same kind, so that
// errors.Is(err, &Error{Kind: Busy}) matches every error of that kind.
func (e *Error) Is(target error) bool {
	other, ok := target.(*Error)
	return ok && other.Kind == e.Kind
}
