// Package demo runs a complete deployment over loopback sockets: a platform, upstreams,
// entry hosts, callers and a fabric, which simulates the network between callers and
// hosts. It makes changes under load and checks the load balancer's guarantees. All parts
// run in one process, except in tests that start each host as a process of its own.
package demo

import (
	"io"
	"time"

	"github.com/rs/zerolog"
)

// Options configure a run of the demo.
type Options struct {
	// User is the user whose example services are published: amarres or kowhai-lane.
	User string
	// Duration is the least time for which the load runs. Steps that take longer extend it.
	Duration time.Duration
	// Seed seeds the pseudo-random choices of the hosts and the fabric.
	Seed uint64
	// Progress receives one line for each step. It may be nil.
	Progress io.Writer
	// Logger receives the log events of hosts that run in this process.
	Logger zerolog.Logger

	// launch starts hosts. If nil, they run in this process.
	launch launcher
	// hosts is the number of hosts at the start. Zero means defaultHosts.
	hosts int
	// flowsPerSecond is the rate of new flows for each service. Zero means
	// defaultFlowsPerSecond in Run, and no flows in benchmarks.
	flowsPerSecond int
	// steps returns the changes to make under load. If nil, defaultSteps is used.
	steps func(*demoRun) []step
}

// Parameters of the demo's load and deadlines.
const (
	defaultHosts          = 4
	defaultFlowsPerSecond = 300
	// longFlowEvery makes one in this many flows stay open to the end of the run.
	longFlowEvery     = 5
	shortFlowLifetime = 5 * time.Second
	// packetInterval is the time between two packets of a flow.
	packetInterval = time.Second
	// workersPerService is the number of goroutines that send requests to each service.
	workersPerService = 6
	// requestPause is the wait between two requests of a worker.
	requestPause    = 20 * time.Millisecond
	requestDeadline = 5 * time.Second
	// upstreamServiceTime is how long an upstream works on a request.
	upstreamServiceTime = 10 * time.Millisecond
	upstreamQueueLimit  = 4
	downloadBytes       = 20_000
	// readyTimeout bounds the wait for a host to adopt a configuration.
	readyTimeout = 10 * time.Second
	// propagationLimit is the longest propagation time that is not a violation.
	propagationLimit = 3 * time.Second
	pollInterval     = 20 * time.Millisecond
	// minCooldown is the least time for which the load continues after the last step.
	minCooldown = time.Second
	// fabricUpdateDelay is how long the fabric keeps sending to a host that leaves or fails.
	fabricUpdateDelay = 500 * time.Millisecond
	// probeTimeout bounds the wait for the probes of one round.
	probeTimeout  = 5 * time.Second
	stopTimeLimit = 20 * time.Second
)
