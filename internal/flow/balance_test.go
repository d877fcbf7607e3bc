package flow_test

import (
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/service"
)

// maxImbalance is the largest imbalance that the requirements allow, by preference.
var maxImbalance = map[service.Preference]float64{service.PreferBalance: 1.05, service.PreferFlows: 1.15}

// TestImbalanceAtFullScale samples the imbalance in a steady state and from 30 s
// after an upstream joined. Load reports lag, and one upstream reports a tenth of
// its load.
func TestImbalanceAtFullScale(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			w := startDeployment(d, lossy, nil)
			w.faults.relayDelay = 0
			w.runLoad(35 * time.Second)
			w.expectBalance(t, "in a steady state", maxImbalance[d.prefer])
			w.addUpstream(0)
			w.runLoad(w.faults.maxLag + 30*time.Second)
			w.expectBalance(t, "after an upstream joined", maxImbalance[d.prefer])
			if n := len(w.oracle.broken); n > 0 {
				t.Errorf("%d flows broke", n)
			}
		})
	}
}

// expectBalance samples the imbalance once a second for ten seconds and fails if
// any sample exceeds the bound.
func (w *workload) expectBalance(t *testing.T, when string, bound float64) {
	t.Helper()
	worst, mean := 0.0, 0.0
	for range 10 {
		w.runLoad(time.Second)
		worst = max(worst, w.imbalance())
		mean += w.imbalance() / 10
	}
	t.Logf("%s: worst %.3f, mean %.3f", when, worst, mean)
	if worst > bound {
		t.Errorf("imbalance %s is %.3f, want at most %.2f", when, worst, bound)
	}
}
