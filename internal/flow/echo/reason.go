package echo

// Reason is the reason for a decision about a packet or for an event.
type Reason uint8

// Reasons of decisions and events.
const (
	// Opened means that an upstream was chosen for a new flow.
	Opened Reason = iota + 1
	// OpenedAgain means that a retransmitted SYN went to the same upstream as before.
	OpenedAgain
	// OpenedElsewhere means that a retransmitted SYN went to another upstream.
	OpenedElsewhere
	// Known means that the upstream was taken from the flow's record.
	Known
	// Echoed means that the flow had no record and the upstream was taken from the token
	// that the caller echoed.
	Echoed
	// NoConfiguration means that the engine has no configuration yet.
	NoConfiguration
	// NoRoute means that there is no route for the destination address.
	NoRoute
	// RouteRemoved means that the flow's route was removed from the configuration.
	RouteRemoved
	// NoUpstream means that the route has no upstream that accepts new flows.
	NoUpstream
	// Evacuated means that the route's upstreams that could accept new flows are all in
	// evacuated data centres.
	Evacuated
	// Region means that the upstreams that could accept new flows are all in regions that the
	// route does not allow.
	Region
	// AlreadyOpen means that the packet is a late copy of the SYN of an open flow.
	AlreadyOpen
	// Superseded means that the SYN waited at this host, which stood still, until its caller sent
	// another copy or gave up.
	Superseded
	// WarmingUp means that every upstream that accepts new flows of the route is cold, and
	// this host may not send it an opening packet now.
	WarmingUp
	// Overloaded means that a new flow was refused in favour of routes with a higher
	// priority, because its responses would probably miss the route's objective.
	Overloaded
	// Queued means that a new flow waits for a slot.
	Queued
	// FlowLimit means that the table of flow records is full, the caller has more than its
	// share of it, and none of the records that would give way to the new flow is idle.
	FlowLimit
	// UnknownToken means that the token identifies no known upstream.
	UnknownToken
	// WrongService means that the token identifies an upstream of a service that the
	// route has never used.
	WrongService
	// UpstreamLeft means that the flow's upstream has stopped.
	UpstreamLeft
	// UpstreamLost means that the flow's upstream is no longer registered and does
	// not answer.
	UpstreamLost
	// Unreachable means that the flow's upstream is suspected and the request is
	// repeatable.
	Unreachable
	// UnreachableIdle means that the flow's upstream is suspected and the flow has no
	// outstanding request.
	UnreachableIdle
	// Retransmissions means that several flows of the upstream retransmitted packets and
	// none of its flows was answered meanwhile.
	Retransmissions
	// UnresponsiveDataCentre means that no upstream in the data centre answers, so the
	// upstream is suspected along with the others there.
	UnresponsiveDataCentre
	// Reported means that flows of several hosts had no answer.
	Reported
	// Expired means that the reports of other hosts have ended.
	Expired
	// NoResponses means that requests of the upstream are late and none has been answered since.
	NoResponses
	// FailedAnswers means that answers are much shorter than usual and not slower, or
	// overdue.
	FailedAnswers
	// Answered means that the upstream answered a flow.
	Answered
	// Reachable means that a probe of the upstream succeeded.
	Reachable
	// Restarted means that a new process uses the upstream's ID.
	Restarted
	// HoldExpired means that the packet was held for so long that its sender has
	// retransmitted it or given up.
	HoldExpired
	// HoldFull means that the packet was held and gave way to a later one.
	HoldFull
	// Malformed means that the packet's header is invalid.
	Malformed
	// SendFailed means that the packet could not be sent.
	SendFailed

	// reasonCount is one more than the greatest reason.
	reasonCount
)

var reasonNames = [reasonCount]string{
	Opened:                 "opened",
	OpenedAgain:            "opened-again",
	OpenedElsewhere:        "opened-elsewhere",
	Known:                  "known",
	Echoed:                 "echoed",
	NoConfiguration:        "no-configuration",
	NoRoute:                "no-route",
	RouteRemoved:           "route-removed",
	NoUpstream:             "no-upstream",
	Evacuated:              "evacuated",
	Region:                 "region",
	AlreadyOpen:            "already-open",
	Superseded:             "superseded",
	WarmingUp:              "warming-up",
	Overloaded:             "overloaded",
	Queued:                 "queued",
	FlowLimit:              "flow-limit",
	UnknownToken:           "unknown-token",
	WrongService:           "wrong-service",
	UpstreamLeft:           "upstream-left",
	UpstreamLost:           "upstream-lost",
	Unreachable:            "unreachable",
	UnreachableIdle:        "unreachable-idle",
	Retransmissions:        "repeated-packets",
	UnresponsiveDataCentre: "silent-site",
	Reported:               "reported",
	Expired:                "expired",
	NoResponses:            "no-responses",
	FailedAnswers:          "failed-answers",
	Answered:               "answered",
	Reachable:              "reachable",
	Restarted:              "restarted",
	HoldExpired:            "hold-expired",
	HoldFull:               "hold-full",
	Malformed:              "malformed",
	SendFailed:             "send-failed",
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
