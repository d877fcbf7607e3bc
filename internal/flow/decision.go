package flow

import (
	"net/netip"

	"github.com/oatlatch/oatlatch/internal/service"
)

// Verdict says what to do with a packet.
type Verdict uint8

// Verdicts on a packet.
const (
	// Drop discards the packet and counts the decision's Reason.
	Drop Verdict = iota
	// Forward sends the packet to the upstream at Target.
	Forward
	// PassOn sends the packet to the entry host at Target with Relay.
	PassOn
)

// Decision is the outcome for one packet.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	Service service.ID
	Target  netip.AddrPort
	Relay   Relay
}

func drop(reason Reason) Decision {
	return Decision{Verdict: Drop, Reason: reason}
}
