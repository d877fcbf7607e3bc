// Package probe checks the health of upstreams over HTTP and TCP, reads their load
// reports and publishes the states that package health determines from them.
package probe

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/internal/health"
	"github.com/oatlatch/oatlatch/internal/host"
)

// Options configure a Runner.
type Options struct {
	// Self describes this host.
	Self       host.Host
	Logger     zerolog.Logger
	Registerer prometheus.Registerer
	// Now returns the current time; time.Now if nil.
	Now func() time.Time
	// Seed seeds the random times of the first checks.
	Seed uint64
	// OnView, if not nil, is called with each new view, in order, from the goroutine
	// of Run.
	OnView func(health.View)
}

// Timing and limits of checks.
const (
	// checkInterval is the time between two checks of an upstream by this host. It is
	// longer for upstreams that pass if there are more than maxChecksPerSecond.
	checkInterval = time.Second
	// maxChecksPerSecond limits the checks of passing upstreams, so that their cost to
	// a host does not grow with the number of upstreams. Upstreams that do not pass
	// are checked every checkInterval in any case.
	maxChecksPerSecond = 100
	// checkTimeout limits the duration of a check, load report included.
	checkTimeout = time.Second
	// viewInterval is the minimum time between two views without a state change.
	viewInterval = 250 * time.Millisecond
	// workers is the number of concurrent checks.
	workers = 16
	// maxReportBytes limits the size of a load report, and that of response headers.
	maxReportBytes = 4 << 10
	// queueCapacity is the capacity of the queues of jobs and results.
	queueCapacity = 64
)

// drainingHeader is the response header by which an upstream reports, with the value
// "true", that it is draining.
const drainingHeader = "Oatlatch-Draining"
