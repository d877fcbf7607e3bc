package config

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/membership"
)

// Event is what an Adopter's driver reports.
type Event interface{ event() }

// TimerFired reports that the time of NextWake has come.
type TimerFired struct{}

// MembersChanged reports a new membership view.
type MembersChanged struct{ View membership.View }

// PlatformRead answers a ReadPlatform with the head as it is stored.
type PlatformRead struct {
	// Head is empty when nothing has been published.
	Head     []byte
	Revision uint64
	Index    uint64
}

// PlatformFailed answers a ReadPlatform that failed.
type PlatformFailed struct{ Err error }

// Pulled answers a Pull.
type Pulled struct {
	Peer    host.ID
	Version Version
	// Head is empty unless Version is higher than the asking host's.
	Head []byte
	// Pages are those that are newer than the asking host's version, if they are few.
	Pages []PageData
	// ConfirmedAge is how long ago the peer knew somebody to have read the platform;
	// negative when it never did.
	ConfirmedAge time.Duration
}

// PullFailed answers a Pull that failed.
type PullFailed struct {
	Peer host.ID
	Err  error
}

// Noticed reports that a peer has adopted a version.
type Noticed struct {
	Peer    host.ID
	Version Version
}

// Fetched answers a Fetch with some or all of the pages.
type Fetched struct {
	Source Source
	Pages  []PageData
}

// FetchFailed answers a Fetch that failed.
type FetchFailed struct {
	Source Source
	Err    error
}

// Confirmed answers a Confirm.
type Confirmed struct{ Version Version }

// ConfirmFailed answers a Confirm that failed.
type ConfirmFailed struct{ Err error }

// Restored answers a Restore.
type Restored struct{}

// RestoreFailed answers a Restore that failed or found the platform changed.
type RestoreFailed struct{ Err error }

func (TimerFired) event()     {}
func (MembersChanged) event() {}
func (PlatformRead) event()   {}
func (PlatformFailed) event() {}
func (Pulled) event()         {}
func (PullFailed) event()     {}
func (Noticed) event()        {}
func (Fetched) event()        {}
func (FetchFailed) event()    {}
func (Confirmed) event()      {}
func (ConfirmFailed) event()  {}
func (Restored) event()       {}
func (RestoreFailed) event()  {}
