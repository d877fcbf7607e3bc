package echo

import (
	"cmp"
	"slices"
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

// UpstreamState is the state of an upstream that is not simply in use: it is cold,
// draining, suspected or ejected.
type UpstreamState struct {
	Name, Service, DataCentre string
	Draining, Evacuated       bool
	// ColdUntil is when the upstream reaches full speed; zero if it has.
	ColdUntil time.Time
	// SuspectedSince and SuspectReason tell since when and why the upstream is suspected;
	// zero if it is not.
	SuspectedSince time.Time
	SuspectReason  Reason
	// Ejection is nil unless the upstream is ejected, or its share of new flows still grows
	// after an ejection.
	Ejection *EjectionState
	// OpenFlows and Outstanding are the numbers of this host's open flows and of its
	// requests without an answer.
	OpenFlows, Outstanding int
}

// EjectionState tells why and for how long new flows avoid an upstream.
type EjectionState struct {
	// Until is when the upstream gets new flows again. Share is the share of its new flows
	// that it gets now.
	Until time.Time
	Share float64
	// Answers and FailedAnswers are the numbers of answers, and of failed ones, that led to
	// the ejection. FailingHosts is the number of hosts that had failed ones.
	Answers, FailedAnswers float64
	FailingHosts           int
}

// UnusualUpstreams returns the upstreams that are cold, draining, suspected or ejected,
// sorted by name. Departed ones are left out.
func (e *Engine) UnusualUpstreams(now time.Time) []UpstreamState {
	e.mu.Lock()
	defer e.mu.Unlock()
	var states []UpstreamState
	for _, u := range e.upstreams {
		cold, share := now.Before(u.WarmUntil), u.ejection.share(now)
		if u.Presence == catalog.Departed || !cold && !u.Draining && !u.suspected() && !u.mute() && share == 1 {
			continue
		}
		s := UpstreamState{
			Name: u.Name, Service: u.Service, DataCentre: u.DataCentre, Draining: u.Draining, Evacuated: u.evacuated,
			OpenFlows: u.openFlows, Outstanding: u.outstanding,
		}
		if cold {
			s.ColdUntil = u.WarmUntil
		}
		switch {
		case u.suspected():
			s.SuspectedSince, s.SuspectReason = u.suspectedAt, u.suspectReason
		case u.mute():
			s.SuspectedSince, s.SuspectReason = u.muteness.since, NoResponses
		}
		if j := &u.ejection; share < 1 {
			s.Ejection = &EjectionState{Until: j.until, Share: share, Answers: float64(j.answers), FailedAnswers: float64(j.failed), FailingHosts: j.hosts}
		}
		states = append(states, s)
	}
	slices.SortFunc(states, func(a, b UpstreamState) int { return cmp.Compare(a.Name, b.Name) })
	return states
}
