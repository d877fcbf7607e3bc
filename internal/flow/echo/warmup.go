package echo

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/warmup"
)

// WarmupGate tells whether this host may send opening packets to an upstream process that
// warms up. *warmup.Permissions implements it. Its methods must not block or call the
// engine, whose lock is held.
type WarmupGate interface {
	// Allows reports whether an opening packet may be sent to the process, to which all
	// hosts together may send budget of in a second.
	Allows(p warmup.Process, budget int) bool
	// Spend counts an opening packet that is sent now. It returns false if the packet
	// must not be sent.
	Spend(p warmup.Process, budget int) bool
}

// WarmupLimits turn what the configuration says of cold upstreams into a budget.
type WarmupLimits struct {
	// Gate is nil if nothing limits the opening packets to cold upstreams.
	Gate WarmupGate
	// Overage and Slack are the factor and the number of packets per second by which all
	// hosts together may exceed the configured rate.
	Overage, Slack float64
}

// coldUntil returns when the upstream no longer warms up: as its registration says, but
// not later than the configured time after this host first saw the process.
func (e *Engine) coldUntil(u *upstream, w catalog.Warmup) time.Time {
	end := u.WarmUntil
	if limit := u.seen.since.Add(w.Duration); w.Duration > 0 && limit.Before(end) {
		return limit
	}
	return end
}

// warmupBudget returns how many opening packets the upstream may get in a second from all
// hosts together. It returns false if there is no limit.
func (e *Engine) warmupBudget(now time.Time, u *upstream) (budget int, limited bool) {
	limits := &e.options.Warmup
	if limits.Gate == nil || e.options.Without.Has(WarmupBudget) {
		return 0, false
	}
	w := e.warmups[u.Service]
	if w.PerSecond <= 0 || !now.Before(e.coldUntil(u, w)) {
		return 0, false
	}
	return warmup.Budget(w.PerSecond, limits.Overage, limits.Slack), true
}

// withinWarmup reports whether an opening packet may be sent to the upstream as far as its
// warm-up is concerned.
func (e *Engine) withinWarmup(now time.Time, u *upstream) bool {
	budget, limited := e.warmupBudget(now, u)
	return !limited || e.options.Warmup.Gate.Allows(u.seen.process, budget)
}

// spendWarmup counts an opening packet to the upstream. It returns false if the packet must
// not be sent.
func (e *Engine) spendWarmup(now time.Time, u *upstream) bool {
	budget, limited := e.warmupBudget(now, u)
	return !limited || e.options.Warmup.Gate.Spend(u.seen.process, budget)
}

// ColdUpstreams returns the processes that warm up and may get only so many opening
// packets.
func (e *Engine) ColdUpstreams(now time.Time) []warmup.ColdProcess {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.warmups) == 0 {
		return nil
	}
	var cold []warmup.ColdProcess
	for _, u := range e.upstreams {
		if budget, limited := e.warmupBudget(now, u); limited && u.acceptsFlows() {
			cold = append(cold, warmup.ColdProcess{Process: u.seen.process, Budget: budget, Remaining: e.coldUntil(u, e.warmups[u.Service]).Sub(now)})
		}
	}
	return cold
}
