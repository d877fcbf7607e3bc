package flow

// Reason is why a packet was dropped.
type Reason uint8

// The reasons for dropping a packet.
const (
	// NoConfiguration means that the host has adopted no configuration yet.
	NoConfiguration Reason = iota + 1
	// UnknownDestination means that no service has the destination address and protocol.
	UnknownDestination
	// Quarantined means that a service released the destination address and it may
	// not be reused yet.
	Quarantined
	// WrongService means that a relayed packet names another service than the one at
	// its destination.
	WrongService
	// NoUpstream means that the service has no upstream for the flow.
	NoUpstream
	// UnknownUpstream means that a relayed packet names an upstream that the service
	// does not have.
	UnknownUpstream
	// TooManyHops means that the packet was relayed MaxHops times already.
	TooManyHops
	// Undecided means that no host can decide yet: the slot's owner is not ready or
	// the slot has none. Callers that retransmit succeed later.
	Undecided
	// UnknownSender means that a relayed packet came from an address that is not a member's.
	UnknownSender
	// Truncated means that the packet is shorter than its headers or its stated length.
	Truncated
	// Malformed means that a header is not valid.
	Malformed
	// Oversized means that the packet exceeds the size limit.
	Oversized
	// Fragment means that the packet is an IP fragment, which carries no ports.
	Fragment
	// UnsupportedProtocol means that the packet is neither TCP nor UDP over IP.
	UnsupportedProtocol
	// SendFailed means that sending the packet to the socket failed.
	SendFailed

	// reasonCount is the number of the last reason plus one.
	reasonCount
)

var reasonNames = [reasonCount]string{
	NoConfiguration:     "no-configuration",
	UnknownDestination:  "unknown-destination",
	Quarantined:         "quarantined",
	WrongService:        "wrong-service",
	NoUpstream:          "no-upstream",
	UnknownUpstream:     "unknown-upstream",
	TooManyHops:         "too-many-hops",
	Undecided:           "undecided",
	UnknownSender:       "unknown-sender",
	Truncated:           "truncated",
	Malformed:           "malformed",
	Oversized:           "oversized",
	Fragment:            "fragment",
	UnsupportedProtocol: "unsupported-protocol",
	SendFailed:          "send-failed",
}

// String returns the reason's label in metrics and status.
func (r Reason) String() string {
	if r == 0 || r >= reasonCount {
		return "none"
	}
	return reasonNames[r]
}

// Reasons returns all reasons.
func Reasons() []Reason {
	all := make([]Reason, 0, reasonCount-1)
	for r := Reason(1); r < reasonCount; r++ {
		all = append(all, r)
	}
	return all
}
