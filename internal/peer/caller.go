// Package peer implements net/rpc calls between entry hosts over persistent TCP
// connections, with mutual TLS unless both hosts are on loopback.
package peer

import (
	"context"

	"github.com/oatlatch/oatlatch/internal/host"
)

// Caller calls methods of other entry hosts.
type Caller interface {
	// Call invokes the net/rpc method, for example "Flow.Deliver", on the host.
	// It returns an error if ctx ends, if the host is unknown or unreachable, or if
	// the method fails. args and reply must be encodable by encoding/gob.
	Call(ctx context.Context, to host.ID, method string, args, reply any) error
}
