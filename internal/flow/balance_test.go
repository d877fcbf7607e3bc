package flow_test

import (
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/service"
)

// imbalanceBounds are the issue's, by preference.
var imbalanceBounds = map[service.Preference]float64{service.PreferBalance: 1.05, service.PreferFlows: 1.15}

// TestImbalanceAtTheSizesOfTheBrief samples a steady state and the time from
// 30 s after an upstream joined, with load reports that lag and one that lies.
func TestImbalanceAtTheSizesOfTheBrief(t *testing.T) {
	for _, u := range users {
		t.Run(u.name, func(t *testing.T) {
			t.Parallel()
			w := deploy(u, lossy, nil)
			w.faults.relayDelay = 0
			w.play(35 * time.Second)
			w.expectBalance(t, "in a steady state", imbalanceBounds[u.prefer])
			w.addUpstream(0)
			w.play(w.faults.unevenness + 30*time.Second)
			w.expectBalance(t, "after an upstream joined", imbalanceBounds[u.prefer])
			if n := len(w.oracle.broken); n > 0 {
				t.Errorf("%d flows broke", n)
			}
		})
	}
}

// expectBalance samples the imbalance for ten seconds.
func (w *workload) expectBalance(t *testing.T, when string, bound float64) {
	t.Helper()
	worst, mean := 0.0, 0.0
	for range 10 {
		w.play(time.Second)
		worst = max(worst, w.imbalance())
		mean += w.imbalance() / 10
	}
	t.Logf("%s: worst %.3f, mean %.3f", when, worst, mean)
	if worst > bound {
		t.Errorf("imbalance %s is %.3f, want at most %.2f", when, worst, bound)
	}
}
