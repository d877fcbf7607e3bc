package packet

import (
	"fmt"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"github.com/oatlatch/oatlatch/internal/flow"
	"github.com/oatlatch/oatlatch/internal/service"
)

// Encoder encapsulates packets in one buffer that it reuses. It is not safe
// for concurrent use.
type Encoder struct {
	buffer  gopacket.SerializeBuffer
	geneve  layers.Geneve
	option  layers.GeneveOption
	options []*layers.GeneveOption
	data    [relayDataSize]byte
}

// NewEncoder returns an encoder.
func NewEncoder() *Encoder {
	e := &Encoder{buffer: gopacket.NewSerializeBufferExpectedSize(geneveHeaderSize+relayOptionSize, MaxSize)}
	e.option = layers.GeneveOption{Class: relayClass, Type: relayType, Data: e.data[:]}
	e.options = []*layers.GeneveOption{&e.option}
	return e
}

// Encode returns the datagram that carries the inner packet under the service
// and, unless relay.Kind is NotRelayed, the relay option. The result is valid
// until the next call.
func (e *Encoder) Encode(id service.ID, relay *flow.Relay, ether layers.EthernetType, inner []byte) ([]byte, error) {
	if err := e.buffer.Clear(); err != nil {
		return nil, fmt.Errorf("clear buffer: %w", err)
	}
	payload, err := e.buffer.AppendBytes(len(inner))
	if err != nil {
		return nil, fmt.Errorf("append %d bytes: %w", len(inner), err)
	}
	copy(payload, inner)
	e.geneve.VNI = uint32(id)
	e.geneve.Protocol = ether
	e.geneve.Options = nil
	e.geneve.CriticalOption = relay.Kind != flow.NotRelayed
	if relay.Kind != flow.NotRelayed {
		putRelay(e.data[:], relay)
		e.geneve.Options = e.options
	}
	if err := e.geneve.SerializeTo(e.buffer, gopacket.SerializeOptions{FixLengths: true}); err != nil {
		return nil, fmt.Errorf("encapsulate for service %d: %w", id, err)
	}
	return e.buffer.Bytes(), nil
}
