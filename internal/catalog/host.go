package catalog

import "net/netip"

// Host is the registration of an entry host.
type Host struct {
	Name       string
	DataCentre string
	// Peer is the address at which the host accepts calls from other entry hosts.
	Peer netip.AddrPort
	// Seed is where the host takes and serves pages while it starts; invalid for none.
	Seed netip.AddrPort
	// Bandwidth is the bandwidth of the host's link, in Mbit/s.
	Bandwidth float64
	// Joined is the store revision at which the registration was created.
	Joined uint64
	// Registered is the position of the registration's last write. It is set in views
	// only.
	Registered Position
}
