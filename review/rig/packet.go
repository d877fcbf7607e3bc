package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

const (
	headerSize = 32
	maxData    = 1200
	// idSize is the size of the target's ID before a packet to a target.
	idSize = 8
)

// Bits of the flags field.
const (
	flagSYN = 1
	flagFIN = 8
	flagACK = 16
	flagRST = 128
)

// sumKey is the key of the sums, which only clients and targets know.
const sumKey = 0x5ca1ab1e

// packet is a datagram of a flow.
type packet struct {
	echo, sum, seq, ack uint32
	flags               byte
	src, dst            netip.AddrPort
	data                []byte
}

// encode returns the bytes of the packet, with the sum of its sender.
func (p *packet) encode() []byte {
	b := make([]byte, headerSize, headerSize+len(p.data))
	binary.BigEndian.PutUint32(b[0:], p.echo)
	binary.BigEndian.PutUint32(b[8:], p.seq)
	binary.BigEndian.PutUint32(b[12:], p.ack)
	b[16] = p.flags
	binary.BigEndian.PutUint16(b[18:], p.src.Port())
	dst, src := p.dst.Addr().As4(), p.src.Addr().As4()
	copy(b[20:], dst[:])
	copy(b[24:], src[:])
	binary.BigEndian.PutUint16(b[28:], p.dst.Port())
	binary.BigEndian.PutUint16(b[30:], uint16(len(p.data)))
	b = append(b, p.data...)
	binary.BigEndian.PutUint32(b[4:], sumOf(b))
	return b
}

// sumOf returns the keyed sum of an encoded packet: over all but echo, sum and pad.
func sumOf(b []byte) uint32 {
	var key [4]byte
	binary.BigEndian.PutUint32(key[:], sumKey)
	sum := crc32.ChecksumIEEE(key[:])
	sum = crc32.Update(sum, crc32.IEEETable, b[8:17])
	return crc32.Update(sum, crc32.IEEETable, b[18:]) | 1 // never 0
}

// decode returns the packet in the datagram, and whether its sum is right.
func decode(b []byte) (p packet, genuine, ok bool) {
	if len(b) < headerSize {
		return packet{}, false, false
	}
	n := int(binary.BigEndian.Uint16(b[30:]))
	if n > maxData || len(b) != headerSize+n {
		return packet{}, false, false
	}
	address := func(ip, port []byte) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(ip[:4])), binary.BigEndian.Uint16(port))
	}
	p = packet{
		echo: binary.BigEndian.Uint32(b[0:]), sum: binary.BigEndian.Uint32(b[4:]), seq: binary.BigEndian.Uint32(b[8:]),
		ack: binary.BigEndian.Uint32(b[12:]), flags: b[16], src: address(b[24:], b[18:]), dst: address(b[20:], b[28:]), data: b[headerSize:],
	}
	return p, p.sum == sumOf(b), true
}

// flowID identifies a flow by the ends of it.
type flowID struct {
	client, route netip.AddrPort
}
