package lag

import (
	"slices"
	"time"
)

// Result is the outcome of a simulation.
type Result struct {
	Hosts int
	// Measured is the number of hosts that work and must not be behind.
	Measured int
	// Worst is the longest time for which one of them lacked a change that another knew, and
	// WorstHost its name. WorstSource is the fault of the store as a source of that host.
	Worst       time.Duration
	WorstHost   string
	WorstSource Fault
	// WorstAt is when that ended, from the end of the warm-up.
	WorstAt time.Duration
	// Operator is the longest time from the acknowledgement of a configuration until a host
	// that works had it in force.
	Operator time.Duration
	// Samples are the quantiles of the lag over time.
	Samples []Sample
	// Calls are the calls a second that a host makes to others on average, RemoteCalls those
	// of them to other data centres, and ServedPeak the most calls to one host in a second.
	Calls, RemoteCalls float64
	// Messages are the messages a second that a host sends on average.
	Messages   float64
	ServedPeak int
	// StoreCalls are the calls a second of all hosts to the store, and StorePeak the most in
	// one second.
	StoreCalls float64
	StorePeak  int
	// Bytes are the bytes a second that a host receives from others on average, RemoteBytes
	// those of them from other data centres. PartnerBytes are those of the messages
	// that tell others what a host knows. They are measured on request.
	Bytes, RemoteBytes, PartnerBytes float64
}

// Sample holds the quantiles of the lag of the measured hosts at a time.
type Sample struct {
	// At is the time since the end of the warm-up.
	At               time.Duration
	Median, P99, Max time.Duration
}

// newSample returns the quantiles of the lags, which it sorts.
func newSample(at time.Duration, lags []time.Duration) Sample {
	if len(lags) == 0 {
		return Sample{At: at}
	}
	slices.Sort(lags)
	last := len(lags) - 1
	return Sample{At: at, Median: lags[last/2], P99: lags[last*99/100], Max: lags[last]}
}
