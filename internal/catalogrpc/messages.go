// Package catalogrpc serves the catalog of one entry host to other entry hosts over RPC, so
// that only a few hosts read the platform's store.
package catalogrpc

import (
	"context"
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/feed"
)

// ServiceName is the net/rpc name of Service. Its number changes when hosts of earlier
// builds would not relay all that this build needs, such as evacuations: hosts then read the
// store instead of each other during an upgrade.
const ServiceName = "Catalog2"

// ListArgs are the arguments of Service.List.
type ListArgs struct{}

// ListReply is the reply of Service.List.
type ListReply struct {
	// Ready is false while the serving host has no complete catalog.
	Ready bool
	// Packed is a catalog.Page encoded by gobpack.Pack.
	Packed []byte
}

// WatchArgs are the arguments of Service.Watch.
type WatchArgs struct {
	// Have describes the state of the requesting host.
	Have catalog.Have
	// Wait is the maximum time to wait for a change if there is none yet.
	Wait time.Duration

	// ctx is the context of the call on the serving host; it is not sent.
	ctx context.Context
}

// SetContext implements peer.ContextArgs.
func (a *WatchArgs) SetContext(ctx context.Context) { a.ctx = ctx }

// WatchReply is the reply of Service.Watch.
type WatchReply struct {
	// Known is false if the serving host cannot provide all changes after Have, so
	// that the requesting host needs a listing.
	Known bool
	// Behind is true if the serving host has not seen the last restore of the store.
	Behind bool
	// Packed is a catalog.Update encoded by gobpack.Pack.
	Packed []byte
}

// ProgressArgs are the arguments of Service.Progress.
type ProgressArgs struct {
	// Own is the progress of the requesting host.
	Own catalog.Progress
	// Age is the time since the store last answered that host, directly or through others. It
	// is zero in the calls of earlier builds.
	Age time.Duration
	// Wait is the maximum time to wait for something that the requesting host lacks.
	Wait time.Duration

	// ctx is the context of the call on the serving host; it is not sent.
	ctx context.Context
}

// SetContext implements peer.ContextArgs.
func (a *ProgressArgs) SetContext(ctx context.Context) { a.ctx = ctx }

// ProgressReply is the reply of Service.Progress.
type ProgressReply struct {
	// Ready is false while the serving host has no complete catalog.
	Ready bool
	// Known is what the serving host knows.
	Known feed.PeerProgress
}
