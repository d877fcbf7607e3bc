package config

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/membership"
)

// Event is an input that the driver passes to an Adopter.
type Event interface{ event() }

// TimerFired reports that the time returned by NextWake has been reached.
type TimerFired struct{}

// MembersChanged reports a new membership view.
type MembersChanged struct{ View membership.View }

// PlatformRead answers a ReadPlatform with the head as it is stored.
type PlatformRead struct {
	// Head is empty when nothing is published.
	Head []byte
	// Revision is the revision of the head for a conditional write; zero when there is none.
	Revision uint64
	// Index is the position from which the next ReadPlatform waits for a change.
	Index uint64
}

// PlatformReadFailed answers a ReadPlatform that failed.
type PlatformReadFailed struct{ Err error }

// Pulled answers a Pull.
type Pulled struct {
	Peer    host.ID
	Version Version
	// Head is empty unless Version is higher than the Version of the Pull.
	Head []byte
	// Pages are the pages written after the Version of the Pull, unless they exceed the
	// size limit of the answer.
	Pages []PageData
	// PlatformReadAge is the time since the latest platform read by any host that the peer
	// knows of; negative when it knows of none.
	PlatformReadAge time.Duration
}

// PullFailed answers a Pull that failed.
type PullFailed struct {
	Peer host.ID
	Err  error
}

// PeerNotified reports that a peer has announced its adopted version.
type PeerNotified struct {
	Peer    host.ID
	Version Version
}

// Fetched answers a Fetch with some or all of the requested pages.
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

// RestoreFailed answers a Restore that failed or found another revision of the head.
type RestoreFailed struct{ Err error }

func (TimerFired) event()         {}
func (MembersChanged) event()     {}
func (PlatformRead) event()       {}
func (PlatformReadFailed) event() {}
func (Pulled) event()             {}
func (PullFailed) event()         {}
func (PeerNotified) event()       {}
func (Fetched) event()            {}
func (FetchFailed) event()        {}
func (Confirmed) event()          {}
func (ConfirmFailed) event()      {}
func (Restored) event()           {}
func (RestoreFailed) event()      {}
