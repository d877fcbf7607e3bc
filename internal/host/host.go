// Package host defines the identity and the addresses of an entry host.
package host

import (
	"fmt"
	"net/netip"
)

// ID is the unique name of an entry host, for example "casa-quay/entry-1".
// A replacement for a failed host may have the same ID with a new Incarnation.
type ID string

// Incarnation distinguishes successive processes with the same host ID. It is
// chosen at random when a process starts and never reused.
type Incarnation uint64

// Host is what the other entry hosts know about an entry host.
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

// String returns the ID and the incarnation in hexadecimal, for log lines.
func (h Host) String() string {
	return fmt.Sprintf("%s#%x", h.ID, uint64(h.Incarnation))
}
