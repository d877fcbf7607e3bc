package experiment

import (
	"testing"

	"github.com/oatlatch/oatlatch/internal/flow/echo"
)

// TestSpillOverUsesFreeDataCentres covers loads of which a data centre has too much while others
// have free slots: demand that swings out of phase, and a data centre that has lost half of its
// upstreams. Each of four hosts there sees a quarter of it.
func TestSpillOverUsesFreeDataCentres(t *testing.T) {
	for _, c := range []struct {
		pattern           string
		load              float64
		minWorth, maxLate float64
	}{
		{"swing", 0.8, 0.98, 0.9},
		{"overloaded-cut", 0.55, 0.985, 0.6},
	} {
		p, err := Find(c.pattern)
		if err != nil {
			t.Fatal(err)
		}
		options := DefaultOptions()
		options.HostsPerDataCentre, options.UpstreamsPerDataCentre, options.Load = 4, 10, c.load
		got := Run(p, echo.LeastUsed, options)
		options.Without = 1 << echo.SpillOver
		without := Run(p, echo.LeastUsed, options)
		if got.Worth < c.minWorth || float64(got.Late) > c.maxLate*float64(without.Late) {
			t.Errorf("%s: worth %.4f, want at least %.4f; %d requests late, %d without the mechanism", c.pattern, got.Worth, c.minWorth, got.Late, without.Late)
		}
	}
}

// TestSpillOverKeepsSteadyLoadLocal guards against traffic between data centres that nothing
// asks for: at the normal load the mechanism must not change a single decision.
func TestSpillOverKeepsSteadyLoadLocal(t *testing.T) {
	p, err := Find("steady")
	if err != nil {
		t.Fatal(err)
	}
	options := DefaultOptions()
	options.HostsPerDataCentre, options.UpstreamsPerDataCentre = 4, 10
	got := Run(p, echo.LeastUsed, options)
	options.Without = 1 << echo.SpillOver
	if without := Run(p, echo.LeastUsed, options); got.InTime != without.InTime || got.Balance != without.Balance {
		t.Errorf("%+v, without the mechanism %+v", got, without)
	}
}
