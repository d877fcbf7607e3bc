package config

import "github.com/oatlatch/oatlatch/internal/host"

// Source is where a configuration comes from: a peer, or the platform if Peer is empty.
type Source struct{ Peer host.ID }

// Platform is the source that stands for the platform.
var Platform = Source{}

// String names the source for log lines.
func (s Source) String() string {
	if s == Platform {
		return "platform"
	}
	return string(s.Peer)
}

// Action is what an Adopter asks its driver to do.
type Action interface{ action() }

// ReadPlatform asks for the head: at once if Index is zero, otherwise when it
// changes after the index. At most one is outstanding.
type ReadPlatform struct{ Index uint64 }

// Pull asks a peer for its version, and for its head if that is higher than Version.
type Pull struct {
	Peer    host.ID
	Version Version
}

// Fetch asks the source for pages. At most one is outstanding.
type Fetch struct {
	Source Source
	Refs   []PageRef
}

// Notify tells a peer which version is adopted here.
type Notify struct {
	Peer    host.ID
	Version Version
}

// Confirm asks to store that this host has adopted the version.
type Confirm struct{ Version Version }

// Restore asks to write the bundle to the platform if its head still has the
// revision; zero stands for no head.
type Restore struct {
	Bundle   *Bundle
	Revision uint64
}

// Adopt reports a configuration that is in force from now on.
type Adopt struct {
	Bundle *Bundle
	Source Source
}

// Refuse reports a configuration that was not adopted.
type Refuse struct {
	Reason  RefuseReason
	Source  Source
	Version Version
	Err     error
}

// RefuseReason says why a configuration was not adopted.
type RefuseReason string

// Reasons to refuse a configuration.
const (
	// RefuseStale: the platform answered with an earlier version of the adopted one.
	RefuseStale RefuseReason = "stale"
	// RefuseAbsent: the platform holds no configuration although one is adopted.
	RefuseAbsent RefuseReason = "absent"
	// RefuseDiverged: the version is not higher than the adopted one, and the contents
	// are of another history.
	RefuseDiverged RefuseReason = "diverged"
	// RefuseInvalid: the contents are damaged or inconsistent.
	RefuseInvalid RefuseReason = "invalid"
	// RefuseFormat: the contents are of another program version.
	RefuseFormat RefuseReason = "format"
)

func (ReadPlatform) action() {}
func (Pull) action()         {}
func (Fetch) action()        {}
func (Notify) action()       {}
func (Confirm) action()      {}
func (Adopt) action()        {}
func (Refuse) action()       {}
func (Restore) action()      {}
