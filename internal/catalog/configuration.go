package catalog

import "time"

// Configuration is one version of the operator's configuration.
type Configuration struct {
	Version uint64
	Routes  []Route
	// HealthPaths holds the HTTP path of health checks by service name.
	HealthPaths map[string]string
	// Warmups holds the services whose upstreams may get only so many new flows while they
	// warm up, by name.
	Warmups map[string]Warmup
	// IdleTimeout is how long a flow must be idle before its flow record may be deleted.
	IdleTimeout time.Duration
}
