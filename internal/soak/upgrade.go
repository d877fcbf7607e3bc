package soak

import "time"

// upgradeSteps are the steps of each host in a run with an earlier build: the upgrade, and going
// back.
const upgradeSteps = 2

// upgradeAndGoBack replaces the earlier build of all hosts, one after the other over the first half
// of the run, and goes back over the second. A host is stopped as planned and starts with the
// other build. In the middle of each half both builds run side by side for a while.
func (r *soakRun) upgradeAndGoBack() {
	interval := r.options.Duration / time.Duration(upgradeSteps*len(r.hosts))
	for step := range upgradeSteps {
		for _, h := range r.hosts {
			time.Sleep(interval)
			h.mu.Lock()
			h.earlier = step == 1
			h.mu.Unlock()
			r.mu.Lock()
			r.faultCounts["replace-build"]++
			r.mu.Unlock()
			h.stop()
		}
	}
}
