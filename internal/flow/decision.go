package flow

import (
	"net/netip"

	"github.com/oatlatch/oatlatch/internal/service"
)

// Verdict is the action to take on a packet.
type Verdict uint8

// The verdicts.
const (
	// Drop discards the packet and counts the decision's Reason.
	Drop Verdict = iota
	// Forward sends the packet to the upstream at Target.
	Forward
	// RelayPacket relays the packet to the entry host at Target, with Relay as its header.
	RelayPacket
)

// Decision is the result of Decide for one packet.
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
