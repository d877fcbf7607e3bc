package main

import (
	"errors"
	"sync"
	"time"
)

const (
	crashRounds   = 7
	crashInterval = 13 * time.Second
	// crashDown is how long a target is down. A supervisor restarts it at once.
	crashDown = 300 * time.Millisecond
)

// targetRestart: feeds are open with pauses between their requests. Several times, two of the 14
// targets crash and start again under their IDs before their entries expire.
func targetRestart(r *rig) error {
	if err := r.setUp(swanregLB); err != nil {
		return err
	}
	ctx, cancel := contextUntil(12*time.Second + crashRounds*crashInterval)
	defer cancel()
	var group sync.WaitGroup
	r.feeds(ctx, &group, 8, 8*time.Second, 14*time.Second)
	r.submits(ctx, &group, 5)
	time.Sleep(12 * time.Second)
	for round := range crashRounds {
		next := time.Now().Add(crashInterval)
		if r.trouble {
			if err := errors.Join(r.crash(round%5, 5+round%5)...); err != nil {
				return err
			}
		}
		time.Sleep(time.Until(next))
	}
	group.Wait()
	return nil
}

// crash ends targets together and starts them again under their IDs.
func (r *rig) crash(indices ...int) []error {
	errs := make([]error, len(indices))
	var group sync.WaitGroup
	for n, i := range indices {
		group.Go(func() {
			t := r.targets[i]
			r.note("srv_crash: %s in %s", t.name, t.zone)
			started, err := t.crash(crashDown)
			if err != nil {
				errs[n] = err
				return
			}
			r.note("started again: %s", started.label)
			r.mu.Lock()
			r.disturbed[started.label] = time.Now().Add(contactTime)
			r.mu.Unlock()
			r.targets[i] = started
		})
	}
	group.Wait()
	return errs
}
