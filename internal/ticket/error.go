package ticket

import "fmt"

// ErrorKind is the reason for which Keyring.Verify rejects a ticket.
type ErrorKind uint8

// Kinds of errors.
const (
	// Malformed means that the text is not an encoded ticket.
	Malformed ErrorKind = iota + 1
	// Forged means that the MAC is invalid for the key that the ticket names.
	Forged
	// UnknownKey means that the ticket names a key that this host does not have.
	UnknownKey
)

// Error reports a ticket that cannot be verified.
type Error struct {
	Kind ErrorKind
	// Detail says what is wrong with a malformed ticket.
	Detail string
}

// Error describes the fault and the remedy.
func (e *Error) Error() string {
	switch e.Kind {
	case UnknownKey:
		return "ticket: this host does not have the key of the ticket: ask the issuer, or wait for the next configuration"
	case Forged:
		return "ticket: invalid MAC: send the request without a ticket to get a new one"
	default:
		return fmt.Sprintf("ticket: malformed (%s): send the request without a ticket to get a new one", e.Detail)
	}
}
