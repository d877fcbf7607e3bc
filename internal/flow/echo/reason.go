package echo

// Reason is the reason for a decision about a packet or for an event.
type Reason uint8

// Reasons of decisions and events.
const (
	// Opened means that an upstream was chosen for a new flow.
	Opened Reason = iota + 1
	// OpenedAgain means that a retransmitted SYN went to the upstream of the first.
	OpenedAgain
	// OpenedElsewhere means that a retransmitted SYN went to another upstream.
	OpenedElsewhere
	// Known means that the upstream was taken from the flow's record.
	Known
	// Echoed means that the upstream was taken from the token, without a record.
	Echoed
	// NoConfiguration means that the engine has no configuration yet.
	NoConfiguration
	// NoRoute means that no route has the destination address.
	NoRoute
	// RouteRemoved means that the flow's route was removed from the configuration.
	RouteRemoved
	// NoUpstream means that the route has no upstream that accepts new flows.
	NoUpstream
	// Overloaded means that a new flow was refused in favour of routes with a higher
	// priority, because its responses would probably miss the route's objective.
	Overloaded
	// UnknownToken means that the token is of no known upstream.
	UnknownToken
	// WrongService means that the token is of an upstream whose service the route
	// does not use.
	WrongService
	// UpstreamLeft means that the flow's upstream has stopped.
	UpstreamLeft
	// UpstreamLost means that the flow's upstream is no longer registered and does
	// not answer.
	UpstreamLost
	// Unreachable means that the flow's upstream is suspected and the request is
	// repeatable.
	Unreachable
	// RepeatedPackets means that several flows of the upstream retransmitted without
	// an answer.
	RepeatedPackets
	// SilentSite means that no upstream in the data centre answers.
	SilentSite
	// Answered means that the upstream answered a flow.
	Answered
	// Reachable means that a probe of the upstream succeeded.
	Reachable
	// Restarted means that a new process has the upstream's ID.
	Restarted
	// Malformed means that the packet's header is invalid.
	Malformed
	// SendFailed means that the packet could not be sent.
	SendFailed

	// reasonCount is one more than the last reason.
	reasonCount
)

var reasonNames = [reasonCount]string{
	Opened:          "opened",
	OpenedAgain:     "opened-again",
	OpenedElsewhere: "opened-elsewhere",
	Known:           "known",
	Echoed:          "echoed",
	NoConfiguration: "no-configuration",
	NoRoute:         "no-route",
	RouteRemoved:    "route-removed",
	NoUpstream:      "no-upstream",
	Overloaded:      "overloaded",
	UnknownToken:    "unknown-token",
	WrongService:    "wrong-service",
	UpstreamLeft:    "upstream-left",
	UpstreamLost:    "upstream-lost",
	Unreachable:     "unreachable",
	RepeatedPackets: "repeated-packets",
	SilentSite:      "silent-site",
	Answered:        "answered",
	Reachable:       "reachable",
	Restarted:       "restarted",
	Malformed:       "malformed",
	SendFailed:      "send-failed",
}

// String returns the reason's label in metrics and logs.
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
