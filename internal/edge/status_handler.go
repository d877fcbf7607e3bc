package edge

import (
	"cmp"
	"encoding/json"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/oatlatch/oatlatch/internal/evidence"
	"github.com/oatlatch/oatlatch/internal/flow/echo"
)

// maxListedUpstreams limits the upstreams that a status lists. With about 250 bytes each, a
// status takes a link of 10 Mbit/s for some 50 ms at most.
const maxListedUpstreams = 256

// MetricsAddress returns the address of metrics and status; it is invalid if there is none.
func (h *Host) MetricsAddress() netip.AddrPort {
	if h.metricsListener == nil {
		return netip.AddrPort{}
	}
	address, _ := netip.ParseAddrPort(h.metricsListener.Addr().String()) // a TCP listener's is always valid
	return address
}

// handleStatus responds with the host's status.
func (h *Host) handleStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(h.status(h.options.Now())) // an error means that the client is gone
}

// status returns the host's status.
func (h *Host) status(now time.Time) Status {
	self, stats := &h.options.Settings.Host, h.engine.Stats(now)
	s := Status{
		Kind: StatusKind, Host: self.ID, DataCentre: self.DataCentre, Now: now, Started: h.options.Started,
		Ready: h.serving.Load() && !h.stopping.Load(), Stopping: h.stopping.Load(),
		ConfigurationVersion: stats.Version, Flows: stats.Flows, WaitingFlows: h.engine.WaitingFlows(),
		Knowledge: h.knowledge(now), Evacuations: []EvacuationStatus{}, EvacuationsElsewhere: []EvacuationElsewhere{}, Upstreams: []UpstreamStatus{},
		UpstreamCounts: UpstreamCounts{
			Usable: stats.Usable, Draining: stats.Draining, Departed: stats.Departed,
			Evacuated: stats.Evacuated, Suspected: stats.Suspected, Ejected: stats.Ejected,
		},
	}
	sums, _ := h.exchange.Sums()
	totals := func(e *evidence.EvacuationSum) EvacuationTotals {
		return EvacuationTotals{
			HostsInForce: e.Hosts, HostsCounted: sums.Hosts, HostsKnown: h.progress.knownHosts(), OpenFlowsTotal: e.OpenFlows, OutstandingTotal: e.Outstanding,
		}
	}
	own := make(map[evacuationRequest]bool)
	for _, e := range h.engine.Evacuations() {
		own[evacuationRequest{e.DataCentre, e.Position}] = true
		total := sums.Evacuation(e.DataCentre, e.Position)
		s.Evacuations = append(s.Evacuations, EvacuationStatus{
			DataCentre: e.DataCentre, Since: e.Since, Epoch: e.Position.Epoch, Revision: e.Position.Revision,
			Upstreams: e.Upstreams, OpenFlows: e.OpenFlows, Outstanding: e.Outstanding,
			EvacuationTotals: totals(&total),
		})
	}
	for i := range sums.Evacuations {
		e := &sums.Evacuations[i]
		if !own[evacuationRequest{e.DataCentre, e.Position}] {
			s.EvacuationsElsewhere = append(s.EvacuationsElsewhere, EvacuationElsewhere{
				DataCentre: e.DataCentre, Epoch: e.Position.Epoch, Revision: e.Position.Revision, EvacuationTotals: totals(e),
			})
		}
	}
	slices.SortFunc(s.Evacuations, func(a, b EvacuationStatus) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	for _, u := range h.engine.UnusualUpstreams(now) {
		if !u.ColdUntil.IsZero() {
			s.UpstreamCounts.Cold++
		}
		s.Upstreams = append(s.Upstreams, newUpstreamStatus(now, &u))
	}
	s.Upstreams, s.UpstreamsOmitted = mostUrgent(s.Upstreams)
	return s
}

// knowledge returns how old what the host knows is, and from where it comes.
func (h *Host) knowledge(now time.Time) KnowledgeStatus {
	known := h.feed.Status()
	k := KnowledgeStatus{Source: known.Source, Epoch: known.Position.Epoch, Revision: known.Position.Revision}
	if !known.LastContact.IsZero() {
		age := now.Sub(known.LastContact).Milliseconds()
		k.AgeMillis = &age
	}
	switch {
	case h.serving.Load() && !h.seeding.isEnded():
		k.Source = SourceSeed
	case known.LastContact.IsZero():
		k.Source = SourceNone
	}
	return k
}

// newUpstreamStatus converts the state of an upstream.
func newUpstreamStatus(now time.Time, u *echo.UpstreamState) UpstreamStatus {
	s := UpstreamStatus{
		Name: u.Name, Service: u.Service, DataCentre: u.DataCentre, Draining: u.Draining, Evacuated: u.Evacuated,
		OpenFlows: u.OpenFlows, Outstanding: u.Outstanding,
	}
	if !u.ColdUntil.IsZero() {
		s.ColdMillis = max(1, u.ColdUntil.Sub(now).Milliseconds())
	}
	if !u.SuspectedSince.IsZero() {
		s.Suspicion = &SuspicionStatus{Since: u.SuspectedSince, Reason: u.SuspectReason.String()}
	}
	if j := u.Ejection; j != nil {
		s.Ejection = &EjectionStatus{Until: j.Until, Share: j.Share, Answers: j.Answers, Failed: j.FailedAnswers, Hosts: j.FailingHosts}
	}
	return s
}

// mostUrgent sorts the upstreams, the ones that look failed first, and returns those that a
// status lists and the number of the others.
func mostUrgent(upstreams []UpstreamStatus) (listed []UpstreamStatus, omitted int) {
	rank := func(u *UpstreamStatus) int {
		switch {
		case u.Suspicion != nil || u.Ejection != nil:
			return 0
		case u.Draining:
			return 1
		default:
			return 2
		}
	}
	slices.SortStableFunc(upstreams, func(a, b UpstreamStatus) int { return cmp.Compare(rank(&a), rank(&b)) })
	listed = upstreams[:min(len(upstreams), maxListedUpstreams)]
	return listed, len(upstreams) - len(listed)
}
