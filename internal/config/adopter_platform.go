package config

import (
	"errors"
	"time"
)

// watch is the state of the host's reads of the platform.
type watch struct {
	outstanding bool
	index       uint64
	failures    int
	// at is the earliest time of the next read.
	at time.Time
	// takeover ends the duty that the host took on out of turn.
	takeover time.Time
}

func (a *Adopter) readPlatform() {
	a.watch.outstanding = true
	a.do(ReadPlatform{Index: a.watch.index})
}

// watches reports whether the host has the duty to watch the platform.
func (a *Adopter) watches() bool {
	return a.bundle == nil || a.peers.rank < a.watchers || a.now.Before(a.watch.takeover)
}

func (a *Adopter) watchBackoffCap() time.Duration {
	switch {
	case a.bundle == nil:
		return joiningBackoffCap
	case a.peers.rank < a.watchers:
		return watcherBackoffCap
	default:
		return backoffCap
	}
}

func (a *Adopter) watchTimer() {
	if a.bundle != nil && !a.watches() && !a.now.Before(a.takeoverAt()) {
		a.watch.takeover = a.now.Add(takeoverTerm)
		a.watch.index = 0
	}
	// A joining host reads the platform in its rounds.
	if a.bundle == nil || a.watch.outstanding || !a.watches() || a.now.Before(a.watch.at) {
		return
	}
	a.readPlatform()
}

// takeoverAt is when the host takes on the duty unless a platform read becomes known.
func (a *Adopter) takeoverAt() time.Time {
	return a.confirmedAt.Add(takeoverAfter + time.Duration(a.peers.rank)*takeoverStep)
}

func (a *Adopter) platformRead(e PlatformRead) {
	a.watch.outstanding = false
	a.watch.failures = 0
	a.watch.at = a.now.Add(a.jitter(minWatchInterval))
	if e.Index < a.watch.index {
		// The store was replaced or restored: its indices start anew.
		e.Index = 0
	}
	a.watch.index = e.Index
	a.confirmedAt = a.now
	if a.round != nil {
		a.round.platformErr = nil
		a.round.empty = len(e.Head) == 0
	}
	a.readFromPlatform(e)
	a.roundAnswered(Platform)
}

// readFromPlatform decides about the head that the platform holds.
func (a *Adopter) readFromPlatform(e PlatformRead) {
	if len(e.Head) == 0 {
		if a.bundle != nil {
			a.platformBehind(Head{}, 0)
		}
		return
	}
	head, err := DecodeHead(e.Head)
	if err == nil && a.bundle != nil && head.Version < a.bundle.Version() {
		a.platformBehind(head, e.Revision)
		return
	}
	a.restore.at = time.Time{}
	a.offered(e.Head, Platform)
}

func (a *Adopter) platformFailed(e PlatformFailed) {
	a.watch.outstanding = false
	a.watch.index = 0
	a.watch.failures++
	a.watch.at = a.now.Add(a.backoff(a.watch.failures, a.watchBackoffCap()))
	if a.round != nil {
		a.round.platformErr = e.Err
	}
	a.roundAnswered(Platform)
}

// offered decides about a head that a source has.
func (a *Adopter) offered(data []byte, source Source) { a.offeredWithPages(data, nil, source) }

// offeredWithPages decides about a head and those of its pages that came along.
func (a *Adopter) offeredWithPages(data []byte, pages []PageData, source Source) {
	head, err := DecodeHead(data)
	if err != nil {
		a.refuse(source, head.Version, err)
		return
	}
	switch o := (offer{head: head, data: data, pages: genuine(pages), source: source}); {
	case a.bundle == nil:
		a.offeredWhileJoining(o)
	case head.Version > a.bundle.Version():
		a.startCandidate(o)
	case head.Version < a.bundle.Version():
		// A peer that is behind is told so by a notice.
	case HashOf(data) != a.bundle.HeadHash:
		a.do(Refuse{Reason: RefuseDiverged, Source: source, Version: head.Version})
	}
}

// offeredWhileJoining keeps the offer for the end of the round. An offer that
// comes between rounds opens a new one, so that the others are asked again.
func (a *Adopter) offeredWhileJoining(o offer) {
	if a.candidate != nil {
		if o.head.Version > a.candidate.head.Version {
			a.startCandidate(o)
		}
		return
	}
	if !a.round.running {
		a.beginRound()
	}
	a.roundOffer(o)
}

func (a *Adopter) refuse(source Source, version Version, err error) {
	reason := RefuseInvalid
	var format *FormatError
	if errors.As(err, &format) {
		reason = RefuseFormat
	}
	a.do(Refuse{Reason: reason, Source: source, Version: version, Err: err})
}
