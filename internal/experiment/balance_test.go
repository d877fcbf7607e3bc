package experiment

import (
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/flow/echo"
)

// longFlowOptions returns options for 28 hosts before 100 upstreams, with flows of twenty
// requests on average and pauses that are much longer than the requests.
func longFlowOptions() Options {
	o := DefaultOptions()
	o.DataCentres, o.HostsPerDataCentre, o.UpstreamsPerDataCentre, o.Slots = 4, 7, 25, 2
	o.ServiceTime, o.ThinkTime, o.Timeout = 25*time.Millisecond, 2*time.Second, 2500*time.Millisecond
	o.Load, o.FlowRequests = 0.3, 20
	return o
}

// TestLongFlowsAreSpreadEvenly covers callers whose flows stay open with pauses. Without the
// count of recent requests, an upstream gets as many of them as chance has it.
func TestLongFlowsAreSpreadEvenly(t *testing.T) {
	const maxBusiest = 1.15 // the run has about 650 requests for each upstream
	for _, name := range []string{"steady", "swing", "moving-callers"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p, err := Find(name)
			if err != nil {
				t.Fatal(err)
			}
			options := longFlowOptions()
			got := Run(p, echo.LeastUsed, options)
			options.Without = 1 << echo.RecentRequests
			without := Run(p, echo.LeastUsed, options)
			t.Logf("with %+v, without %+v", got.Balance, without.Balance)
			if got.Balance.BusiestInDataCentre > maxBusiest || got.Balance.BusiestInDataCentre >= without.Balance.BusiestInDataCentre {
				t.Errorf("the busiest upstream has %.2f times the requests of the mean, want at most %.2f and less than %.2f",
					got.Balance.BusiestInDataCentre, maxBusiest, without.Balance.BusiestInDataCentre)
			}
			if got.Balance.WaitedWhileIdle > without.Balance.WaitedWhileIdle {
				t.Errorf("%d requests waited while an upstream was idle, without the mechanism %d", got.Balance.WaitedWhileIdle, without.Balance.WaitedWhileIdle)
			}
		})
	}
}

// TestSlowUpstreamsGetTheirShare covers upstreams that are four times slower for some
// seconds, with so many hosts that each rarely has a request outstanding at one of them.
func TestSlowUpstreamsGetTheirShare(t *testing.T) {
	p, err := Find("slow-upstreams")
	if err != nil {
		t.Fatal(err)
	}
	options := longFlowOptions()
	got := Run(p, echo.LeastUsed, options)
	options.Without = 1 << echo.SpeedWeight
	bound := Run(p, echo.LeastUsed, options)
	t.Logf("%d late, %d without speed weight", got.Late, bound.Late)
	if 2*got.Late > bound.Late {
		t.Errorf("%d late requests, want at most half of the %d without the mechanism", got.Late, bound.Late)
	}
}
