// Package evidencerpc exchanges evidence against upstreams between the entry hosts over
// RPC. Each host calls its parent, which answers once it knows something new.
package evidencerpc

import (
	"context"
	"time"

	"github.com/oatlatch/oatlatch/internal/evidence"
)

// ServiceName is the net/rpc name of Service.
const ServiceName = "Evidence"

// ExchangeArgs are the arguments of Service.Exchange.
type ExchangeArgs struct {
	// Report is the evidence of the calling host and the hosts below it.
	Report evidence.Report
	// Version is the version of the last reply.
	Version uint64
	// Wait is the maximum time to wait for a later version.
	Wait time.Duration

	// ctx is the context of the call on the serving host; it is not sent.
	ctx context.Context
}

// SetContext implements peer.ContextArgs.
func (a *ExchangeArgs) SetContext(ctx context.Context) { a.ctx = ctx }

// ExchangeReply is the reply of Service.Exchange.
type ExchangeReply struct {
	// Total is the evidence of all hosts that the serving host knows of.
	Total evidence.Report
	// Version increases with each change of Total other than the decay of numbers.
	Version uint64
}
