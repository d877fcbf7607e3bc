package packet

import (
	"fmt"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"github.com/oatlatch/oatlatch/internal/flow"
	"github.com/oatlatch/oatlatch/internal/service"
)

// Encoder encapsulates IP packets in Geneve. It reuses one buffer and is not safe for
// concurrent use.
type Encoder struct {
	buffer  gopacket.SerializeBuffer
	geneve  layers.Geneve
	option  layers.GeneveOption
	options []*layers.GeneveOption
	// data is the data of the relay option.
	data [relayDataSize]byte
}

// NewEncoder returns an Encoder with a buffer for datagrams of up to MaxDatagramSize.
func NewEncoder() *Encoder {
	e := &Encoder{buffer: gopacket.NewSerializeBufferExpectedSize(geneveHeaderSize+relayOptionSize, MaxDatagramSize)}
	e.option = layers.GeneveOption{Class: relayOptionClass, Type: relayOptionType, Data: e.data[:]}
	e.options = []*layers.GeneveOption{&e.option}
	return e
}

// Encode returns a datagram that contains the inner packet, with the service ID as the
// virtual network identifier (VNI). Unless relay.Kind is NotRelayed, it also contains the
// relay option. The result is valid until the next call.
func (e *Encoder) Encode(id service.ID, relay *flow.Relay, etherType layers.EthernetType, inner []byte) ([]byte, error) {
	if err := e.buffer.Clear(); err != nil {
		return nil, fmt.Errorf("cannot clear the buffer: %w", err)
	}
	payload, err := e.buffer.AppendBytes(len(inner))
	if err != nil {
		return nil, fmt.Errorf("cannot append an inner packet of %d bytes: %w", len(inner), err)
	}
	copy(payload, inner)
	e.geneve.VNI = uint32(id)
	e.geneve.Protocol = etherType
	e.geneve.Options = nil
	e.geneve.CriticalOption = relay.Kind != flow.NotRelayed
	if relay.Kind != flow.NotRelayed {
		writeRelayData(e.data[:], relay)
		e.geneve.Options = e.options
	}
	if err := e.geneve.SerializeTo(e.buffer, gopacket.SerializeOptions{FixLengths: true}); err != nil {
		return nil, fmt.Errorf("cannot encapsulate a packet for service %d: %w", id, err)
	}
	return e.buffer.Bytes(), nil
}
