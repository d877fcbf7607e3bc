package soak

import (
	"fmt"
	"time"

	"github.com/oatlatch/oatlatch/platform/standin"
)

const (
	// evacuationOdds is the number of operations to one evacuation, on average.
	evacuationOdds = 4
	// evacuationTime is how long a data centre stays evacuated.
	evacuationTime = applyWithin + time.Second
)

// evacuateAtRandom evacuates a data centre in one of evacuationOdds cases, unless one is
// evacuated already. After evacuationTime it takes the data centre back. It records a
// violation if a new flow reaches the data centre later than applyWithin after the store's
// acknowledgement.
func (r *soakRun) evacuateAtRandom() {
	if r.evacuationRandom.IntN(evacuationOdds) != 0 || r.evacuatedDataCentre() != "" {
		return
	}
	dc := dataCentreName(r.evacuationRandom.IntN(dataCentres))
	r.mu.Lock()
	r.faultCounts["evacuate"]++
	r.mu.Unlock()
	if r.options.Progress != nil {
		fmt.Fprintln(r.options.Progress, "evacuate", dc)
	}
	stable := r.stable()
	if err := r.setEvacuated(dc); err != nil {
		r.recorder.RecordViolation("%v", err)
		return
	}
	acknowledged := time.Now()
	r.runInBackground(func() {
		time.Sleep(evacuationTime)
		late := r.lastFlowOpenedIn(dc).Sub(acknowledged)
		if stable && r.stable() && late > applyWithin {
			r.recorder.RecordViolation("%s got a new flow %s after its evacuation", dc, late.Round(time.Millisecond))
		}
		if err := r.setEvacuated(""); err != nil {
			r.recorder.RecordViolation("%v", err)
		}
	})
}

// evacuatedDataCentre returns the evacuated data centre, or an empty name.
func (r *soakRun) evacuatedDataCentre() string {
	r.registryMu.Lock()
	defer r.registryMu.Unlock()
	return r.evacuated
}

// setEvacuated changes the evacuated data centre. An empty name ends the evacuation.
func (r *soakRun) setEvacuated(dc string) error {
	r.registryMu.Lock()
	defer r.registryMu.Unlock()
	r.evacuated = dc
	return r.writeEvacuation()
}

// writeEvacuation writes the request to evacuate, and removes the others. The caller holds
// registryMu.
func (r *soakRun) writeEvacuation() error {
	for i := range dataCentres {
		if dc := dataCentreName(i); dc != r.evacuated {
			r.store.Remove(standin.EvacuationKey(dc))
		} else if err := r.store.Put(standin.EvacuationKey(dc), struct{}{}); err != nil {
			return err
		}
	}
	return nil
}

// lastFlowOpenedIn returns when an upstream of the data centre last received a new flow.
func (r *soakRun) lastFlowOpenedIn(dc string) time.Time {
	r.registryMu.Lock()
	defer r.registryMu.Unlock()
	var last time.Time
	for _, u := range r.upstreams {
		if opened := r.recorder.LastFlowOpened(u.standin.Name()); dataCentreName(u.dc) == dc && opened.After(last) {
			last = opened
		}
	}
	return last
}
