package soak

import (
	"io"
	"time"
)

// Options configure a run.
type Options struct {
	// Daemon is the path of the oatlatchd binary.
	Daemon string
	// Earlier, if set, is the path of that of an earlier build. All hosts then start with it,
	// are upgraded one after the other, and go back one after the other.
	Earlier string
	// Seed seeds the choice of faults and the behaviour of callers.
	Seed uint64
	// Duration is how long faults are injected.
	Duration time.Duration
	// Hosts is the number of hosts in each of the two data centres.
	Hosts int
	// Callers is the number of callers in both data centres together.
	Callers int
	// Progress receives one line for each fault. It may be nil.
	Progress io.Writer
	// Log receives the output of the hosts. It may be nil.
	Log io.Writer
}

const (
	// applyWithin is the time within which hosts must apply changes.
	applyWithin = 3 * time.Second
	// recoveryTime is how long a host may take after a fault until its time limits
	// hold again.
	recoveryTime = 4 * time.Second
	// stopTimeout is how long a host may take to stop.
	stopTimeout = 6 * time.Second
	// restartDelay is the time between the exit of a process and its restart.
	restartDelay = 300 * time.Millisecond
	// requestTimeout is how long callers wait for a response, retries included.
	requestTimeout = 1500 * time.Millisecond
	// plannedPhase and faultPhase are the lengths of two alternating phases: one with
	// planned operations only, and one with faults too. Only in the first do time
	// limits have to hold.
	plannedPhase = 10 * time.Second
	faultPhase   = 6 * time.Second
	// signalSetupTime is how long a process may take to catch signals after its start
	// on a busy machine.
	signalSetupTime = 100 * time.Millisecond
	// slowStoreDelay is the delay of the responses of a slow store.
	slowStoreDelay = 400 * time.Millisecond
	// settleTime is how long the run continues after the last fault before the final
	// check.
	settleTime = 6 * time.Second
	// minServedAfterFaults is the fraction of requests that must be served during the
	// final check.
	minServedAfterFaults = 0.99
	// checkInterval is the interval of the routers' readiness checks. After
	// maxFailedChecks failures in a row, routers take the host out of rotation.
	checkInterval   = 500 * time.Millisecond
	maxFailedChecks = 2
)

// Size and load of the deployment, small enough that one machine can run several at
// once.
const (
	dataCentres = 2
	// upstreamsPerDataCentre is the number of upstreams of each service.
	upstreamsPerDataCentre = 3
	slotsPerUpstream       = 3
	// serviceTime is how long an upstream takes to run a request.
	serviceTime = 20 * time.Millisecond
	// meanThinkTime is the mean time between the requests of a caller.
	meanThinkTime = 120 * time.Millisecond
)
