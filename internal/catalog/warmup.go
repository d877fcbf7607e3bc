package catalog

import "time"

// Warmup describes how the upstreams of a service warm up after a start.
type Warmup struct {
	// Duration is how long an upstream warms up at most; zero if only its registration
	// tells.
	Duration time.Duration
	// PerSecond is the number of requests per second that an upstream can serve meanwhile.
	PerSecond float64
}
