package flow

import (
	"cmp"
	"slices"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/service"
)

// Stats has counters of control events.
type Stats struct {
	// Rounds counts the rounds that this host started to take over slots.
	Rounds uint64
	// Received counts the messages received, Invalid those of them that failed
	// validation.
	Received uint64
	Invalid  uint64
	// Pauses counts the pauses of this process that made it ask for state again.
	Pauses uint64
}

// Status is the state of an engine for operators.
type Status struct {
	Version config.Version
	// Confirmed and Unconfirmed are the numbers of flow records held. Evicted
	// counts the records evicted for lack of space.
	Confirmed   int
	Unconfirmed int
	Evicted     uint64
	Stats       Stats
	Services    []ServiceStatus
}

// ServiceStatus is the state of one service.
type ServiceStatus struct {
	ID      service.ID
	Name    string
	Version config.Version
	// Ready is set once all members have sent their state of the service.
	Ready bool
	// TrackedSlots is the number of tracked slots, OwnedSlots the number of those
	// that this host owns.
	TrackedSlots int
	OwnedSlots   int
	// PendingRounds is the number of rounds in progress.
	PendingRounds int
	Upstreams     []UpstreamStatus
}

// UpstreamStatus is the state of one upstream.
type UpstreamStatus struct {
	Name string
	// ActiveFlows is the number of flows of which this host saw a packet recently.
	ActiveFlows int
	// Slots is the number of slots whose new flows go to the upstream.
	Slots int
}

// Status returns the state of the engine.
func (e *Engine) Status() Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := Status{Stats: e.stats}
	s.Confirmed, s.Unconfirmed, s.Evicted = e.records.counts()
	if v := e.serviceView.Load(); v != nil {
		s.Version = v.version
	}
	for _, svc := range e.services() {
		s.Services = append(s.Services, e.serviceStatus(svc))
	}
	return s
}

func (e *Engine) serviceStatus(svc *serviceState) ServiceStatus {
	t := svc.table.Load()
	s := ServiceStatus{
		ID: svc.id, Name: svc.configured.Name, Version: svc.version,
		Ready: t.ready, PendingRounds: len(svc.rounds),
	}
	if t.slots != nil {
		for i := range t.slots {
			if t.slots[i].mode != tracked {
				continue
			}
			s.TrackedSlots++
			if t.slots[i].owner == selfRef {
				s.OwnedSlots++
			}
		}
	}
	s.Upstreams = make([]UpstreamStatus, len(t.upstreams))
	for ref := range t.upstreams {
		s.Upstreams[ref].Name = t.upstreams[ref].name
		if ref < len(svc.activeFlows) {
			s.Upstreams[ref].ActiveFlows = svc.activeFlows[ref]
		}
	}
	for _, ref := range t.targets {
		if ref != noUpstream {
			s.Upstreams[ref].Slots++
		}
	}
	slices.SortFunc(s.Upstreams, func(a, b UpstreamStatus) int { return cmp.Compare(a.Name, b.Name) })
	return s
}
