package flow

import (
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/dchest/siphash"

	"github.com/oatlatch/oatlatch/internal/service"
)

// Key identifies a flow.
type Key struct {
	Protocol    service.Protocol
	Source      netip.AddrPort
	Destination netip.AddrPort
}

// String returns the protocol, source and destination.
func (k Key) String() string {
	protocol := "udp"
	if k.Protocol == service.TCP {
		protocol = "tcp"
	}
	return fmt.Sprintf("%s %s -> %s", protocol, k.Source, k.Destination)
}

// ID is the keyed hash of a flow's key and service. Its low bits select the slot.
type ID uint64

// hashKey is the SipHash key that a configuration sets.
type hashKey struct {
	k0, k1 uint64
}

func newHashKey(key [16]byte) hashKey {
	return hashKey{binary.LittleEndian.Uint64(key[:8]), binary.LittleEndian.Uint64(key[8:])}
}

const (
	// ipv4InputSize and ipv6InputSize are the sizes in bytes of the hash inputs of
	// IPv4 and IPv6 flows.
	ipv4InputSize = 16
	ipv6InputSize = 40
	// protocolShift places the protocol above the 24 bits of the service ID.
	protocolShift = 24
)

// sum returns the ID of the service's flow with the key.
func (h hashKey) sum(k *Key, id service.ID) ID {
	tag := uint32(id) | uint32(k.Protocol)<<protocolShift
	ports := uint32(k.Source.Port()) | uint32(k.Destination.Port())<<16
	if k.Source.Addr().Is4() && k.Destination.Addr().Is4() {
		var b [ipv4InputSize]byte
		source, destination := k.Source.Addr().As4(), k.Destination.Addr().As4()
		copy(b[0:4], source[:])
		copy(b[4:8], destination[:])
		binary.LittleEndian.PutUint32(b[8:], ports)
		binary.LittleEndian.PutUint32(b[12:], tag)
		return ID(siphash.Hash(h.k0, h.k1, b[:]))
	}
	var b [ipv6InputSize]byte
	source, destination := k.Source.Addr().As16(), k.Destination.Addr().As16()
	copy(b[0:16], source[:])
	copy(b[16:32], destination[:])
	binary.LittleEndian.PutUint32(b[32:], ports)
	binary.LittleEndian.PutUint32(b[36:], tag)
	return ID(siphash.Hash(h.k0, h.k1, b[:]))
}
