package echo

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

// Detail is what a decision rests on, for logs. Decisions about packets of known
// flows have none.
type Detail struct {
	// Route and Version are those of the configuration in force.
	Route   string
	Version uint64
	// ViewAge is how long ago the upstreams last changed.
	ViewAge time.Duration
	// Upstream is the chosen one, or the one that a flow was reset or moved from.
	Upstream, DataCentre string
	Presence             catalog.Presence
	Draining, Suspected  bool
	// Waiting and Open are this host's requests and flows at the upstream.
	Waiting, Open, Slots int
	// Silent is the time since the upstream last answered a flow of this host.
	Silent time.Duration
	// Work is how long the upstream's service takes for a request, SlowAnswers the
	// part of its latest answers that were slow. Both are set on refusals only.
	Work        time.Duration
	SlowAnswers float64
	// FlowAge is how long the flow has been known.
	FlowAge time.Duration
	// Copies is the number of SYNs before this one.
	Copies uint32
}

// explain adds what a decision rests on.
func (e *Engine) explain(now time.Time, d Decision, r *route, u *upstream, rec *record) Decision {
	d.Detail = Detail{Version: e.version, ViewAge: age(now, e.viewAt)}
	if r != nil {
		d.Detail.Route = r.Name
	}
	if u != nil {
		d.Detail.Upstream, d.Detail.DataCentre = u.Name, u.DataCentre
		d.Detail.Presence, d.Detail.Draining, d.Detail.Suspected = u.Presence, u.Draining, u.suspected()
		d.Detail.Waiting, d.Detail.Open, d.Detail.Slots = u.waiting, u.open, u.Slots
		d.Detail.Silent = age(now, u.answered)
	}
	if p := e.poolOf(u); d.Reason == Overloaded && p != nil {
		d.Detail.Work, d.Detail.SlowAnswers = p.work, p.slow
	}
	if rec != nil {
		d.Detail.FlowAge = age(now, rec.since)
	}
	return d
}
