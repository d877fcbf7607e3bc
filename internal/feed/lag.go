package feed

import (
	"context"
	"errors"
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

const (
	// partnerGrace is how long this host's own source has to deliver what a partner knows.
	// Usually it does so within milliseconds, and the partner need not be read.
	partnerGrace = 100 * time.Millisecond
	// tellDelay is how long after a change of the view the partners are told of it. Usually
	// they learn of it themselves within milliseconds, which ends the calls that they hold.
	tellDelay = 50 * time.Millisecond
	// partnerReadTimeout is the time limit for reading a partner that knows more.
	partnerReadTimeout = 500 * time.Millisecond
	// partnerReadGap is how long the other slots wait after one has begun to read its
	// partner, before they read theirs for the same changes.
	partnerReadGap = 100 * time.Millisecond
	// fruitlessGap is how long a slot waits after a read that did not bring what the partner
	// knows, so that a partner whose answers cannot be merged is not read in a loop.
	fruitlessGap = time.Second
	// lagLogInterval is the minimum time between two log lines about sources that are behind.
	lagLogInterval = time.Second
)

// lagState tells how far this host is behind.
type lagState struct {
	// heard is the progress of a partner that knew more, and since is when this host heard
	// of it; zero if it never did.
	heard catalog.Progress
	since time.Time
	// answeredAt is when a source or partner last answered this host.
	answeredAt time.Time
	// calls are the calls that partners hold, by slot.
	calls [PartnerSlots]partnerCall
	// failedAt is when the last call to a source or partner failed; zero if none has.
	failedAt time.Time
	// telling is set while tellPartners is due.
	telling bool
	// readAt is when the last read of a partner began.
	readAt time.Time
	// loggedAt is when a source that is behind was last logged, and unlogged is the number
	// of those found since.
	loggedAt time.Time
	unlogged int
}

// partnerCall is a call that a partner holds.
type partnerCall struct {
	// own is the progress of this host that the call tells, and cancel ends the call; nil if
	// there is none.
	own    PeerProgress
	cancel context.CancelFunc
	// until is when the partner is to answer, and long is set if that is longer than
	// partnerWait after the beginning.
	until time.Time
	long  bool
	// told is set if the call was ended to tell the partner more, or to ask it at once whether
	// it is alive.
	told bool
}

// RunPartner asks the partners of a slot from 0 to PartnerSlots-1 what they know, and reads
// those that know more than this host, until ctx ends. So a host learns of a change although
// its own source is silent or behind. It always returns nil.
func (f *Feed) RunPartner(ctx context.Context, slot int) error {
	for {
		delay := f.askPartner(ctx, slot)
		if f.options.Clock.Sleep(ctx, delay) != nil {
			return nil
		}
	}
}

// askPartner asks the next partner of the slot and returns the delay before the next call.
func (f *Feed) askPartner(ctx context.Context, slot int) time.Duration {
	now := f.options.Clock.Now()
	target, call := f.nextPartner(now, slot)
	if target == nil {
		return idleGap
	}
	source := f.options.Peer(*target)
	if source == nil {
		f.endCall(slot)
		return idleGap
	}
	wait := call.until.Sub(now)
	callCtx, cancel := f.options.Clock.WithTimeout(ctx, wait+partnerSlack)
	call.cancel = cancel
	f.beginCall(slot, call)
	known, err := source.Progress(callCtx, call.own, wait)
	cancel()
	told := f.endCall(slot)
	if ctx.Err() != nil || told && err != nil {
		return 0
	}
	if err == nil {
		f.noteAnswer()
	}
	switch {
	case err == nil && known.Isolated:
		err = ErrIsolated
	case err == nil && f.isStale(known.Age):
		err = ErrStale
	}
	f.options.Metrics.observePartnerCall(err)
	if err != nil {
		return f.partnerFailed(slot, target)
	}
	if !f.hear(slot, known) {
		return partnerGap - f.options.Clock.Now().Sub(now)
	}
	if f.options.Clock.Sleep(ctx, partnerGrace) != nil || !f.beginPartnerRead(known.Progress) {
		return partnerGap - f.options.Clock.Now().Sub(now)
	}
	if err := f.readPartner(ctx, source, target.Name); err != nil && !isMergeError(err) {
		return f.partnerFailed(slot, target)
	}
	if f.lacks(known.Progress) {
		return fruitlessGap
	}
	return 0
}

// partnerFailed records that the partner did not answer the slot. It returns the delay before
// the next call.
func (f *Feed) partnerFailed(slot int, target *catalog.Host) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock.Now()
	f.noteFailureLocked(now)
	return f.partners.recordFailure(now, slot, target)
}

