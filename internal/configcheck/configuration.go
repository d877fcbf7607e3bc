// Package configcheck checks a platform configuration before it is sent to the store, and
// compares it with the version in force. It reports what hosts would refuse, what can
// never take effect and what contradicts itself. The results depend on the arguments
// only, and their order on the order of the entries.
package configcheck

import (
	"net/netip"
	"strconv"
	"time"
)

// Types of the requests of a route.
const (
	TypeSafe     = "safe"
	TypeUnsafe   = "unsafe"
	TypeDownload = "download"
)

// Defaults of the hosts for a configuration that does not set the value.
const (
	defaultTimeout     = 5 * time.Second
	defaultIdleTimeout = 15 * time.Second
)

// Configuration is a configuration as the operator wrote it, with values that hosts would
// replace or refuse.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Route is a route as the operator wrote it.
type Route struct {
	Name string
	// Virtual is the virtual address as written, Address its value; Address is invalid if
	// Virtual cannot be parsed.
	Virtual string
	Address netip.AddrPort
	// Service gets all new flows if none of the backends has a name and a positive weight.
	Service        string
	Backends       []Backend
	Type           string
	Timeout        Millis
	Objective      Millis
	Priority       int
	MaxAttempts    int
	AllowedRegions []string
}

// Backend is a service with its weight in a route.
type Backend struct {
	Service string
	Weight  uint32
}

// Service is a service as the operator wrote it.
type Service struct {
	Name       string
	HealthPath string
	MaxFlows   float64
	Protocol   string
	TLS        bool
	// WarmupSeconds is how long an upstream is cold after a start, WarmupRate the number
	// of requests per second that a cold one can serve; no limit applies if it is 0.
	WarmupSeconds, WarmupRate float64
}

// Limits are the limits of a configuration.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes float64
	HeaderTimeout, IdleTimeout   Millis
}

// Millis is a number of milliseconds. It is not a Duration, so that negative and very
// large numbers are kept as written.
type Millis float64

// String returns the number with its unit, never in exponential notation.
func (m Millis) String() string { return number(float64(m)) + " ms" }

// number formats a number without an exponent.
func number(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

// or returns the number, or the default if it is 0.
func (m Millis) or(def time.Duration) Millis {
	if m == 0 {
		return Millis(def.Milliseconds())
	}
	return m
}

// shares returns the backends that get new flows.
func (r *Route) shares() []Backend {
	var shares []Backend
	for _, b := range r.Backends {
		if b.Service != "" && b.Weight > 0 {
			shares = append(shares, b)
		}
	}
	if len(shares) == 0 && r.Service != "" {
		shares = []Backend{{Service: r.Service, Weight: 1}}
	}
	return shares
}

// key identifies the route among those of a configuration: flows belong to an address.
func (r *Route) key() string {
	if r.Address.IsValid() {
		return r.Address.String()
	}
	return r.Virtual
}
