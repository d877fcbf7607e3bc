package config

import (
	"fmt"
	"time"
)

// Status is the state of an Adopter, for operators.
type Status struct {
	Version   Version
	AdoptedAt time.Time
	// Source is the source of the adopted version: "platform" or the ID of a peer.
	Source string
	// Reason says why there is no configuration; empty when there is one.
	Reason string
	// Watching is set while this host is a watcher of the platform.
	Watching bool
	// WatchFailures is the number of consecutive failed reads of the platform.
	WatchFailures int
	// ConfirmedAge is the time since the latest known platform read by any host; negative
	// when none is known.
	ConfirmedAge time.Duration
	// Pending is the version being fetched; zero when there is none.
	Pending Version
}

// Status returns the current status.
func (a *Adopter) Status(now time.Time) Status {
	s := Status{
		Version:       a.bundle.Version(),
		AdoptedAt:     a.adoptedAt,
		Watching:      a.isWatcher(),
		WatchFailures: a.watch.failures,
		ConfirmedAge:  a.PlatformReadAge(now),
	}
	if a.bundle != nil {
		s.Source = a.source.String()
	} else {
		s.Reason = a.joiningReason()
	}
	if a.candidate != nil {
		s.Pending = a.candidate.head.Version
	}
	return s
}

// joiningReason returns why the host has no configuration yet, and the remedy if there is one.
func (a *Adopter) joiningReason() string {
	r := a.round
	switch {
	case r == nil:
		return "not started"
	case a.candidate != nil:
		return fmt.Sprintf("fetching version %d from %s", a.candidate.head.Version, a.candidate.source)
	case r.platformErr != nil:
		return fmt.Sprintf("no configuration: no peer has one and the platform cannot be read (%v): bring the platform back or start this host while a peer runs", r.platformErr)
	case r.platformEmpty:
		return "no configuration: nothing is published and no peer has one: run oatlatch publish"
	default:
		return "no configuration yet: waiting for the platform and peers"
	}
}
