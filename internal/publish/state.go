package publish

import (
	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/host"
)

// State is the published configuration as read from the platform.
type State struct {
	// Bundle is nil if nothing has been published.
	Bundle *config.Bundle
	// Revision is the store's revision of the head; zero if there is no head.
	Revision uint64
	// Hosts is nil if no address is in quarantine, or if the hosts could not be read.
	Hosts *Hosts
}

// Hosts lists the hosts and the versions that they have confirmed. It decides when a
// released address may be reused.
type Hosts struct {
	// Listed are the live and leaving hosts in the platform's host list.
	Listed []host.ID
	// Confirmations say which versions hosts have adopted.
	Confirmations []config.Confirmation
}

// version returns the published version; zero if nothing has been published.
func (s State) version() config.Version { return s.Bundle.Version() }

func (s State) snapshot() *config.Snapshot {
	if s.Bundle == nil {
		return nil
	}
	return s.Bundle.Snapshot
}

func (s State) entry(name string) (config.Entry, bool) {
	if s.Bundle == nil {
		return config.Entry{}, false
	}
	return s.Bundle.Snapshot.Manifest.Entry(name)
}
