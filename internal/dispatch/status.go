package dispatch

import (
	"cmp"
	"slices"

	"github.com/oatlatch/oatlatch/internal/admission"
)

// Status is the state of a dispatcher as shown to operators.
type Status struct {
	InProgress int             `json:"in_progress"`
	Draining   bool            `json:"draining"`
	Outcomes   []OutcomeCount  `json:"outcomes"`
	Retries    []RetryCount    `json:"retries"`
	Services   []ServiceStatus `json:"services"`
	// Ledgers counts the ticket ledgers held here: its own and those taken over.
	Ledgers int `json:"ledgers"`
}

// OutcomeCount is the number of requests with an outcome and reason.
type OutcomeCount struct {
	Outcome admission.Outcome `json:"outcome"`
	Reason  admission.Reason  `json:"reason"`
	Count   uint64            `json:"count"`
}

// RetryCount is the number of retries by the reason of the previous attempt.
type RetryCount struct {
	Reason admission.Reason `json:"reason"`
	Count  uint64           `json:"count"`
}

// ServiceStatus describes the queue and the slots of one service at this host.
type ServiceStatus struct {
	Name       string        `json:"name"`
	Queued     int           `json:"queued"`
	EstimateMs float64       `json:"estimate_ms"`
	Upstreams  []SlotsStatus `json:"upstreams"`
}

// SlotsStatus describes this host's slots of one upstream.
type SlotsStatus struct {
	Upstream string  `json:"upstream"`
	InUse    int     `json:"in_use"`
	Slots    int     `json:"slots"`
	Ramp     float64 `json:"ramp"`
}

// Status returns the current counters and slots in a fixed order.
func (d *Dispatcher) Status() Status {
	outcomes, retries, inProgress := d.metrics.counts()
	status := Status{InProgress: inProgress, Ledgers: len(d.allLedgers())}
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
	r.allocator.mu.Lock()
	defer r.allocator.mu.Unlock()
	s := ServiceStatus{
		Name:       r.service.Name,
		Queued:     r.allocator.scheduler.QueueLength(),
		EstimateMs: r.allocator.scheduler.MeanServiceTime().Seconds() * 1000,
	}
	for _, t := range r.allocator.scheduler.Targets() {
		s.Upstreams = append(s.Upstreams, SlotsStatus{t.Name, r.allocator.scheduler.InUse(t.Name), t.Slots, t.Ramp})
	}
	return s
}
