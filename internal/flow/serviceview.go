package flow

import (
	"encoding/binary"
	"net/netip"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/service"
)

// serviceAddress is the key by which packets find their service.
type serviceAddress struct {
	netip.AddrPort
	protocol service.Protocol
}

// serviceView is the set of services of a configuration. It is immutable, so that
// Decide can read it without a lock.
type serviceView struct {
	version config.Version
	key     hashKey
	// byIPv4Address has the services with IPv4 addresses by packed address, which
	// is faster to hash; byAddress has all services.
	byIPv4Address map[uint64]*serviceState
	byAddress     map[serviceAddress]*serviceState
	byID          map[service.ID]*serviceState
	// sorted has the services in ascending order of their IDs.
	sorted      []*serviceState
	quarantined map[serviceAddress]struct{}
}

// packIPv4 packs an IPv4 address, port and protocol into one word.
func packIPv4(a netip.AddrPort, protocol service.Protocol) uint64 {
	ip := a.Addr().As4()
	return uint64(binary.BigEndian.Uint32(ip[:]))<<32 | uint64(a.Port())<<16 | uint64(protocol)
}

// add adds a service to the view.
func (v *serviceView) add(svc *serviceState) {
	a := svc.configured.Address
	v.byID[svc.id] = svc
	v.byAddress[serviceAddress{a, svc.configured.Protocol}] = svc
	v.sorted = append(v.sorted, svc)
	if a.Addr().Is4() {
		v.byIPv4Address[packIPv4(a, svc.configured.Protocol)] = svc
	}
}

// find returns the service at the flow's destination.
func (v *serviceView) find(k *Key) *serviceState {
	if k.Destination.Addr().Is4() {
		return v.byIPv4Address[packIPv4(k.Destination, k.Protocol)]
	}
	return v.byAddress[serviceAddress{k.Destination, k.Protocol}]
}
