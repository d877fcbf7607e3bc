package experiment

import (
	"testing"

	"github.com/oatlatch/oatlatch/internal/flow/echo"
)

// TestHostsThatKnowOnlyTheNewestConfigurationLoseFlows checks that the pattern route-moved
// measures what hosts know of earlier configurations.
func TestHostsThatKnowOnlyTheNewestConfigurationLoseFlows(t *testing.T) {
	pattern, err := Find("route-moved")
	if err != nil {
		t.Fatal(err)
	}
	known := Run(pattern, echo.LeastUsed, DefaultOptions())
	schedule := pattern.schedule
	pattern.schedule = func(sim *simulation) {
		schedule(sim)
		sim.configured.forgotten = true
	}
	forgotten := Run(pattern, echo.LeastUsed, DefaultOptions())
	t.Logf("worth %.3f, worst window %.3f; %.3f and %.3f without", known.Worth, known.WorstWindow, forgotten.Worth, forgotten.WorstWindow)
	if forgotten.Worth >= minMovedWorth || forgotten.WorstWindow >= minMovedWindowWorth {
		t.Errorf("worth %.3f and worst window %.3f although the hosts know only the newest configuration", forgotten.Worth, forgotten.WorstWindow)
	}
}
