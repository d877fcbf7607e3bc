package experiment

import (
	"fmt"
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/flow/echo"
)

// fleetOptions returns options for thirty hosts before 120 upstreams, at which each host
// sees an upstream a few times in ten seconds.
func fleetOptions() Options {
	o := DefaultOptions()
	o.HostsPerDataCentre, o.UpstreamsPerDataCentre, o.Slots, o.ServiceTime = 10, 40, 2, 25*time.Millisecond
	o.Load, o.ThinkTime, o.Timeout, o.Objective = 0.25, 600*time.Millisecond, 2500*time.Millisecond, 250*time.Millisecond
	return o
}

func runFleet(t *testing.T, name string, change func(*Options)) Result {
	t.Helper()
	p, err := Find(name)
	if err != nil {
		t.Fatal(err)
	}
	options := fleetOptions()
	if change != nil {
		change(&options)
	}
	return Run(p, echo.LeastUsed, options)
}

// judgeAlone makes hosts judge upstreams by their own evidence alone.
func judgeAlone(o *Options) { o.Without = 1 << echo.SharedEvidence }

func failedFraction(r Result) float64 { return float64(r.Failed) / float64(r.Requests) }

// TestHostsLearnFromEachOther checks what failed upstreams of a large pool cost, against the
// users' targets, and that hosts which judge alone serve no better.
func TestHostsLearnFromEachOther(t *testing.T) {
	tests := []struct {
		pattern string
		// maxFailed is the largest fraction of failed requests.
		maxFailed float64
	}{
		{"sinkhole", 0.004},
		{"grey-fleet", 0.0015},
		{"dark-many", 0.003},
		{"mute", 0.006},
	}
	for _, test := range tests {
		t.Run(test.pattern, func(t *testing.T) {
			t.Parallel()
			together := runFleet(t, test.pattern, nil)
			alone := runFleet(t, test.pattern, judgeAlone)
			t.Logf("failed %.4f together, %.4f alone; worth %.4f and %.4f", failedFraction(together), failedFraction(alone), together.Worth, alone.Worth)
			if failedFraction(together) > test.maxFailed {
				t.Errorf("%.4f of the requests failed, want at most %.4f", failedFraction(together), test.maxFailed)
			}
			if alone.Worth > together.Worth {
				t.Errorf("worth %.4f if hosts judge alone, %.4f if they exchange evidence", alone.Worth, together.Worth)
			}
		})
	}
}

// TestNoUpstreamIsEjectedWithoutCause covers loads and faults that change answers without
// any upstream that fails.
func TestNoUpstreamIsEjectedWithoutCause(t *testing.T) {
	for _, name := range []string{"steady", "burst", "rolling-release", "slow-upstreams", "zone-cut", "lossy-host", "mass-restart"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if r := runFleet(t, name, nil); r.Ejections != 0 {
				t.Errorf("%d ejections, want none", r.Ejections)
			}
		})
	}
}

// TestSteadyLoadGivesNoEvidence guards against upstreams that lose their flows although
// nothing is wrong, where each of many hosts sees a small part of the answers. The table in
// docs/design/evidence.md has more seeds and hosts.
func TestSteadyLoadGivesNoEvidence(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := runFleet(t, "steady", func(o *Options) {
				*o = DefaultOptions()
				o.Seed, o.DataCentres, o.HostsPerDataCentre, o.UpstreamsPerDataCentre, o.Duration = seed, 7, 4, 10, minDuration
			})
			if r.Ejections != 0 || r.Suspicions != 0 {
				t.Errorf("%d ejections and %d suspicions, want none", r.Ejections, r.Suspicions)
			}
		})
	}
}

// TestAccuserConvincesNobody covers one host that loses packets and so accuses many
// upstreams: the others go on as before.
func TestAccuserConvincesNobody(t *testing.T) {
	const margin = 0.002
	together := runFleet(t, "lossy-host", nil)
	alone := runFleet(t, "lossy-host", judgeAlone)
	if together.Worth < alone.Worth-margin {
		t.Errorf("worth %.4f with the evidence of a lossy host, %.4f without", together.Worth, alone.Worth)
	}
}

// TestEvidenceServesEachKindOfService runs the same faults before services that are ten
// times as quick and as slow, with one slot and with many.
func TestEvidenceServesEachKindOfService(t *testing.T) {
	kinds := []struct {
		name        string
		serviceTime time.Duration
		slots       int
	}{{"2 ms", 2 * time.Millisecond, 1}, {"250 ms, 16 slots", 250 * time.Millisecond, 16}}
	for _, kind := range kinds {
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			change := func(o *Options) {
				o.ServiceTime, o.Slots = kind.serviceTime, kind.slots
				o.Load = 0.25 * float64(kind.serviceTime) / float64(25*time.Millisecond) * 2 / float64(kind.slots)
				o.Objective, o.Timeout = 10*kind.serviceTime+100*time.Millisecond, 10*kind.serviceTime+2500*time.Millisecond
			}
			if r := runFleet(t, "sinkhole", change); failedFraction(r) > 0.01 {
				t.Errorf("%.4f of the requests failed", failedFraction(r))
			}
			if r := runFleet(t, "steady", change); r.Ejections != 0 {
				t.Errorf("%d ejections without a fault", r.Ejections)
			}
		})
	}
}

// TestAblationSwitchesOneMechanismOff checks the comparison on a pattern in which one
// mechanism is known to matter.
func TestAblationSwitchesOneMechanismOff(t *testing.T) {
	p, err := Find("silent-upstreams")
	if err != nil {
		t.Fatal(err)
	}
	all := Ablate(p, DefaultOptions(), 1)
	if len(all) != len(echo.Mechanisms()) {
		t.Fatalf("%d rows for %d mechanisms", len(all), len(echo.Mechanisms()))
	}
	for _, a := range all {
		if a.Mechanism == echo.Suspicion.String() && a.WorthWithout >= a.Worth {
			t.Errorf("worth %.4f without suspicion, %.4f with it", a.WorthWithout, a.Worth)
		}
	}
}
