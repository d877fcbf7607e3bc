package catalog

import "time"

// Configuration is one version of the operator's configuration.
type Configuration struct {
	Version uint64
	Routes  []Route
	// HealthPaths holds the HTTP path of health checks by service name.
	HealthPaths map[string]string
	// IdleTimeout is how long a flow may be idle before its record may be dropped.
	IdleTimeout time.Duration
}
