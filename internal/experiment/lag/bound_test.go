package lag

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	// bound is the longest time for which a host that works may lack what others know, and
	// quietBound that while no source fails.
	bound      = 1500 * time.Millisecond
	quietBound = 500 * time.Millisecond
	// operatorBound is the longest time until a configuration is in force on a quiet day, and
	// operatorFaultBound that while the store fails a third of the hosts.
	operatorBound      = time.Second
	operatorFaultBound = 3 * time.Second
)

// TestSilentStoreWatch guards against the fault that was measured: the store no longer
// answers the first host of a data centre, whose followers then know nothing new either.
func TestSilentStoreWatch(t *testing.T) {
	for seed := range uint64(6) {
		o := DefaultOptions()
		o.Hosts, o.Seed, o.Duration = 135, seed, 8*time.Second
		o.StoreFault = map[string]Fault{"dc-0-host-0": Silent}
		if r := Run(o); r.Worst > bound {
			t.Errorf("seed %d: %s is %s behind, want at most %s", seed, r.WorstHost, r.Worst, bound)
		}
	}
}

// TestNoHostFallsBehind guards against hosts that are behind while a third of the sources
// fail in any way.
func TestNoHostFallsBehind(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := DefaultOptions()
		o.Duration = 6 * time.Second
		o.DataCentres = rapid.SampledFrom([]int{1, 2, 3, 7}).Draw(t, "data centres")
		o.Hosts = rapid.IntRange(10*o.DataCentres, 80).Draw(t, "hosts")
		o.Seed = rapid.Uint64Range(0, 1000).Draw(t, "seed")
		o.FaultyHosts = rapid.Float64Range(0, 0.33).Draw(t, "faulty hosts")
		o.FaultyStores = rapid.Float64Range(0, 0.33).Draw(t, "faulty stores")
		if r := Run(o); r.Worst > bound {
			t.Fatalf("%s is %s behind at %s (its store: %s), want at most %s", r.WorstHost, r.Worst, r.WorstAt, r.WorstSource, bound)
		}
	})
}

// TestQuietDay guards against hosts that are behind, or read the store or each other too
// often, while nothing fails.
func TestQuietDay(t *testing.T) {
	for _, hosts := range []int{1, 2, 7, 30, 135} {
		o := DefaultOptions()
		o.Hosts, o.DataCentres = hosts, min(hosts, 7)
		r := Run(o)
		if r.Worst > quietBound {
			t.Errorf("%d hosts: %s is %s behind, want at most %s", hosts, r.WorstHost, r.Worst, quietBound)
		}
		if r.Operator > operatorBound {
			t.Errorf("%d hosts: a configuration was in force after %s, want at most %s", hosts, r.Operator, operatorBound)
		}
		o.Drains, o.Configurations, o.Duration = 0, 0, 30*time.Second
		r = Run(o)
		// One host of each data centre calls the store once in each pause and wait of 3 s, and
		// once in 20 s for the operator's records.
		if most := float64(o.DataCentres) * (1.0/3 + 1.0/20) * 1.1; r.StoreCalls > most {
			t.Errorf("%d hosts: %.2f calls a second to the store, want at most %.2f", hosts, r.StoreCalls, most)
		}
	}
}

// TestConfigurationWhileTheStoreFails guards against configurations that are late because
// the store fails some of its readers.
func TestConfigurationWhileTheStoreFails(t *testing.T) {
	for seed := range uint64(8) {
		o := DefaultOptions()
		o.Hosts, o.Seed, o.FaultyStores, o.Duration = 60, seed, 0.33, 8*time.Second
		if r := Run(o); r.Operator > operatorFaultBound {
			t.Errorf("seed %d: a configuration was in force after %s, want at most %s", seed, r.Operator, operatorFaultBound)
		}
	}
}
