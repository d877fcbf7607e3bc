// Package upstream is a stand-in for an upstream of a service. It consists of an HTTP
// server, which simulates slots, drain, cold start, load shedding and faults and
// serves load reports and health checks, and of a UDP receiver of
// Geneve-encapsulated packets. It records the requests run and the flows received,
// so that tests can check them.
package upstream

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/service"
)

// Options configures a stand-in.
type Options struct {
	// Service is the service of the upstream. Packets with the VNI of another service
	// count as misdelivered; zero accepts every VNI.
	Service service.ID
	// Upstream holds the addresses to listen on, where port 0 picks a free port, and
	// the number of slots, which defaults to 1.
	Upstream service.Upstream
	// LoadPath is the path of load reports. It defaults to /load.
	LoadPath string
	// HealthPath is the path of health checks. It defaults to /health.
	HealthPath string
	// ServiceTime is the service time of a request. The query parameter work_ms overrides it.
	ServiceTime time.Duration
	// QueueLimit is the number of requests that may wait for a slot; further ones
	// are shed.
	QueueLimit int
	// ColdStart is the time after New or Resume during which requests take longer,
	// at first by ColdFactor.
	ColdStart time.Duration
	// ColdFactor is the slowdown at the beginning of a cold start. It is at least 1.
	ColdFactor float64
	// OnPacket, if not nil, is called with the flow of each packet, from one
	// goroutine. It replaces the response that an upstream sends to the caller
	// directly, not through the host. It must not call methods of the Upstream, whose
	// lock is held.
	OnPacket func(Flow)
	// Now returns the current time. It defaults to time.Now.
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
