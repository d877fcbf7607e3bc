package forward

import (
	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/flow/echo"
)

// Codec decodes and encodes the platform's packets for an EchoForwarder.
type Codec interface {
	// MaxSize returns the size of the largest packet in bytes.
	MaxSize() int
	// Headroom returns the number of bytes that SetUpstream prepends to a packet.
	Headroom() int
	// Decode parses a packet's header into s and reports whether it is well formed.
	Decode(packet []byte, s *echo.Segment) bool
	// SetUpstream writes the flow's token and the chosen upstream into the buffer. The
	// packet starts after the headroom.
	SetUpstream(buffer []byte, token echo.Token, upstream catalog.UpstreamID)
	// AppendReset appends a packet that resets the segment's flow at the caller.
	AppendReset(buffer []byte, s *echo.Segment) []byte
}
