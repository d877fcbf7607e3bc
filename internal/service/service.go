// Package service defines the services that operators describe in service files, and parses these
// files.
package service

import (
	"net/netip"
	"time"
)

// ID identifies a service. In encapsulated packets it is the 24-bit virtual network identifier
// (RFC 8926, section 3.4). IDs are assigned at publication and never used for another service.
type ID uint32

// MaxID is the largest ID, the maximum of a 24-bit virtual network identifier.
const MaxID ID = 1<<24 - 1

// Protocol is the IP protocol number of the flows of a service.
type Protocol uint8

// Protocols of a service.
const (
	TCP Protocol = 6
	UDP Protocol = 17
)

// Preference says whether keeping new flows on the stateless, hash-based choice of an upstream or
// balancing the load matters more to a service.
type Preference string

// Preferences of a service.
const (
	// PreferFlows deviates from the stateless choice only for large load differences, which
	// needs few flow records.
	PreferFlows Preference = "flows"
	// PreferBalance deviates for small load differences too, which needs more flow records.
	PreferBalance Preference = "balance"
)

// AdminState is the state that the operator sets for an upstream in the service file.
type AdminState string

// Administrative states of an upstream.
const (
	AdminActive   AdminState = "active"
	AdminDraining AdminState = "draining"
)

// Service is the content of a service file.
type Service struct {
	// Name is unique among all services.
	Name string
	// ID is zero until the service is published.
	ID     ID
	Region string
	// Address is the virtual address and port to which callers send their packets.
	Address  netip.AddrPort
	Protocol Protocol
	// RequestHost is the HTTP Host header, without port, of requests to the service; empty if
	// the service takes no requests.
	RequestHost string
	// Prefer and DeviationThreshold control the load-aware choice of an upstream. A new flow
	// goes to its second candidate instead of its first if the relative load of the first
	// exceeds that of the second by more than the threshold. The threshold is a ratio: 0.1
	// means 10%. Prefer determines its default.
	Prefer             Preference
	DeviationThreshold float64
	// DrainLimit is the maximum time for which flows of a draining upstream are kept.
	DrainLimit time.Duration
	// IdleTimeout is the time without packets after which a flow ends.
	IdleTimeout time.Duration
	// SlowStart is the time in which the share of a joining upstream grows to its full weight.
	SlowStart time.Duration
	// LoadPath is the HTTP path of the upstreams' load reports; empty if they have none.
	LoadPath string
	// HealthPath is the HTTP path of the upstreams' health checks; if it is empty, the health
	// check is a TCP connect.
	HealthPath string
	// Upstreams are sorted by name.
	Upstreams []Upstream
}

// Upstream is a server to which the flows and requests of a service are sent.
type Upstream struct {
	// Name is unique within the service.
	Name       string
	DataCentre string
	// Address receives requests (TCP) and health checks.
	Address netip.AddrPort
	// PacketAddress receives Geneve packets (UDP). Its IP address is that of Address.
	PacketAddress netip.AddrPort
	// Weight is the upstream's share relative to the other upstreams, at least 1.
	Weight uint32
	// Slots is the maximum number of concurrent requests, at least 1.
	Slots uint32
	// Connections is the maximum number of concurrent flows, at least 1.
	Connections uint32
	State       AdminState
}
