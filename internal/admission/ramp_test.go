package admission_test

import (
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/limit"
)

// coldStart is the time in which a restarted target works slower, by up to coldFactor.
const (
	coldStart  = 10 * time.Second
	coldFactor = 8.0
)

// restartTarget makes the first target cold at a time, with or without a ramp.
func (s *simulation) restartTarget(at time.Duration, ramp bool) {
	s.after(at, func() {
		cold := s.now
		s.slowness = func(name string) float64 {
			if name != "target-0" {
				return 1
			}
			return 1 + (coldFactor-1)*max(0, 1-float64(s.now.Sub(cold))/float64(coldStart))
		}
		if ramp {
			s.stepRamp(0)
		}
	})
}

// stepRamp opens the cold target's slots at each tenth of the cold start.
func (s *simulation) stepRamp(up time.Duration) {
	ramp := limit.Ramp(up, coldStart)
	s.share(ramp)
	if ramp < 1 {
		s.after(coldStart/10, func() { s.stepRamp(up + coldStart/10) })
	}
}

func TestRampKeepsLatencyDownAfterAColdStart(t *testing.T) {
	l := planStore(lentShares, 0.5, 0)
	l.count = 3_000
	run := func(ramp bool) figures {
		s := newSimulation(l)
		s.restartTarget(time.Second, ramp)
		return s.run()
	}
	without, with := run(false), run(true)
	t.Logf("without a ramp: goodput %.3f p99 %v refused %.3f", without.goodput, without.p99, without.refused)
	t.Logf("with a ramp:    goodput %.3f p99 %v refused %.3f", with.goodput, with.p99, with.refused)
	if with.p99 > without.p99 || with.goodput < 0.99*without.goodput {
		t.Error("the ramp brings no gain")
	}
}
