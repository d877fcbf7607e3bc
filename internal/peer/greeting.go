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

// A connection starts with one line from the client, "oatlatch-peer/1 <host id>",
// and one from the server, "ok <host id>" or "no <kind>".
const (
	greetingProtocol = "oatlatch-peer/1"
	greetingAccepted = "ok"
	greetingRefused  = "no"
	// maxGreetingBytes bounds a greeting line.
	maxGreetingBytes = 256
)

// validID reports whether the ID can be sent in a greeting.
func validID(id host.ID) bool {
	return id != "" && len(id) < maxGreetingBytes-len(greetingProtocol)-2 &&
		!strings.ContainsFunc(string(id), func(r rune) bool { return r <= ' ' || r == 0x7f })
}

// readGreeting reads one line of two words. It reads byte by byte so that
// nothing after the line is consumed.
func readGreeting(in io.Reader) (word, rest string, err error) {
	line := make([]byte, 0, maxGreetingBytes)
	next := make([]byte, 1)
	for {
		if _, err := io.ReadFull(in, next); err != nil {
			return "", "", greetingError(err)
		}
		if next[0] == '\n' {
			break
		}
		if line = append(line, next[0]); len(line) > maxGreetingBytes {
			return "", "", &Error{Kind: Garbage, Err: errors.New("greeting is too long")}
		}
	}
	word, rest, found := strings.Cut(string(line), " ")
	if !found {
		return "", "", &Error{Kind: Garbage, Err: fmt.Errorf("greeting %q", line)}
	}
	return word, rest, nil
}

// greetingError classifies an error of the handshake or the greeting.
func greetingError(err error) error {
	var typed *Error
	var record tls.RecordHeaderError
	var timeout net.Error
	switch {
	case errors.As(err, &typed):
		return err
	case errors.As(err, &record):
		return &Error{Kind: NotTLS, Err: errors.New("first bytes are no TLS handshake")}
	case errors.As(err, &timeout) && timeout.Timeout():
		return &Error{Kind: Stalled, Err: err}
	case strings.Contains(err.Error(), "client didn't provide a certificate"):
		return &Error{Kind: NoCertificate, Err: err}
	default:
		return &Error{Kind: Interrupted, Err: err}
	}
}

// acceptGreeting reads the client's greeting and answers it. The authenticated
// identity is empty in plain mode.
func acceptGreeting(conn net.Conn, self, authenticated host.ID) (host.ID, error) {
	protocol, name, err := readGreeting(conn)
	if err != nil {
		return "", err
	}
	from := host.ID(name)
	switch {
	case protocol != greetingProtocol || !validID(from):
		err = &Error{Kind: Garbage, Err: errors.New("unknown greeting")}
	case authenticated != "" && authenticated != from:
		err = &Error{Kind: WrongIdentity, Peer: from, Err: fmt.Errorf("certificate is for %s", authenticated)}
	}
	if err != nil {
		refuse(conn, err)
		return "", err
	}
	_, err = fmt.Fprintf(conn, "%s %s\n", greetingAccepted, self)
	return from, err
}

// refuse tells the client the reason, as far as the connection allows.
func refuse(conn net.Conn, err error) {
	var typed *Error
	if errors.As(err, &typed) {
		_, _ = fmt.Fprintf(conn, "%s %s\n", greetingRefused, typed.Kind)
	}
}

// sendGreeting greets the server and returns the identity it claims.
func sendGreeting(conn net.Conn, self host.ID) (host.ID, error) {
	if _, err := fmt.Fprintf(conn, "%s %s\n", greetingProtocol, self); err != nil {
		return "", greetingError(err)
	}
	word, rest, err := readGreeting(conn)
	if err != nil {
		return "", err
	}
	if word != greetingAccepted {
		return "", &Error{Kind: Kind(rest), Err: errors.New("refused by the peer")}
	}
	return host.ID(rest), nil
}
