package catalog

import "net/netip"

// Host is the registration of an entry host.
type Host struct {
	Name       string
	DataCentre string
	// Peer is the address that accepts calls from other entry hosts.
	Peer netip.AddrPort
	// Bandwidth is the bandwidth of the host's link, in Mbit/s.
	Bandwidth float64
	// Joined orders hosts by the time of their registration.
	Joined uint64
}
