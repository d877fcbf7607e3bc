package probe

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/health"
)

// runSchedule runs a schedule of n targets on a virtual clock and returns the number
// of checks of each. The checks end at once, and those of the failing target fail.
func runSchedule(n int, duration time.Duration, failing health.Key) map[health.Key]int {
	now := time.UnixMilli(1_800_000_000_000)
	end := now.Add(duration)
	var targets []target
	for i := range n {
		targets = append(targets, target{key: health.Key{Service: 1, Name: fmt.Sprint(i)}})
	}
	var s schedule
	s.setTargets(now, targets, rand.New(rand.NewPCG(1, 2)))
	checks := make(map[health.Key]int)
	for ; now.Before(end); now = now.Add(time.Millisecond) {
		for due, ok := s.nextDue(now); ok; due, ok = s.nextDue(now) {
			s.markStarted(now, due.key)
			s.markDone(now, due.key, due.key != failing)
			checks[due.key]++
		}
	}
	return checks
}

func TestChecksPerSecondAreBounded(t *testing.T) {
	const seconds = 100
	failing := health.Key{Service: 1, Name: "7"}
	for _, size := range []int{18, 100, 3300} {
		checks := runSchedule(size, seconds*time.Second, failing)
		total := 0
		for _, count := range checks {
			total += count
		}
		if limit := min(size, maxChecksPerSecond) + 1; total > limit*seconds {
			t.Errorf("%d targets: too many checks, %d in %d s", size, total, seconds)
		}
		if checks[failing] < seconds/2 {
			t.Errorf("%d targets: too few checks of the failing one, %d in %d s", size, checks[failing], seconds)
		}
	}
}
