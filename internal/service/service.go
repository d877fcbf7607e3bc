// Package service holds the validated form of service files and the parser
// that produces it.
package service

import (
	"net/netip"
	"time"
)

// ID identifies a service in encapsulated packets as the 24-bit virtual network
// identifier (RFC 8926, section 3.4). The manifest assigns it and never reuses it.
type ID uint32

// MaxID is the largest 24-bit virtual network identifier.
const MaxID ID = 1<<24 - 1

// Protocol is the IP protocol number of a service's flows.
type Protocol uint8

// Protocols that a service may use.
const (
	TCP Protocol = 6
	UDP Protocol = 17
)

// Preference says which of two measures a service weighs more.
type Preference string

// Preferences that a service may state.
const (
	// PreferFlows deviates from the stateless choice only for large load differences.
	PreferFlows Preference = "flows"
	// PreferBalance deviates for small load differences, at the cost of more flow records.
	PreferBalance Preference = "balance"
)

// AdminState is the state that the operator has written for an upstream.
type AdminState string

// States that an operator may write.
const (
	AdminActive   AdminState = "active"
	AdminDraining AdminState = "draining"
)

// Service is one validated service file.
type Service struct {
	// Name is unique in a deployment.
	Name string
	// ID is zero until the service is published.
	ID     ID
	Region string
	// Address is the virtual address and port that callers' packets carry.
	Address  netip.AddrPort
	Protocol Protocol
	// RequestHost is the HTTP Host header (without port) of the service's requests;
	// empty when the service takes no requests.
	RequestHost string
	// Prefer and DeviationThreshold govern load-aware choice: a new flow leaves its
	// first candidate when that candidate's relative load exceeds the second's by
	// more than the threshold (a ratio, 0.1 is 10%).
	Prefer             Preference
	DeviationThreshold float64
	// DrainLimit bounds how long flows of a draining upstream are kept.
	DrainLimit time.Duration
	// IdleTimeout ends a flow without packets.
	IdleTimeout time.Duration
	// SlowStart is the time over which a joining upstream's share grows to its full weight.
	SlowStart time.Duration
	// LoadPath is the HTTP path of an upstream's load report; empty when it has none.
	LoadPath string
	// HealthPath is the HTTP path of an upstream's health check; empty for a TCP connect check.
	HealthPath string
	// Upstreams are sorted by name.
	Upstreams []Upstream
}

// Upstream is one target of a service.
type Upstream struct {
	// Name is unique within the service.
	Name       string
	DataCentre string
	// Address takes requests (TCP) and health checks.
	Address netip.AddrPort
	// PacketAddress takes Geneve packets (UDP); its IP is that of Address.
	PacketAddress netip.AddrPort
	// Weight is the upstream's relative share, at least 1.
	Weight uint32
	// Slots is the number of requests the upstream runs at once, at least 1.
	Slots uint32
	// Connections is the number of flows the upstream holds, at least 1.
	Connections uint32
	State       AdminState
}
