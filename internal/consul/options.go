package consul

import (
	"crypto/tls"
	"math/rand/v2"
	"net/url"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// Defaults of Options.
const (
	// DefaultTimeout is the timeout of an HTTP request other than a watch.
	DefaultTimeout = 2 * time.Second
	// DefaultWatchWait is how long the platform waits for a change before it responds
	// to a watch.
	DefaultWatchWait = 20 * time.Second
	// DefaultCallsPerSecond is the rate limit of one process.
	DefaultCallsPerSecond = 50
	// DefaultServiceName is the catalog service whose instances are the entry hosts.
	DefaultServiceName = "oatlatch"
)

// Options configure an HTTPClient. Values that are zero or negative are replaced by
// their defaults.
type Options struct {
	// Addresses are base URLs of platform servers, for example "http://192.0.2.1:8500".
	// After a failed request, the next one is used.
	Addresses []string
	// Token is sent in the X-Consul-Token header, unless it is empty.
	Token string
	// TLS is the configuration for https addresses. If it is nil, the certificate
	// authorities of the system are trusted.
	TLS *tls.Config
	// Timeout is the timeout of an HTTP request other than a watch, and of every
	// attempt to connect. Time spent waiting for the rate limit does not count.
	Timeout time.Duration
	// WatchWait is how long the platform waits for a change before it responds to a
	// watch. Fractions of a second are cut off, but at least one second is used.
	WatchWait time.Duration
	// CallsPerSecond limits the rate of HTTP requests. Requests above it wait.
	CallsPerSecond float64
	// ServiceName is the catalog service whose instances are the entry hosts.
	ServiceName string
	Logger      zerolog.Logger
	// Registerer registers the metrics, unless it is nil.
	Registerer prometheus.Registerer
	// Now is the clock for the duration metrics. It defaults to time.Now.
	Now func() time.Time
	// Seed seeds the jitter of retries. Zero selects a random seed.
	Seed uint64
}

func (o *Options) setDefaults() {
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	if o.WatchWait <= 0 {
		o.WatchWait = DefaultWatchWait
	}
	if o.CallsPerSecond <= 0 {
		o.CallsPerSecond = DefaultCallsPerSecond
	}
	if o.ServiceName == "" {
		o.ServiceName = DefaultServiceName
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
}

func (o *Options) validate() error {
	if len(o.Addresses) == 0 {
		return &SettingsError{Option: "addresses", Reason: "no platform server is set: set at least one, for example http://192.0.2.1:8500"}
	}
	for _, address := range o.Addresses {
		u, err := url.Parse(address)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			return &SettingsError{Option: "addresses", Reason: "invalid URL " + address + ": write it as http://HOST:PORT or https://HOST:PORT"}
		}
	}
	return nil
}
