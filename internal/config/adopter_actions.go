package config

import "github.com/oatlatch/oatlatch/internal/host"

// Source identifies where a configuration comes from: a peer, or the platform if Peer is empty.
type Source struct{ Peer host.ID }

// PlatformSource is the Source of the platform.
var PlatformSource = Source{}

// String returns the peer's ID or "platform", for logs and status reports.
func (s Source) String() string {
	if s == PlatformSource {
		return "platform"
	}
	return string(s.Peer)
}

// Action is a request of an Adopter to its driver.
type Action interface{ action() }

// ReadPlatform asks to read the head from the platform: immediately if Index is zero, otherwise
// once the head has changed since the index. At most one is outstanding.
type ReadPlatform struct{ Index uint64 }

// Pull asks a peer for its version, and for its head if its version is higher than Version.
type Pull struct {
	Peer    host.ID
	Version Version
}

// Fetch asks the source for pages. A Fetch for a higher version may be issued before an earlier
// one is answered.
type Fetch struct {
	Source Source
	Refs   []PageRef
}

// Notify announces this host's adopted version to a peer.
type Notify struct {
	Peer    host.ID
	Version Version
}

// Confirm asks to store on the platform that this host has adopted the version.
type Confirm struct{ Version Version }

// Restore asks to write the bundle to the platform, provided that the head there still has
// Revision. Zero means that there must be no head.
type Restore struct {
	Bundle   *Bundle
	Revision uint64
}

// Adopt reports that the host now uses the configuration.
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

// RefuseReason is the reason why a configuration was not adopted.
type RefuseReason string

// Reasons to refuse a configuration.
const (
	// RefuseStale means that the platform holds a lower version than the adopted one.
	RefuseStale RefuseReason = "stale"
	// RefuseAbsent means that the platform holds no configuration although one is adopted.
	RefuseAbsent RefuseReason = "absent"
	// RefuseDiverged means that the version is not higher than the adopted one and the
	// contents come from a different publication history.
	RefuseDiverged RefuseReason = "diverged"
	// RefuseInvalid means that the contents are corrupt or inconsistent.
	RefuseInvalid RefuseReason = "invalid"
	// RefuseFormat means that the stored format is not the one that this program reads.
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
