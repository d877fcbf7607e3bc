package platform

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
	// DefaultDeadline bounds one call other than a watch.
	DefaultDeadline = 2 * time.Second
	// DefaultWatchWait is how long the platform holds a watch without a change.
	DefaultWatchWait = 20 * time.Second
	// DefaultCallsPerSecond is the call budget of one host.
	DefaultCallsPerSecond = 50
	// DefaultServiceName is the catalog entry under which entry hosts are listed.
	DefaultServiceName = "oatlatch"
)

// Options configure the HTTP adapter.
type Options struct {
	// Addresses are base URLs of platform servers, for example "http://192.0.2.1:8500".
	// A failed call moves on to the next one.
	Addresses []string
	// Token is sent as X-Consul-Token when it is not empty.
	Token string
	// TLS configures https addresses; nil trusts the system's authorities.
	TLS *tls.Config
	// Deadline bounds one call other than a watch.
	Deadline time.Duration
	// WatchWait is how long the platform holds a watch without a change.
	WatchWait time.Duration
	// CallsPerSecond is the budget of this process; calls beyond it wait.
	CallsPerSecond float64
	// ServiceName is the catalog entry under which entry hosts are listed.
	ServiceName string
	Logger      zerolog.Logger
	Registerer  prometheus.Registerer
	Now         func() time.Time
	Seed        uint64
}

func (o *Options) setDefaults() {
	if o.Deadline <= 0 {
		o.Deadline = DefaultDeadline
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
		return &SettingsError{Option: "addresses", Reason: "name at least one platform server, for example http://192.0.2.1:8500"}
	}
	for _, address := range o.Addresses {
		u, err := url.Parse(address)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			return &SettingsError{Option: "addresses", Reason: "write " + address + " as http://HOST:PORT or https://HOST:PORT"}
		}
	}
	return nil
}
