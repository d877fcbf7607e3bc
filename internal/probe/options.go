// Package probe checks the health of upstreams over HTTP and TCP, reads their load
// reports and publishes the states that package health decides.
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
	Now        func() time.Time
	Seed       uint64
	// OnView receives each new view, in order, from one goroutine.
	OnView func(health.View)
}

// Timing and bounds of checks.
const (
	// checkInterval is the time between two checks of one upstream by one host, as
	// long as this makes no more than maxChecksPerSecond.
	checkInterval = time.Second
	// maxChecksPerSecond bounds what checks cost a host. With more upstreams the
	// checks of those that pass come less often.
	maxChecksPerSecond = 100
	// checkTimeout bounds one check.
	checkTimeout = time.Second
	// viewInterval is the least time between two views that differ in loads only.
	viewInterval = 250 * time.Millisecond
	// workers is the number of checks in progress at once.
	workers = 16
	// maxReportBytes bounds the body of a load report.
	maxReportBytes = 4 << 10
	// queueLength bounds the jobs and results that wait.
	queueLength = 64
)

// drainingHeader marks the answer of a health check by a draining upstream.
const drainingHeader = "Oatlatch-Draining"
