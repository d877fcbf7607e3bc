package experiment

import (
	"testing"

	"github.com/oatlatch/oatlatch/internal/flow/echo"
)

// TestSpillOverUsesFreeDataCentres covers loads of which a data centre has too much while others
// have free slots, and of which each of its four hosts sees a quarter. In steady, not a single
// decision may change.
func TestSpillOverUsesFreeDataCentres(t *testing.T) {
	for _, c := range []struct {
		pattern                 string
		load, minWorth, maxLate float64
	}{{"swing", 0.8, 0.98, 0.9}, {"overloaded-cut", 0.55, 0.985, 0.6}, {"steady", 0.55, 0.99, 1}} {
		p, err := Find(c.pattern)
		if err != nil {
			t.Fatal(err)
		}
		options := DefaultOptions()
		options.HostsPerDataCentre, options.UpstreamsPerDataCentre, options.Load = 4, 10, c.load
		got := Run(p, echo.LeastUsed, options)
		options.Without = 1 << echo.SpillOver
		without := Run(p, echo.LeastUsed, options)
		if got.Worth < c.minWorth || float64(got.Late) > c.maxLate*float64(without.Late) || c.maxLate == 1 && got.Balance != without.Balance {
			t.Errorf("%s: want a worth of %.4f, got %+v, without the mechanism %+v", c.pattern, c.minWorth, got, without)
		}
	}
}
