package experiment

import (
	"testing"

	"github.com/oatlatch/oatlatch/internal/flow/echo"
)

// TestDarkDataCentre plays the load of a data centre whose upstreams all fall silent, which
// its hosts meet one after the other. New flows must leave it before each has been met:
// most of the requests that are late or failed otherwise are served in time.
func TestDarkDataCentre(t *testing.T) {
	p, err := Find("dark-data-centre")
	if err != nil {
		t.Fatal(err)
	}
	options := DefaultOptions()
	options.HostsPerDataCentre, options.UpstreamsPerDataCentre, options.Load = 4, 10, 0.4
	with := Run(p, echo.LeastUsed, options)
	options.Without = 1 << echo.DataCentreSilence
	without := Run(p, echo.LeastUsed, options)
	if lost, before := 1-with.WorstWindow, 1-without.WorstWindow; lost > before*2/3 || 2*with.Failed > without.Failed {
		t.Errorf("worst window %.3f and %d failed, %.3f and %d without the mechanism", with.WorstWindow, with.Failed, without.WorstWindow, without.Failed)
	}
}
