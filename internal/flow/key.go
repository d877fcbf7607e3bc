package flow

import (
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/dchest/siphash"

	"github.com/oatlatch/oatlatch/internal/service"
)

// Key identifies a flow by protocol, source and destination.
type Key struct {
	Protocol    service.Protocol
	Source      netip.AddrPort
	Destination netip.AddrPort
}

// String returns the key as protocol, source and destination.
func (k Key) String() string {
	protocol := "udp"
	if k.Protocol == service.TCP {
		protocol = "tcp"
	}
	return fmt.Sprintf("%s %s -> %s", protocol, k.Source, k.Destination)
}

// ID is the keyed hash of a flow's key and service. Its low bits select the slot.
type ID uint64

// hashKey is the SipHash key of a configuration.
type hashKey struct {
	k0, k1 uint64
}

func newHashKey(key [16]byte) hashKey {
	return hashKey{binary.LittleEndian.Uint64(key[:8]), binary.LittleEndian.Uint64(key[8:])}
}

// sum returns the ID of the flow under the service.
func (h hashKey) sum(k *Key, id service.ID) ID {
	var b [41]byte
	source, destination := k.Source.Addr().As16(), k.Destination.Addr().As16()
	copy(b[0:16], source[:])
	copy(b[16:32], destination[:])
	binary.LittleEndian.PutUint16(b[32:], k.Source.Port())
	binary.LittleEndian.PutUint16(b[34:], k.Destination.Port())
	binary.LittleEndian.PutUint32(b[36:], uint32(id))
	b[40] = byte(k.Protocol)
	return ID(siphash.Hash(h.k0, h.k1, b[:]))
}
