package flow

import (
	"encoding/binary"
	"fmt"
)

// Record is the upstream of a flow as sent in messages.
type Record struct {
	ID ID
	// Upstream is an index into Message.Upstreams.
	Upstream uint16
	TCP      bool
	// First is set if the sender saw the packet that opened the flow.
	First bool
	// Confirmed is set if the sender saw more than one packet of the flow.
	Confirmed bool
}

// RecordList has a compact encoding, because records are most of the control traffic.
type RecordList []Record

const (
	recordSize = 10
	// The flags share two bytes with the upstream, which is less than MaxUpstreams.
	flagTCP       = 1 << 15
	flagFirst     = 1 << 14
	flagConfirmed = 1 << 13
	upstreamMask  = flagConfirmed - 1
)

// GobEncode implements gob.GobEncoder.
func (l RecordList) GobEncode() ([]byte, error) {
	b := make([]byte, 0, len(l)*recordSize)
	for _, r := range l {
		b = binary.LittleEndian.AppendUint64(b, uint64(r.ID))
		b = binary.LittleEndian.AppendUint16(b, r.pack())
	}
	return b, nil
}

// pack returns the upstream and the flags in two bytes.
func (r *Record) pack() uint16 {
	packed := r.Upstream & upstreamMask
	if r.TCP {
		packed |= flagTCP
	}
	if r.First {
		packed |= flagFirst
	}
	if r.Confirmed {
		packed |= flagConfirmed
	}
	return packed
}

// GobDecode implements gob.GobDecoder.
func (l *RecordList) GobDecode(b []byte) error {
	if len(b)%recordSize != 0 || len(b) > MaxRecords*recordSize {
		return fmt.Errorf("record list of %d bytes: want at most %d records of %d bytes from a host of the same release", len(b), MaxRecords, recordSize)
	}
	*l = make(RecordList, 0, len(b)/recordSize)
	for ; len(b) > 0; b = b[recordSize:] {
		packed := binary.LittleEndian.Uint16(b[8:])
		*l = append(*l, Record{
			ID:        ID(binary.LittleEndian.Uint64(b)),
			Upstream:  packed & upstreamMask,
			TCP:       packed&flagTCP != 0,
			First:     packed&flagFirst != 0,
			Confirmed: packed&flagConfirmed != 0,
		})
	}
	return nil
}
