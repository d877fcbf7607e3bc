package experiment

import (
	"fmt"
	"time"

	"github.com/oatlatch/oatlatch/internal/flow/echo"
)

// Options configure a simulation.
type Options struct {
	// Seed seeds all random choices. Two runs with the same pattern, policy and
	// options have the same result.
	Seed uint64
	// DataCentres is the number of data centres.
	DataCentres int
	// HostsPerDataCentre and UpstreamsPerDataCentre are the number of hosts and of
	// upstreams in each data centre.
	HostsPerDataCentre, UpstreamsPerDataCentre int
	// Slots is the number of requests that an upstream runs concurrently.
	Slots int
	// Load is the average fraction of all slots that callers keep busy.
	Load float64
	// ShareInterval is the interval at which the hosts of a data centre exchange
	// their numbers of pending requests under echo.SharedEstimates.
	ShareInterval time.Duration
	// Objective is the latency up to which a response counts as in time, and Timeout how
	// long callers wait for a response, retries included.
	Objective, Timeout time.Duration
	// ThinkTime is the mean time, under normal load, from the end of a caller's request to
	// its next one. With a longer one, more callers make up the same load, and more of them
	// return after an outage.
	ThinkTime time.Duration
	// ServiceTime is the mean time that an upstream takes to run a request, and QueueSize
	// the number of requests that it queues before it rejects further ones.
	ServiceTime time.Duration
	QueueSize   int
	// FlowRequests is the mean number of requests on a flow that stays open. With 0 it stays
	// open for the whole run.
	FlowRequests int
	// KnowledgeAge is the time from an exchange under echo.SharedEstimates until hosts know
	// what they have learned. Until the next exchange it is up to ShareInterval older.
	KnowledgeAge time.Duration
	// Without holds the mechanisms that are switched off.
	Without echo.MechanismSet
	// Outage is how long the pattern power-loss stops all hosts. They start within
	// StartSpread after it, each of which has its first view after StartDelay.
	Outage, StartSpread, StartDelay time.Duration
	// ignoreEvacuations keeps evacuations from the hosts.
	ignoreEvacuations bool
	// Duration is how long callers send requests, in virtual time.
	Duration time.Duration
}

// DefaultOptions returns options for a small deployment.
func DefaultOptions() Options {
	return Options{
		Seed: 1, DataCentres: 3, HostsPerDataCentre: 1, UpstreamsPerDataCentre: 5, Slots: 3, Load: 0.55, Duration: 30 * time.Second,
		ShareInterval: 100 * time.Millisecond, Objective: 250 * time.Millisecond, Timeout: 1500 * time.Millisecond,
		ThinkTime: 900 * time.Millisecond, ServiceTime: 60 * time.Millisecond, QueueSize: 12, Outage: 1200 * time.Millisecond, StartDelay: 100 * time.Millisecond,
	}
}

