package admission_test

import (
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/limit"
)

const (
	// warmUpTime is the time after a restart during which a target is slow.
	warmUpTime = 10 * time.Second
	// coldSlowdown is the factor by which requests take longer right after a restart.
	// It falls linearly to 1 during warmUpTime.
	coldSlowdown = 8.0
)

// restartTarget restarts the first target after the given time, with or without a ramp.
func (s *simulation) restartTarget(at time.Duration, ramp bool) {
	s.after(at, func() {
		restartedAt := s.now
		s.slowdown = func(name string) float64 {
			if name != "target-0" {
				return 1
			}
			return 1 + (coldSlowdown-1)*max(0, 1-float64(s.now.Sub(restartedAt))/float64(warmUpTime))
		}
		if ramp {
			s.stepRamp(0)
		}
	})
}

// stepRamp updates the ramp of the restarted target at each tenth of warmUpTime.
func (s *simulation) stepRamp(uptime time.Duration) {
	ramp := limit.Ramp(uptime, warmUpTime)
	s.assignSlots(ramp)
	if ramp < 1 {
		s.after(warmUpTime/10, func() { s.stepRamp(uptime + warmUpTime/10) })
	}
}

func TestRampLimitsLatencyAfterRestart(t *testing.T) {
	sc := planStoreScenario(lentShares, 0.5, 0)
	sc.requests = 3_000
	run := func(ramp bool) measurements {
		s := newSimulation(sc)
		s.restartTarget(time.Second, ramp)
		return s.run()
	}
	without, with := run(false), run(true)
	t.Logf("without a ramp: goodput %.3f p99 %v refused %.3f", without.goodput, without.p99, without.refused)
	t.Logf("with a ramp:    goodput %.3f p99 %v refused %.3f", with.goodput, with.p99, with.refused)
	if with.p99 > without.p99 || with.goodput < 0.99*without.goodput {
		t.Error("the ramp raises the 99th percentile of the latency or reduces the goodput by more than 1%")
	}
}
