package catalog

import (
	"net/netip"
	"slices"
)

// FormerServices holds the former services of routes by address. It is read-only; the nil
// pointer holds none.
type FormerServices struct {
	services map[netip.AddrPort][]string
}

// Has reports whether an earlier configuration had the service for the address.
func (f *FormerServices) Has(address netip.AddrPort, service string) bool {
	return f != nil && slices.Contains(f.services[address], service)
}

// HasRoute reports whether the address has a former service. If no route has the address,
// its route was removed.
func (f *FormerServices) HasRoute(address netip.AddrPort) bool {
	return f != nil && len(f.services[address]) > 0
}

// add adds a service while the value is built.
func (f *FormerServices) add(address netip.AddrPort, service string) {
	if !f.Has(address, service) {
		f.services[address] = append(f.services[address], service)
	}
}
