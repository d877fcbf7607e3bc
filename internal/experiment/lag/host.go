package lag

import (
	"context"
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/feed"
)

// simulatedHost is a host with its feed.
type simulatedHost struct {
	sim        *simulation
	name       string
	dataCentre string
	feed       *feed.Feed
	store      *storeSource
	// serves is the fault of the host as a source, stored the one of the store as its
	// source. They hold from the end of the warm-up.
	serves, stored Fault
	// changed is the channel that the feed closes at the next change, and waiting are the
	// processes of other hosts that wait for it.
	changed <-chan struct{}
	waiting []*process
	// known is how much the host knows of each stream of changes.
	known [streams]int
	// worst is the longest time for which the host lacked a change that another knew.
	worst time.Duration
	// worstAt is when that ended.
	worstAt time.Time
	// calls and served are the calls that the host has made to others and answered.
	calls, served int
}

// fault returns the fault if the faults have begun.
func (h *simulatedHost) fault(f Fault) Fault {
	if h.sim.now.Before(h.sim.faultsFrom) {
		return None
	}
	return f
}

func (h *simulatedHost) storeFault() Fault { return h.fault(h.stored) }

// measured reports whether the host itself works, so that it must not be behind.
func (h *simulatedHost) measured() bool { return h.serves == None }

// notify wakes the processes that wait for a change of the feed if there was one.
func (h *simulatedHost) notify() {
	select {
	case <-h.changed:
	default:
		return
	}
	for _, p := range h.waiting {
		p.wake()
	}
	h.waiting = nil
}

// onView records what the host knows.
func (h *simulatedHost) onView(view catalog.View) {
	drains := 0
	for i := range view.Upstreams {
		if view.Upstreams[i].Draining {
			drains++
		}
	}
	h.learn(drainStream, drains)
	h.learn(configurationStream, int(view.Configuration.Version))
}

// learn records that the host knows the first n changes of a stream.
func (h *simulatedHost) learn(s stream, n int) {
	now := h.sim.now
	for ; h.known[s] < n; h.known[s]++ {
		first := &h.sim.firstKnown[s][h.known[s]]
		if first.IsZero() && h.measured() {
			*first = now
		}
		h.noteLag(*first)
		if s == configurationStream && h.measured() && !now.Before(h.sim.faultsFrom) {
			h.sim.operator = max(h.sim.operator, now.Sub(h.sim.written[h.known[s]]))
		}
	}
}

// noteLag records that the host has lacked a change that was first known at the time.
func (h *simulatedHost) noteLag(first time.Time) {
	if !first.IsZero() && !h.sim.now.Before(h.sim.faultsFrom) {
		if lag := h.sim.now.Sub(first); lag > h.worst {
			h.worst, h.worstAt = lag, h.sim.now
		}
	}
}

// lag returns for how long the host has lacked a change that another host knows.
func (h *simulatedHost) lag() time.Duration {
	var lag time.Duration
	for s := range h.known {
		if n := h.known[s]; n < len(h.sim.firstKnown[s]) && !h.sim.firstKnown[s][n].IsZero() {
			lag = max(lag, h.sim.now.Sub(h.sim.firstKnown[s][n]))
		}
	}
	return lag
}

// run runs a loop of the feed as a process of its own.
func (h *simulatedHost) run(start time.Time, loop func(context.Context) error) {
	h.sim.start(start, h.notify, func() { _ = loop(context.Background()) }) // ends with the simulation
}
