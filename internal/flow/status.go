package flow

import (
	"cmp"
	"slices"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/service"
)

// Stats counts control events.
type Stats struct {
	// Rounds counts the agreements that this host started as an owner.
	Rounds uint64
	// Received counts messages, Invalid those that were dropped as not valid.
	Received uint64
	Invalid  uint64
	// Pauses counts the times this process stood still so long that it asked for state again.
	Pauses uint64
}

// Status is what an engine holds, for operators.
type Status struct {
	Version config.Version
	// Confirmed and Unconfirmed count flow records, Evicted those given up for want of room.
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
	// Ready is false until all members have told their state of the service.
	Ready bool
	// TrackedSlots are tracked; OwnedSlots of them are owned by this host.
	TrackedSlots int
	OwnedSlots   int
	// PendingRounds are agreements in progress.
	PendingRounds int
	Upstreams     []UpstreamStatus
}

// UpstreamStatus is the state of one upstream.
type UpstreamStatus struct {
	Name string
	// ActiveFlows counts the flows that this host saw packets of lately.
	ActiveFlows int
	// Slots are the slots whose new flows go to the upstream.
	Slots int
}

// Status returns what the engine holds.
func (e *Engine) Status() Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := Status{Stats: e.stats}
	s.Confirmed, s.Unconfirmed, s.Evicted = e.records.counts()
	if v := e.view.Load(); v != nil {
		s.Version = v.version
	}
	for _, en := range e.entries() {
		s.Services = append(s.Services, e.serviceStatus(en))
	}
	return s
}

func (e *Engine) serviceStatus(en *entry) ServiceStatus {
	t := en.table.Load()
	s := ServiceStatus{
		ID: en.id, Name: en.configured.Name, Version: en.version,
		Ready: t.ready, PendingRounds: len(en.rounds),
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
		if ref < len(en.active) {
			s.Upstreams[ref].ActiveFlows = en.active[ref]
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
