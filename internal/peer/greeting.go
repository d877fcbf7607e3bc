package peer

import (
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"

	"github.com/oatlatch/oatlatch/internal/host"
)

// After the TLS handshake, if any, each side sends a greeting of one line: first the
// client "oatlatch-peer/1 <host id>", then the server "ok <host id>" or "no <kind>".
const (
	greetingProtocol = "oatlatch-peer/1"
	greetingAccepted = "ok"
	greetingRefused  = "no"
	// maxGreetingBytes is the maximum length of a greeting without its newline.
	maxGreetingBytes = 256
)

// validHostID reports whether the ID can be sent in a greeting.
func validHostID(id host.ID) bool {
	return id != "" && len(id) < maxGreetingBytes-len(greetingProtocol)-2 &&
		!strings.ContainsFunc(string(id), func(r rune) bool { return r <= ' ' || r == 0x7f })
}

// readGreeting reads a greeting and returns its first word and the rest of the line.
// It reads byte by byte so as not to consume data that follows the line.
func readGreeting(r io.Reader) (word, rest string, err error) {
	line := make([]byte, 0, maxGreetingBytes)
	b := make([]byte, 1)
	for {
		if _, err := io.ReadFull(r, b); err != nil {
			return "", "", handshakeError(err)
		}
		if b[0] == '\n' {
			break
		}
		if line = append(line, b[0]); len(line) > maxGreetingBytes {
			return "", "", &Error{Kind: Malformed, Err: errors.New("greeting is too long")}
		}
	}
	word, rest, found := strings.Cut(string(line), " ")
	if !found {
		return "", "", &Error{Kind: Malformed, Err: fmt.Errorf("malformed greeting %q", line)}
	}
	return word, rest, nil
}

// handshakeError converts an error of the TLS handshake or the greeting to an *Error.
func handshakeError(err error) error {
	var typed *Error
	var record tls.RecordHeaderError
	var timeout net.Error
	switch {
	case errors.As(err, &typed):
		return err
	case errors.As(err, &record):
		return &Error{Kind: NotTLS, Err: errors.New("the connection does not start with a TLS handshake")}
	case errors.As(err, &timeout) && timeout.Timeout():
		return &Error{Kind: Stalled, Err: err}
	// crypto/tls has no error type for a missing client certificate.
	case strings.Contains(err.Error(), "client didn't provide a certificate"):
		return &Error{Kind: NoCertificate, Err: err}
	default:
		return &Error{Kind: Interrupted, Err: err}
	}
}

// acceptGreeting reads the client's greeting and responds to it. It returns the host ID
// in the greeting. authenticated is the host ID in the client's certificate, empty
// without TLS.
func acceptGreeting(conn net.Conn, self, authenticated host.ID) (host.ID, error) {
	protocol, name, err := readGreeting(conn)
	if err != nil {
		return "", err
	}
	remote := host.ID(name)
	switch {
	case protocol != greetingProtocol || !validHostID(remote):
		err = &Error{Kind: Malformed, Err: errors.New("unsupported protocol or invalid host ID in the greeting")}
	case authenticated != "" && authenticated != remote:
		err = &Error{Kind: WrongIdentity, Peer: remote, Err: fmt.Errorf("the client's certificate is for host %s", authenticated)}
	}
	if err != nil {
		sendRefusal(conn, err)
		return "", err
	}
	_, err = fmt.Fprintf(conn, "%s %s\n", greetingAccepted, self)
	return remote, err
}

// sendRefusal sends the kind of the error to the client. A write error is ignored,
// because the connection is closed in any case.
func sendRefusal(conn net.Conn, err error) {
	var typed *Error
	if errors.As(err, &typed) {
		_, _ = fmt.Fprintf(conn, "%s %s\n", greetingRefused, typed.Kind)
	}
}

// sendGreeting sends the client's greeting and returns the host ID in the server's.
func sendGreeting(conn net.Conn, self host.ID) (host.ID, error) {
	if _, err := fmt.Fprintf(conn, "%s %s\n", greetingProtocol, self); err != nil {
		return "", handshakeError(err)
	}
	word, rest, err := readGreeting(conn)
	if err != nil {
		return "", err
	}
	if word != greetingAccepted {
		return "", &Error{Kind: remoteKind(rest, Malformed), Err: errors.New("the peer refused the connection")}
	}
	return host.ID(rest), nil
}
