package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// Flags and sizes of packets.
const (
	flagSYN  = 1
	flagACK  = 16
	flagFIN  = 8
	flagRST  = 128
	headSize = 32
	maxData  = 1200
	idSize   = 8
)

// segment is a decoded packet.
type segment struct {
	src, dst       netip.AddrPort
	echo, seq, ack uint32
	flags          byte
	data           []byte
}

func (s *segment) has(flag byte) bool { return s.flags&flag != 0 }

// encode appends the packet to buffer.
func (s *segment) encode(buffer []byte) []byte {
	start := len(buffer)
	buffer = append(buffer, make([]byte, headSize)...)
	buffer = append(buffer, s.data...)
	p := buffer[start:]
	binary.BigEndian.PutUint32(p[8:], s.seq)
	binary.BigEndian.PutUint32(p[12:], s.ack)
	p[16] = s.flags
	binary.BigEndian.PutUint16(p[18:], s.src.Port())
	dst, src := s.dst.Addr().As4(), s.src.Addr().As4()
	copy(p[20:], dst[:])
	copy(p[24:], src[:])
	binary.BigEndian.PutUint16(p[28:], s.dst.Port())
	binary.BigEndian.PutUint16(p[30:], uint16(len(s.data)))
	binary.BigEndian.PutUint32(p[4:], crc32.ChecksumIEEE(p))
	binary.BigEndian.PutUint32(p[0:], s.echo)
	return buffer
}

// decode decodes a packet. intact is set if it is as its sender wrote it.
func decode(p []byte) (s segment, intact, ok bool) {
	if len(p) < headSize || len(p) != headSize+int(binary.BigEndian.Uint16(p[30:])) {
		return segment{}, false, false
	}
	at := func(ip, port []byte) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(ip[:4])), binary.BigEndian.Uint16(port))
	}
	s = segment{
		src: at(p[24:], p[18:]), dst: at(p[20:], p[28:]), echo: binary.BigEndian.Uint32(p), seq: binary.BigEndian.Uint32(p[8:]),
		ack: binary.BigEndian.Uint32(p[12:]), flags: p[16], data: append([]byte(nil), p[headSize:]...),
	}
	plain := append([]byte(nil), p...)
	clear(plain[0:8])
	plain[17] = 0
	return s, crc32.ChecksumIEEE(plain) == binary.BigEndian.Uint32(p[4:]), true
}

// after reports whether sequence number a is after b.
func after(a, b uint32) bool { return int32(a-b) > 0 }
