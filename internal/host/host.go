// Package host defines the identity and the addresses of an entry host, which is a host
// that runs the load balancer.
package host

import (
	"fmt"
	"net/netip"
)

// ID is the unique name of an entry host, for example "casa-quay/entry-1". A host that
// replaces a failed one may have the same ID, but has a different Incarnation.
type ID string

// Incarnation distinguishes successive processes with the same host ID. A process
// chooses it at random when it starts, and it is never reused.
type Incarnation uint64

// Host describes an entry host to the other entry hosts.
type Host struct {
	ID          ID
	Incarnation Incarnation
	DataCentre  string
	Region      string
	// PeerAddress accepts net/rpc connections from other entry hosts (TCP).
	PeerAddress netip.AddrPort
	// PacketAddress receives encapsulated packets from the network fabric and from
	// other entry hosts (UDP).
	PacketAddress netip.AddrPort
	// RequestAddress accepts requests from callers (TCP, HTTP).
	RequestAddress netip.AddrPort
}

// String returns the ID and the hexadecimal incarnation, for log lines.
func (h Host) String() string {
	return fmt.Sprintf("%s#%x", h.ID, uint64(h.Incarnation))
}