// beginCall records the call that the partner of the slot holds.
func (f *Feed) beginCall(slot int, call partnerCall) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lag.calls[slot] = call
}

// endCall records that the call of the slot has ended. It reports whether it was ended to
// tell the partner more.
func (f *Feed) endCall(slot int) (told bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	told = f.lag.calls[slot].told
	f.lag.calls[slot] = partnerCall{}
	return told
}

// tellPartnersSoonLocked calls tellPartners after tellDelay. f.mu must be held.
func (f *Feed) tellPartnersSoonLocked() {
	if !f.lag.telling {
		f.lag.telling = true
		f.background.after(tellDelay, f.tellPartners)
	}
}

// tellPartners ends the calls that tell of less than this host knows by now. Their slots call
// again at once. A partner that has not answered by now does not know it either.
func (f *Feed) tellPartners(context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lag.telling = false
	known := f.catalog.Progress()
	for i := range f.lag.calls {
		if call := &f.lag.calls[i]; call.cancel != nil && call.own.Lacks(known) {
			call.told = true
			call.cancel()
		}
	}
}

// NotePartner records the progress of a host that asks this one. If that host knows more, it
// is read. Hosts of earlier builds do not tell their age, which is then zero.
func (f *Feed) NotePartner(name string, known PeerProgress) {
	f.mu.Lock()
	defer f.mu.Unlock()
	partner := f.selector.peer(name)
	if partner == nil || !f.catalog.Complete() {
		return
	}
	if !f.hearLocked(known.Progress) {
		if known.Age > 0 {
			f.noteContactLocked(known)
		}
		return
	}
	target := *partner
	f.background.after(partnerGrace, func(ctx context.Context) {
		if source := f.options.Peer(target); source != nil && f.beginPartnerRead(known.Progress) {
			_ = f.readPartner(ctx, source, target.Name) // it has logged the error
		}
	})
}

// noteAnswer records that another host has answered this one.
func (f *Feed) noteAnswer() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lag.answeredAt = f.options.Clock.Now()
}

// isStale reports whether the store answered a partner too long ago while it answered this
// host lately. While it answers nobody, partners are as good as before.
func (f *Feed) isStale(age time.Duration) bool {
	threshold := f.currentTiming().OutageThreshold()
	return age > threshold && f.Age() <= threshold
}

// nextPartner returns the partner that the slot asks next, or nil if there is none, and the
// call to it, which the slot then begins. A host without a complete catalog asks none: its
// source gives it all there is.
func (f *Feed) nextPartner(now time.Time, slot int) (*catalog.Host, partnerCall) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.catalog.Complete() {
		return nil, partnerCall{}
	}
	target, wait := f.partners.next(now, slot)
	if target == nil {
		return nil, partnerCall{}
	}
	if wait > 0 {
		wait = f.holdLocked(now, slot)
	}
	partner, call := *target, partnerCall{own: f.progressLocked(now), until: now.Add(wait), long: wait > partnerWait}
	f.lag.calls[slot] = call // so that other slots that begin at the same time end at another
	return &partner, call
}

// hear records the progress of the partner that the slot has asked. It reports whether the
// partner knows more than this host.
func (f *Feed) hear(slot int, known PeerProgress) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partners.recordAnswer(slot)
	lacks := f.hearLocked(known.Progress)
	if !lacks {
		f.noteContactLocked(known)
	}
	return lacks
}

// noteContactLocked records when the store last answered a host that knows nothing more than
// this one. f.mu must be held.
func (f *Feed) noteContactLocked(known PeerProgress) {
	if known.Position.Epoch == f.catalog.Position().Epoch {
		f.catalog.NoteContact(f.options.Clock.Now(), known.Age)
	}
}

