package flow

// Reason says why a packet was dropped.
type Reason uint8

// Reasons for dropping packets.
const (
	// NoConfiguration means that the host has adopted no configuration yet.
	NoConfiguration Reason = iota + 1
	// UnknownDestination means that no service has the destination address.
	UnknownDestination
	// Quarantined means that the destination address was released and awaits reuse.
	Quarantined
	// WrongService means that a relayed packet names another service than its destination's.
	WrongService
	// NoUpstream means that the service has no upstream that may take the flow.
	NoUpstream
	// UnknownUpstream means that a relayed packet names an upstream that is not the service's.
	UnknownUpstream
	// TooManyHops means that the packet passed between entry hosts too often.
	TooManyHops
	// Undecided means that the owner of the packet's slot is not ready; the caller retransmits.
	Undecided
	// UnknownSender means that a relayed packet did not come from a member.
	UnknownSender
	// Truncated means that the packet ends before its headers or stated length do.
	Truncated
	// Malformed means that a header is not valid.
	Malformed
	// Oversized means that the packet exceeds the size limit.
	Oversized
	// Fragment means that the packet is an IP fragment, which carries no ports.
	Fragment
	// UnsupportedProtocol means that the packet is neither TCP nor UDP over IP.
	UnsupportedProtocol
	// SendFailed means that the socket refused the packet.
	SendFailed

	// reasonCount is one more than the last reason.
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
