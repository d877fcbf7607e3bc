package publish

import (
	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/host"
)

// State is the published configuration as read from the platform.
type State struct {
	// Bundle is nil when nothing has been published.
	Bundle *config.Bundle
	// Revision is the store's revision of the head; zero when it is absent.
	Revision uint64
	// Hosts is nil unless addresses are in quarantine.
	Hosts *Hosts
}

// Hosts is what is known of the hosts' adoption of released addresses.
type Hosts struct {
	// Listed are the hosts of the platform's list, live and leaving.
	Listed []host.ID
	// Confirmed are the versions that hosts have confirmed.
	Confirmed []config.Confirmation
}

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
