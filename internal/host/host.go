// Package host names the entry hosts of a deployment.
package host

import (
	"fmt"
	"net/netip"
)

// ID is the unique name of an entry host, for example "casa-quay/entry-1".
// A replacement for a failed host may carry the same ID with a new Incarnation.
type ID string

// Incarnation tells apart successive processes of one host ID. It is drawn at
// random when a process starts and never reused.
type Incarnation uint64

// Host describes one entry host as its peers see it.
type Host struct {
	ID          ID
	Incarnation Incarnation
	DataCentre  string
	Region      string
	// PeerAddress takes net/rpc connections of the other entry hosts (TCP).
	PeerAddress netip.AddrPort
	// PacketAddress takes encapsulated packets of the fabric and of the other entry hosts (UDP).
	PacketAddress netip.AddrPort
	// RequestAddress takes requests of callers (TCP, HTTP).
	RequestAddress netip.AddrPort
}

// String returns the ID and incarnation for log lines.
func (h Host) String() string {
	return fmt.Sprintf("%s#%x", h.ID, uint64(h.Incarnation))
}
