package soak

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/flow/echo"
	"github.com/oatlatch/oatlatch/platform/standin"
)

// restartOdds is the number of faults to one restart of an upstream, on average.
const restartOdds = 3

// restartUpstreamAtRandom ends the process of a random upstream, in one of restartOdds cases, and
// starts it again under its ID. The new process knows nothing of the flows of the former one.
func (r *soakRun) restartUpstreamAtRandom() {
	if r.restartRandom.IntN(restartOdds) != 0 {
		return
	}
	u := r.upstreams[r.restartRandom.IntN(len(r.upstreams))]
	if u.retired {
		return
	}
	r.mu.Lock()
	r.faultCounts["restart-upstream"]++
	r.activeStoreFaults++
	r.mu.Unlock()
	u.standin.Close()
	time.Sleep(restartDelay)
	if err := r.startAgain(u); err != nil {
		r.recorder.RecordViolation("%v", err)
	}
	r.mu.Lock()
	r.activeStoreFaults--
	r.lastStoreFaultEnd = time.Now()
	r.processSince[u.standin.Token()] = time.Now()
	r.mu.Unlock()
}

// startAgain starts a process of the upstream under its ID and registers it.
func (r *soakRun) startAgain(u *upstream) error {
	process, err := standin.NewUpstream(u.standin.Options())
	if err != nil {
		return err
	}
	r.registryMu.Lock()
	defer r.registryMu.Unlock()
	u.standin = process
	return r.store.Put(process.StoreKey(), process.Registration())
}

// retire marks the upstream as one whose process ends soon.
func (r *soakRun) retire(u *upstream) {
	u.retired = true
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ending[u.standin.Token()] = true
}

// runsSince reports whether the process that has the token has run since the time, and does not
// end soon.
func (r *soakRun) runsSince(token echo.Token, then time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.ending[token] && r.processSince[token].Before(then)
}
