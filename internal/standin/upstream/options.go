// Package upstream is a stand-in for the upstreams of a service: an HTTP server
// with slots, load and health reports, drain, cold start, shedding and faults,
// and a receiver of encapsulated packets. Both keep a record of what they got.
package upstream

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/service"
)

// Options sets up a stand-in.
type Options struct {
	// Service is the service whose packets the stand-in takes; zero takes all.
	Service service.ID
	// Upstream gives the addresses (port 0 picks a free one), slots and connections.
	Upstream service.Upstream
	// LoadPath and HealthPath default to /load and /health.
	LoadPath   string
	HealthPath string
	// Work is the service time of a request; the query's work_ms overrides it.
	Work time.Duration
	// QueueLimit is how many requests may wait for a slot before others are shed.
	QueueLimit int
	// ColdStart is the time after the start in which work takes up to ColdFactor times longer.
	ColdStart  time.Duration
	ColdFactor float64
	// OnPacket is called for each packet, from one goroutine; nil for none. It
	// stands for the answer that an upstream would send straight to the caller.
	OnPacket func(Flow)
	// Now defaults to time.Now.
	Now func() time.Time
}

func (o Options) withDefaults() Options {
	if o.LoadPath == "" {
		o.LoadPath = "/load"
	}
	if o.HealthPath == "" {
		o.HealthPath = "/health"
	}
	if o.Upstream.Slots == 0 {
		o.Upstream.Slots = 1
	}
	if o.ColdFactor < 1 {
		o.ColdFactor = 1
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}
