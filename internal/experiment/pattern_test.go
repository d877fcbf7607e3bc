package experiment

import (
	"reflect"
	"testing"

	"github.com/oatlatch/oatlatch/internal/flow/echo"
)

// Bounds of the users' targets: worth of a day with trouble, and of its worst
// window.
const (
	worthTarget  = 0.94
	windowTarget = 0.80
	// zoneCutWindow and silentWorth are the targets for these faults alone.
	zoneCutWindow = 0.95
	silentWorth   = 0.98
)

// TestPatterns holds the targets on each pattern. Those that no balancer can
// reach are compared with one that knows everything.
func TestPatterns(t *testing.T) {
	special := map[string]struct{ worth, window float64 }{
		"zone-cut":         {worthTarget, zoneCutWindow},
		"silent-upstreams": {silentWorth, windowTarget},
	}
	for _, p := range Patterns() {
		t.Run(p.Name, func(t *testing.T) {
			got := Play(p, echo.LeastUsed, Defaults())
			bound := Play(p, echo.AllKnowing, Defaults())
			want, ok := special[p.Name]
			if !ok {
				want.worth, want.window = worthTarget, windowTarget
			}
			want.worth, want.window = min(want.worth, bound.Worth), min(want.window, bound.WorstWindow)
			if got.Worth < want.worth || got.WorstWindow < want.window {
				t.Errorf("worth %.3f and worst window %.3f, want %.3f and %.3f; %+v", got.Worth, got.WorstWindow, want.worth, want.window, got)
			}
		})
	}
}

func TestLeastUsedIsBetterThanChance(t *testing.T) {
	for _, p := range Patterns() {
		if p.Name == "overloaded-cut" || p.Name == "mass-restart" {
			continue // capacity and the outage bind, whatever the choice
		}
		least, random := Play(p, echo.LeastUsed, Defaults()), Play(p, echo.Random, Defaults())
		if least.Worth <= random.Worth {
			t.Errorf("%s: worth %.3f, by chance %.3f", p.Name, least.Worth, random.Worth)
		}
	}
}

func TestRunsRepeat(t *testing.T) {
	for _, p := range Patterns() {
		if a, b := Play(p, echo.LeastUsed, Defaults()), Play(p, echo.LeastUsed, Defaults()); !reflect.DeepEqual(a, b) {
			t.Errorf("%s: two runs of one seed differ: %+v, %+v", p.Name, a, b)
		}
	}
}

func TestOptions(t *testing.T) {
	good := Defaults()
	if err := good.Check(); err != nil {
		t.Error(err)
	}
	for _, change := range []func(*Options){
		func(o *Options) { o.Sites = 0 }, func(o *Options) { o.HostsPerSite = 1000 },
		func(o *Options) { o.Load = 0 }, func(o *Options) { o.Length = 1 },
		func(o *Options) { o.ShareEvery = 0 },
	} {
		bad := Defaults()
		change(&bad)
		if bad.Check() == nil {
			t.Errorf("no error for %+v", bad)
		}
	}
	if _, err := Find("nonsense"); err == nil {
		t.Error("no error for an unknown pattern")
	}
}

// TestSharedEstimatesDoNotPay holds the reason why hosts do not tell each other
// their requests: every host sends its flows to the upstream that all were told
// is free. Steering by its own flows alone must stay as good.
func TestSharedEstimatesDoNotPay(t *testing.T) {
	const margin = 0.002 // below what a run's seed changes
	options := Defaults()
	options.HostsPerSite, options.UpstreamsPerSite = 4, 10
	for _, name := range []string{"burst", "slow-upstreams"} {
		p, err := Find(name)
		if err != nil {
			t.Fatal(err)
		}
		alone, shared := Play(p, echo.LeastUsed, options), Play(p, echo.SharedEstimates, options)
		if alone.Worth < shared.Worth-margin {
			t.Errorf("%s: worth %.4f, with shared estimates %.4f", name, alone.Worth, shared.Worth)
		}
	}
}

// TestOverloadIsNearTheBound has more requests than slots for six seconds. Hosts
// of several data centres that send to the same upstreams do not see each
// other's requests there, so that those upstreams queue while others idle.
func TestOverloadIsNearTheBound(t *testing.T) {
	const margin = 0.01 // of the worth of a balancer that sees every queue
	p, err := Find("overload")
	if err != nil {
		t.Fatal(err)
	}
	got, bound := Play(p, echo.LeastUsed, Defaults()), Play(p, echo.AllKnowing, Defaults())
	if got.Worth < bound.Worth-margin {
		t.Errorf("worth %.3f, all-knowing %.3f", got.Worth, bound.Worth)
	}
}