// Validate returns an error if an option is out of range.
func (o *Options) Validate() error {
	switch {
	case o.DataCentres < 1 || o.DataCentres > maxDataCentres || o.HostsPerDataCentre < 1 || o.HostsPerDataCentre > maxPerDataCentre || o.UpstreamsPerDataCentre < 1 || o.UpstreamsPerDataCentre > maxPerDataCentre:
		return fmt.Errorf("%d data centres with %d hosts and %d upstreams each: use 1 to %d data centres, and 1 to %d hosts and upstreams in each",
			o.DataCentres, o.HostsPerDataCentre, o.UpstreamsPerDataCentre, maxDataCentres, maxPerDataCentre)
	case o.Slots < 1:
		return fmt.Errorf("%d slots: an upstream needs at least 1", o.Slots)
	case !(o.Load > 0 && o.Load <= maxLoad):
		return fmt.Errorf("load %g: must be greater than 0 and at most %d", o.Load, maxLoad)
	case o.ShareInterval < minShareInterval:
		return fmt.Errorf("share interval %s: must be at least %s", o.ShareInterval, minShareInterval)
	case o.Objective <= 0 || o.Timeout < o.Objective:
		return fmt.Errorf("objective %s and timeout %s: the objective must be positive and at most the timeout", o.Objective, o.Timeout)
	case o.ThinkTime < 0 || o.ThinkTime > maxThinkTime:
		return fmt.Errorf("think time %s: use 0 to %s", o.ThinkTime, maxThinkTime)
	case o.FlowRequests < 0 || o.KnowledgeAge < 0 || o.KnowledgeAge > maxKnowledgeAge:
		return fmt.Errorf("%d requests of a flow and knowledge age %s: must not be negative, and the age at most %s", o.FlowRequests, o.KnowledgeAge, maxKnowledgeAge)
	case o.ServiceTime <= 0 || o.ServiceTime > o.Timeout || o.QueueSize < 0 || o.QueueSize > maxQueueSize:
		return fmt.Errorf("service time %s and queue of %d: use a time above 0 and at most the timeout, and a queue of 0 to %d", o.ServiceTime, o.QueueSize, maxQueueSize)
	case o.Outage < 0 || o.StartSpread < 0 || o.StartDelay < 0 || o.Outage+o.StartSpread+o.StartDelay > maxOutage:
		return fmt.Errorf("outage %s, start spread %s and start delay %s: must not be negative, and at most %s together", o.Outage, o.StartSpread, o.StartDelay, maxOutage)
	case o.Duration < minDuration:
		return fmt.Errorf("duration %s: must be at least %s, because some patterns end late", o.Duration, minDuration)
	}
	return nil
}

// Bounds of the options. Larger simulations take minutes to run.
const (
	maxDataCentres   = 7
	maxPerDataCentre = 500
	maxLoad          = 3
	minDuration      = 25 * time.Second
	minShareInterval = time.Millisecond
	maxOutage        = 10 * time.Second
	maxQueueSize     = 10_000
	maxThinkTime     = time.Minute
	maxKnowledgeAge  = 10 * time.Second
)

// Parameters of callers and upstreams.
const (
	// serviceTimeSigma is the standard deviation of the logarithm of service times.
	serviceTimeSigma = 0.5
	// persistentShare is the fraction of callers that keep a flow open.
	persistentShare = 0.7
	// responseSize is the size of a response in bytes, errorSize that of one that reports
	// an error, and errorTime the time until the latter.
	responseSize = 2000
	errorSize    = 200
	errorTime    = time.Millisecond
	// maxRetries is the number of times that a caller retries a request.
	maxRetries = 2
	// coldSlowdown multiplies the service times of a cold upstream until warmupTime
	// after its start.
	coldSlowdown = 1.6
	warmupTime   = 2 * time.Second
)

// One-way network delays.
const (
	// callerDelay is the delay between callers and hosts, and of the responses that
	// upstreams send directly to callers.
	callerDelay = 3 * time.Millisecond
	// evidenceInterval is the interval at which hosts exchange evidence, and evidenceDelay
	// the time until all have the sums.
	evidenceInterval = 100 * time.Millisecond
	evidenceDelay    = 20 * time.Millisecond
	// localDelay is the delay between a host and an upstream of its data centre.
	localDelay = 200 * time.Microsecond
	// remoteDelay is the delay between a host and an upstream of another data centre.
	remoteDelay = 1400 * time.Microsecond
)

// Parameters of the callers' transport protocol.
const (
	// firstRetransmit and secondRetransmit are the times after the first SYN at
	// which it is sent again. firstRetransmit is also the initial retransmission
	// interval of requests.
	firstRetransmit  = 200 * time.Millisecond
	secondRetransmit = 600 * time.Millisecond
	// openTimeout is how long a caller waits for the response to a SYN.
	openTimeout = 1400 * time.Millisecond
	// maxRetransmitInterval is the longest retransmission interval of requests.
	maxRetransmitInterval = 1600 * time.Millisecond
)
