package config

import (
	"errors"
	"time"
)

// watchState is the state of the host's reads of the head from the platform.
type watchState struct {
	outstanding bool
	// index is the platform's index of the last read; zero makes the next read return at once.
	index uint64
	// failures counts the failed reads since the last successful one.
	failures int
	// nextReadAt is the earliest time of the next read.
	nextReadAt time.Time
	// takeoverUntil is the time until which the host is a watcher regardless of its rank.
	takeoverUntil time.Time
}

func (a *Adopter) readPlatform() {
	a.watch.outstanding = true
	a.emit(ReadPlatform{Index: a.watch.index})
}

// isWatcher reports whether the host watches the platform: while it joins, because of its rank, or
// for takeoverDuration after it has taken over.
func (a *Adopter) isWatcher() bool {
	return a.bundle == nil || a.peers.rank < a.watchers || a.now.Before(a.watch.takeoverUntil)
}

// watchBackoffCap returns the limit of the delay after failed platform reads.
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

// runWatchTimer makes the host a watcher when no recent platform read is known, and starts a
// watcher's next read when it is due.
func (a *Adopter) runWatchTimer() {
	if a.bundle != nil && !a.isWatcher() && !a.now.Before(a.takeoverAt()) {
		a.watch.takeoverUntil = a.now.Add(takeoverDuration)
		a.watch.index = 0
	}
	// A joining host reads the platform in its join rounds.
	if a.bundle == nil || a.watch.outstanding || !a.isWatcher() || a.now.Before(a.watch.nextReadAt) {
		return
	}
	a.readPlatform()
}

// takeoverAt returns when the host becomes a watcher unless a later platform read becomes known.
func (a *Adopter) takeoverAt() time.Time {
	return a.lastPlatformRead.Add(takeoverAfter + time.Duration(a.peers.rank)*takeoverStep)
}

// handlePlatformRead schedules the next read and processes the head that was read.
func (a *Adopter) handlePlatformRead(e PlatformRead) {
	a.watch.outstanding = false
	a.watch.failures = 0
	a.watch.nextReadAt = a.now.Add(a.jitter(minWatchInterval))
	if e.Index < a.watch.index {
		// The index of a store only decreases when the store is replaced or restored from a
		// backup, so the known index is of no use for the next watch.
		e.Index = 0
	}
	a.watch.index = e.Index
	a.lastPlatformRead = a.now
	if a.round != nil {
		a.round.platformErr = nil
		a.round.platformEmpty = len(e.Head) == 0
	}
	a.handlePlatformHead(e)
	a.recordRoundAnswer(PlatformSource)
}

// handlePlatformHead processes the head that the platform holds, or the absence of one.
func (a *Adopter) handlePlatformHead(e PlatformRead) {
	if len(e.Head) == 0 {
		if a.bundle != nil {
			a.handlePlatformBehind(Head{}, 0)
		}
		return
	}
	head, err := DecodeHead(e.Head)
	if err == nil && a.bundle != nil && head.Version < a.bundle.Version() {
		a.handlePlatformBehind(head, e.Revision)
		return
	}
	a.restore.dueAt = time.Time{}
	a.handleHead(e.Head, PlatformSource)
}

// handlePlatformReadFailed schedules the next read after a backoff.
func (a *Adopter) handlePlatformReadFailed(e PlatformReadFailed) {
	a.watch.outstanding = false
	a.watch.index = 0
	a.watch.failures++
	a.watch.nextReadAt = a.now.Add(a.backoff(a.watch.failures, a.watchBackoffCap()))
	if a.round != nil {
		a.round.platformErr = e.Err
	}
	a.recordRoundAnswer(PlatformSource)
}

// handleHead processes a head received from the source.
func (a *Adopter) handleHead(data []byte, source Source) { a.handleHeadWithPages(data, nil, source) }

// handleHeadWithPages processes a head and those of its pages that the source sent with it.
func (a *Adopter) handleHeadWithPages(data []byte, pages []PageData, source Source) {
	head, err := DecodeHead(data)
	if err != nil {
		a.reportRefusal(source, head.Version, err)
		return
	}
	switch o := (offer{head: head, data: data, pages: withMatchingHash(pages), source: source}); {
	case a.bundle == nil:
		a.handleOfferWhileJoining(o)
	case head.Version > a.bundle.Version():
		a.startCandidate(o)
	case head.Version < a.bundle.Version():
		// The source is behind. handlePulled notifies peers and handlePlatformHead handles the
		// platform.
	case ContentHash(data) != a.bundle.HeadHash:
		a.emit(Refuse{Reason: RefuseDiverged, Source: source, Version: head.Version})
	}
}

// handleOfferWhileJoining records the offer for the end of the join round, or lets it replace a
// candidate with a lower version. An offer between two rounds starts a new round, so that the
// other sources are asked again.
func (a *Adopter) handleOfferWhileJoining(o offer) {
	if a.candidate != nil {
		if o.head.Version > a.candidate.head.Version {
			a.startCandidate(o)
		}
		return
	}
	if !a.round.running {
		a.startRound()
	}
	a.recordRoundOffer(o)
}

// reportRefusal reports that the configuration was refused because of err.
func (a *Adopter) reportRefusal(source Source, version Version, err error) {
	reason := RefuseInvalid
	var format *FormatError
	if errors.As(err, &format) {
		reason = RefuseFormat
	}
	a.emit(Refuse{Reason: reason, Source: source, Version: version, Err: err})
}
