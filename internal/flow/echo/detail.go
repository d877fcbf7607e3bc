package echo

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

// Detail holds the inputs of a decision, for logs.
type Detail struct {
	// Route is the name of the packet's route. Version is the version of the applied
	// configuration.
	Route   string
	Version uint64
	// ViewAge is the time since the catalog view was last set.
	ViewAge time.Duration
	// Upstream is the name of the upstream chosen for a new flow. For an existing flow
	// that is reset or moved to another upstream, it is the name of the previous one.
	// DataCentre, Presence, Draining, Suspected and Evacuated are the data centre and state
	// of the named upstream.
	Upstream, DataCentre           string
	Presence                       catalog.Presence
	Draining, Suspected, Evacuated bool
	// Outstanding and OpenFlows are the numbers of this host's outstanding requests
	// and open flows at the upstream. Slots is the number of requests that the upstream
	// processes concurrently.
	Outstanding, OpenFlows, Slots int
	// SinceLastAnswer is the time since the upstream last answered a flow of this host,
	// or zero if it never has.
	SinceLastAnswer time.Duration
	// ProcessingTime is the estimated processing time of the upstream's service.
	// SlowFraction is the fraction of the service's recent responses that were slow.
	// Both are set only when a flow is refused because of overload.
	ProcessingTime time.Duration
	SlowFraction   float64
	// FlowAge is the time since this host first saw the flow, or zero if the flow has no
	// record yet.
	FlowAge time.Duration
	// Waited is how long the flow waited for a slot, or zero if it did not.
	Waited time.Duration
	// PriorSYNs is the number of earlier copies of a retransmitted SYN.
	PriorSYNs uint32
	// CallerWaiting is the number of the caller's flows that waited, this one included, when
	// the flow was refused because too many waited. It is zero otherwise. Its type keeps the
	// Detail, which is copied for each packet, from growing.
	CallerWaiting uint32
}

// withDetail returns the decision with its Detail set.
func (e *Engine) withDetail(now time.Time, d Decision, r *route, u *upstream, rec *flowRecord) Decision {
	d.Detail = Detail{Version: e.version, ViewAge: timeSince(now, e.viewSetAt)}
	if r != nil {
		d.Detail.Route = r.Name
	}
	if u != nil {
		d.Detail.Upstream, d.Detail.DataCentre = u.Name, u.DataCentre
		d.Detail.Presence, d.Detail.Draining, d.Detail.Suspected = u.Presence, u.Draining, u.suspected()
		d.Detail.Evacuated = u.evacuated
		d.Detail.Outstanding, d.Detail.OpenFlows, d.Detail.Slots = u.outstanding, u.openFlows, u.Slots
		d.Detail.SinceLastAnswer = timeSince(now, u.lastAnswer)
	}
	if p := e.poolOf(u); d.Reason == Overloaded && p != nil {
		d.Detail.ProcessingTime, d.Detail.SlowFraction = p.processingTime, p.slowFraction
	}
	if rec != nil {
		d.Detail.FlowAge = timeSince(now, rec.created)
	}
	return d
}
