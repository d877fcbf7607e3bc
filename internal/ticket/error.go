package ticket

import "fmt"

// Kind is why a ticket was refused before its ledger was asked.
type Kind uint8

// Kinds of refusal.
const (
	// Malformed tickets cannot have been issued by any host.
	Malformed Kind = iota + 1
	// Forged tickets carry a wrong MAC under a known key.
	Forged
	// UnknownKey tickets name a key that this host does not hold.
	UnknownKey
)

// Error is a refused ticket.
type Error struct {
	Kind   Kind
	Detail string
}

// Error names the remedy.
func (e *Error) Error() string {
	switch e.Kind {
	case UnknownKey:
		return "ticket: its key is not known here: ask the issuer, or wait for the configuration"
	case Forged:
		return "ticket: wrong MAC: get a fresh ticket by sending the request without one"
	default:
		return fmt.Sprintf("ticket: malformed (%s): get a fresh ticket by sending the request without one", e.Detail)
	}
}