// hearLocked records the progress of another host. It reports whether that knows more than
// this one. f.mu must be held.
func (f *Feed) hearLocked(known catalog.Progress) bool {
	own := f.catalog.Progress()
	if !own.Lacks(known) {
		return false
	}
	if !own.Lacks(f.lag.heard) {
		f.lag.heard, f.lag.since = known, f.options.Clock.Now()
	}
	return true
}

// lacks reports whether this host lacks something that one with the progress knows.
func (f *Feed) lacks(known catalog.Progress) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.catalog.Progress().Lacks(known)
}

// beginPartnerRead reports whether the partner with the progress has to be read now: this
// host still lacks what it knows, and no other slot has just begun to read its partner.
func (f *Feed) beginPartnerRead(known catalog.Progress) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock.Now()
	if !f.catalog.Progress().Lacks(known) || now.Sub(f.lag.readAt) < partnerReadGap {
		return false
	}
	f.lag.readAt, f.lag.failedAt = now, now
	return true
}

// readPartner merges what the partner knows and logs that the source is behind.
func (f *Feed) readPartner(ctx context.Context, source Source, name string) error {
	before := f.have()
	readCtx, cancel := f.options.Clock.WithTimeout(ctx, partnerReadTimeout)
	err := f.readHost(readCtx, source)
	cancel()
	if ctx.Err() != nil {
		return nil
	}
	f.options.Metrics.observePartnerRead(err)
	f.publishView(name)
	f.logBehind(name, before, err)
	return err
}

// isMergeError reports whether a host answered, but what it knows was not merged.
func isMergeError(err error) bool {
	return errors.Is(err, ErrCompacted) || errors.Is(err, ErrBehind) || errors.Is(err, errListing)
}

// logBehind logs that this host's source is behind the partner, at most once in each
// lagLogInterval.
func (f *Feed) logBehind(partner string, before catalog.Have, err error) {
	f.mu.Lock()
	source, now := f.via, f.options.Clock.Now()
	if source == "" {
		source = storeName
	}
	behind, have := now.Sub(f.lag.since), f.catalog.Have()
	f.lag.unlogged++
	count := f.lag.unlogged
	log := now.Sub(f.lag.loggedAt) >= lagLogInterval
	if log {
		f.lag.loggedAt, f.lag.unlogged = now, 0
	}
	f.mu.Unlock()
	if log {
		f.options.Logger.Info().Str("source", source).Str("partner", partner).Dur("behind_ms", behind).Int("count", count).
			Uint64("epoch", have.Position.Epoch).Uint64("position", have.Position.Revision).Uint64("position_before", before.Position.Revision).
			Uint64("version", have.Version).Uint64("version_before", before.Version).Err(err).Msg("source_behind")
	}
}

// Behind returns for how long this host has known that it lacks what another host knows, or
// zero if it lacks nothing that it has heard of.
func (f *Feed) Behind() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lag.since.IsZero() || !f.catalog.Progress().Lacks(f.lag.heard) {
		return 0
	}
	return f.options.Clock.Now().Sub(f.lag.since)
}

// Progress returns what this host knows, the time since the store last answered, and a
// channel that is closed at the next change of the view. It returns false while the catalog
// is incomplete.
func (f *Feed) Progress() (known PeerProgress, changed <-chan struct{}, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.progressLocked(f.options.Clock.Now()), f.changed, f.catalog.Complete()
}

// progressLocked returns what this host knows. f.mu must be held.
func (f *Feed) progressLocked(now time.Time) PeerProgress {
	return PeerProgress{Progress: f.catalog.Progress(), Age: now.Sub(f.catalog.LastContact()), Isolated: f.isolatedLocked()}
}

// isolatedLocked reports whether neither sources nor partners have answered this host lately.
// f.mu must be held.
func (f *Feed) isolatedLocked() bool {
	return f.partners.failing() && f.options.Clock.Now().Sub(f.lag.answeredAt) > partnerWait+2*partnerSlack
}
