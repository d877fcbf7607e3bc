package experiment

import (
	"testing"

	"github.com/oatlatch/oatlatch/internal/flow/echo"
)

// TestNoSYNReachesAnEvacuatedDataCentre guards against hosts that send new flows to a data
// centre once they know that it is evacuated, however much the others lack slots. Each
// pattern must have such flows when hosts do not read evacuations.
func TestNoSYNReachesAnEvacuatedDataCentre(t *testing.T) {
	const minWithout = 20 // the least of the patterns has about twice as many
	for _, name := range []string{"evacuate", "evacuate-overloaded", "cold-zone-return"} {
		p, err := Find(name)
		if err != nil {
			t.Fatal(err)
		}
		options := DefaultOptions()
		got := Run(p, echo.LeastUsed, options)
		options.ignoreEvacuations = true
		without := Run(p, echo.LeastUsed, options)
		if got.LateSYNs != 0 {
			t.Errorf("%s: %d SYNs reached the data centre", name, got.LateSYNs)
		}
		if without.LateSYNs < minWithout {
			t.Errorf("%s: only %d SYNs with hosts that do not know of the evacuation", name, without.LateSYNs)
		}
		t.Logf("%s: worth %.4f, worst window %.4f, refused %d, failed %d of %d; not read: %d SYNs, worth %.4f, worst window %.4f",
			name, got.Worth, got.WorstWindow, got.Refused, got.Failed, got.Requests, without.LateSYNs, without.Worth, without.WorstWindow)
	}
}
