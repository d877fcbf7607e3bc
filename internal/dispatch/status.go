package dispatch

import (
	"cmp"
	"slices"

	"github.com/oatlatch/oatlatch/internal/admission"
)

// Status is what operators see of a dispatcher.
type Status struct {
	InProgress int             `json:"in_progress"`
	Draining   bool            `json:"draining"`
	Outcomes   []OutcomeCount  `json:"outcomes"`
	Retries    []RetryCount    `json:"retries"`
	Services   []ServiceStatus `json:"services"`
	// Ledgers counts the ticket ledgers held here: its own and those taken over.
	Ledgers int `json:"ledgers"`
}

// OutcomeCount counts requests by what the caller was told.
type OutcomeCount struct {
	Outcome admission.Outcome `json:"outcome"`
	Reason  admission.Reason  `json:"reason"`
	Count   uint64            `json:"count"`
}

// RetryCount counts retries by the reason of the attempt before.
type RetryCount struct {
	Reason admission.Reason `json:"reason"`
	Count  uint64           `json:"count"`
}

// ServiceStatus is one service's queue and slots at this host.
type ServiceStatus struct {
	Name       string        `json:"name"`
	Queued     int           `json:"queued"`
	EstimateMs float64       `json:"estimate_ms"`
	Upstreams  []SlotsStatus `json:"upstreams"`
}

// SlotsStatus is this host's share of one upstream.
type SlotsStatus struct {
	Upstream string  `json:"upstream"`
	InUse    int     `json:"in_use"`
	Slots    int     `json:"slots"`
	Ramp     float64 `json:"ramp"`
}

// Status returns a copy of the dispatcher's counters and slots.
func (d *Dispatcher) Status() Status {
	outcomes, retries, running := d.metrics.snapshot()
	status := Status{InProgress: running, Ledgers: len(d.allBooks())}
	for key, count := range outcomes {
		status.Outcomes = append(status.Outcomes, OutcomeCount{key.outcome, key.reason, count})
	}
	for reason, count := range retries {
		status.Retries = append(status.Retries, RetryCount{reason, count})
	}
	slices.SortFunc(status.Outcomes, func(a, b OutcomeCount) int {
		return cmp.Or(cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Reason, b.Reason))
	})
	slices.SortFunc(status.Retries, func(a, b RetryCount) int { return cmp.Compare(a.Reason, b.Reason) })
	if routes := d.routes.Load(); routes != nil {
		for _, r := range routes.byID {
			status.Services = append(status.Services, r.status())
		}
	}
	slices.SortFunc(status.Services, func(a, b ServiceStatus) int { return cmp.Compare(a.Name, b.Name) })
	d.mu.Lock()
	defer d.mu.Unlock()
	status.Draining = d.draining
	return status
}

func (r *route) status() ServiceStatus {
	r.lane.mu.Lock()
	defer r.lane.mu.Unlock()
	s := ServiceStatus{
		Name:       r.service.Name,
		Queued:     r.lane.scheduler.QueueLength(),
		EstimateMs: r.lane.scheduler.MeanServiceTime().Seconds() * 1000,
	}
	for _, t := range r.lane.scheduler.Targets() {
		s.Upstreams = append(s.Upstreams, SlotsStatus{t.Name, r.lane.scheduler.InUse(t.Name), t.Slots, t.Ramp})
	}
	return s
}
