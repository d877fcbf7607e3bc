package flow

import (
	"encoding/binary"
	"net/netip"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/service"
)

// address is what a packet's service is looked up by.
type address struct {
	netip.AddrPort
	protocol service.Protocol
}

// view is what Decide looks services up in; it is immutable.
type view struct {
	version config.Version
	key     hashKey
	// services4 has the services with IPv4 addresses by packed address, which
	// hashes faster; services has all.
	services4 map[uint64]*entry
	services  map[address]*entry
	byID      map[service.ID]*entry
	// ordered has the services in order of their IDs.
	ordered     []*entry
	quarantined map[address]struct{}
}

// pack4 returns an IPv4 address, port and protocol in one word.
func pack4(a netip.AddrPort, protocol service.Protocol) uint64 {
	ip := a.Addr().As4()
	return uint64(binary.BigEndian.Uint32(ip[:]))<<32 | uint64(a.Port())<<16 | uint64(protocol)
}

// add puts a service into the view.
func (v *view) add(en *entry) {
	a := en.configured.Address
	v.byID[en.id] = en
	v.services[address{a, en.configured.Protocol}] = en
	v.ordered = append(v.ordered, en)
	if a.Addr().Is4() {
		v.services4[pack4(a, en.configured.Protocol)] = en
	}
}

// find returns the service that the packet is for.
func (v *view) find(k *Key) *entry {
	if k.Destination.Addr().Is4() {
		return v.services4[pack4(k.Destination, k.Protocol)]
	}
	return v.services[address{k.Destination, k.Protocol}]
}
