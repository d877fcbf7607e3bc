package lag

import (
	"fmt"
	"time"
)

// Options describes a simulation.
type Options struct {
	Seed uint64
	// DataCentres is the number of data centres, among which Hosts are spread evenly.
	DataCentres, Hosts int
	// Limit is the time within which a change must take effect. The feeds derive their
	// timing from it.
	Limit time.Duration
	// FaultyHosts and FaultyStores are the parts of the hosts that fail as sources of other
	// hosts, and that the store does not serve well.
	FaultyHosts, FaultyStores float64
	// HostFaults and StoreFaults are the faults among which these draw.
	HostFaults, StoreFaults []Fault
	// HostFault and StoreFault are the faults of single hosts, by name, in addition.
	HostFault, StoreFault map[string]Fault
	// Warmup is the time before the faults and changes, Duration the time with them.
	Warmup, Duration time.Duration
	// Drains and Configurations are the mean times between two drains of an upstream and
	// two configurations; 0 for none.
	Drains, Configurations time.Duration
	// MeasureBytes encodes each answer to count its bytes.
	MeasureBytes bool
}

// DefaultOptions returns the options of a quiet day.
func DefaultOptions() Options {
	return Options{
		Seed: 1, DataCentres: 7, Hosts: 30, Limit: 5 * time.Second, HostFaults: HostFaults(), StoreFaults: StoreFaults(),
		Warmup: 12 * time.Second, Duration: 20 * time.Second, Drains: 500 * time.Millisecond, Configurations: 2 * time.Second,
	}
}

// Validate returns an error that names the first option without a useful value.
func (o *Options) Validate() error {
	switch {
	case o.DataCentres < 1 || o.Hosts < o.DataCentres:
		return fmt.Errorf("%d hosts in %d data centres: each data centre needs a host", o.Hosts, o.DataCentres)
	case o.FaultyHosts < 0 || o.FaultyHosts > 1 || o.FaultyStores < 0 || o.FaultyStores > 1:
		return fmt.Errorf("the parts of faulty sources must lie between 0 and 1")
	case o.FaultyHosts > 0 && len(o.HostFaults) == 0 || o.FaultyStores > 0 && len(o.StoreFaults) == 0:
		return fmt.Errorf("faulty sources need at least one fault to draw from")
	case o.Limit < time.Second || o.Warmup < 0 || o.Duration <= 0:
		return fmt.Errorf("limit %s, warm-up %s and duration %s: the limit must be 1s or more, the duration positive", o.Limit, o.Warmup, o.Duration)
	}
	return nil
}
