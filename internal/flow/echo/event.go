package echo

import (
	"net/netip"
	"time"
)

// EventKind is the kind of an Event.
type EventKind uint8

// Kinds of events.
const (
	// Suspected means that an upstream has stopped answering. New flows avoid it.
	Suspected EventKind = iota + 1
	// DataCentreSilent means that no upstream of a data centre answers. New flows avoid it.
	DataCentreSilent
	// Cleared means that an upstream is no longer suspected.
	Cleared
	// Unopened means that no packet followed a flow's SYNs, presumably because they had
	// no answer.
	Unopened
	// Unanswered means that a request had no response within its timeout.
	Unanswered
	// Ejected means that an upstream's answers look failed. New flows avoid it for a time.
	Ejected
	// Returned means that an ejected upstream gets its share of new flows again.
	Returned
	// EvacuationInForce means that upstreams of a data centre get no more new flows.
	EvacuationInForce
	// EvacuationEnded means that upstreams of the data centre may get new flows again.
	EvacuationEnded
	// RecordsFull means that flow records were evicted, or new flows refused, because there
	// were Options.MaxFlows records.
	RecordsFull
)

var eventNames = map[EventKind]string{
	Suspected:         "upstream_suspected",
	DataCentreSilent:  "data_centre_silent",
	Cleared:           "upstream_cleared",
	Unopened:          "flow_unopened",
	Unanswered:        "request_unanswered",
	Ejected:           "upstream_ejected",
	Returned:          "upstream_returned",
	EvacuationInForce: "evacuation_in_force",
	EvacuationEnded:   "evacuation_ended",
	RecordsFull:       "flow_records_full",
}

// EventKinds returns all kinds of events.
func EventKinds() []EventKind {
	return []EventKind{Suspected, DataCentreSilent, Cleared, Unopened, Unanswered, Ejected, Returned, EvacuationInForce, EvacuationEnded, RecordsFull}
}

// String returns the event's name in logs.
func (k EventKind) String() string { return eventNames[k] }

// Event reports that the suspicion or the ejection of an upstream, or the evacuation of a
// data centre, began or ended, that a flow or request had no answer, or that the table of flow
// records was full.
type Event struct {
	Kind       EventKind
	Upstream   string
	DataCentre string
	// Reason is set for Suspected, Cleared and Ejected events.
	Reason Reason
	// UnansweredFlows is the number of flows of the upstream, or the data centre, that have
	// retransmitted since its last answer. It is set for Suspected and DataCentreSilent
	// events.
	UnansweredFlows int
	// Hosts is the number of hosts with evidence against a suspected or ejected upstream.
	Hosts int
	// Answers and FailedAnswers are the numbers of recent answers of an ejected upstream
	// to all hosts, as far as they are known, and of those that looked failed.
	Answers, FailedAnswers float64
	// Age depends on the kind: the time since the suspected upstream or the silent data
	// centre last answered,
	// the time for which the cleared or returned upstream was suspected or ejected, the
	// time for which the ejected one will be, the time for which the evacuation was in
	// force here, or the time since the first SYN or the request.
	Age time.Duration
	// ProcessAge is the time since this host first saw the current process of a suspected or
	// ejected upstream.
	ProcessAge time.Duration
	// Caller and Address identify the flow of an Unopened or Unanswered event. Holder tells, for
	// Unanswered events, which process of the upstream holds the flow.
	Caller, Address netip.AddrPort
	Holder          Holder
	// Evacuation is set for EvacuationInForce and EvacuationEnded events.
	Evacuation EvacuationStatus
	// Records is set for RecordsFull events.
	Records RecordPressure
}

// reportUnanswered reports that a flow's SYNs or request had no answer. The kind is
// Unopened or Unanswered.
func (e *Engine) reportUnanswered(now time.Time, kind EventKind, key flowKey, rec *flowRecord) {
	since := rec.requestedAt
	if kind == Unopened {
		since = rec.created
	}
	e.report(Event{
		Kind: kind, Upstream: rec.upstream.Name, DataCentre: rec.upstream.DataCentre, Age: timeSince(now, since),
		Caller: key.caller, Address: key.address, Holder: e.holderOf(rec),
	})
}

// report passes the event to Options.OnEvent.
func (e *Engine) report(event Event) {
	if e.options.OnEvent != nil {
		e.options.OnEvent(event)
	}
}
