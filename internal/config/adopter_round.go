package config

import (
	"slices"
	"time"

	"github.com/oatlatch/oatlatch/internal/host"
)

// joinRound is one attempt of a joining host to find the highest version that the platform
// and its peers have. It ends when all sources have answered or at its deadline.
type joinRound struct {
	// startedAt is when the host began to join.
	startedAt time.Time
	// deadline is the end of a running round; between rounds it is the start of the next one.
	deadline time.Time
	// running is false between rounds.
	running          bool
	awaitingPlatform bool
	awaitingPeers    []host.ID
	// pulledPeers is the number of peers that this round has pulled from.
	pulledPeers int
	// best is the offer to fetch at the end of the round; nil when there is none.
	best *offer
	// platformEmpty is set when the platform answered that nothing is published.
	platformEmpty bool
	// platformErr is the error of the last platform read; nil if it succeeded.
	platformErr error
}

// offer is a head received from a source, with the pages already received for it.
type offer struct {
	head   Head
	data   []byte
	pages  []PageData
	source Source
}

// startRound starts a join round, which keeps the best offer and the result of the last platform
// read from the previous one.
func (a *Adopter) startRound() {
	r := a.round
	*r = joinRound{
		startedAt:     r.startedAt,
		deadline:      a.now.Add(roundTimeout),
		running:       true,
		best:          r.best,
		platformEmpty: r.platformEmpty,
		platformErr:   r.platformErr,
	}
	if r.best == nil && !a.watch.outstanding && !a.now.Before(a.watch.nextReadAt) {
		a.readPlatform()
	}
	r.awaitingPlatform = a.watch.outstanding
	a.pullFromRoundPeers()
}

// pullFromRoundPeers pulls from up to maxRoundPeers random peers if the running round has not
// pulled from any yet.
func (a *Adopter) pullFromRoundPeers() {
	r := a.round
	if r == nil || !r.running || r.pulledPeers > 0 {
		return
	}
	peers := a.peers.all()
	a.rng.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, peer := range peers[:min(maxRoundPeers, len(peers))] {
		r.pulledPeers++
		r.awaitingPeers = append(r.awaitingPeers, peer)
		a.emit(Pull{Peer: peer})
	}
}

// recordRoundAnswer records that the source has answered or failed, so that the round no longer
// waits for it.
func (a *Adopter) recordRoundAnswer(source Source) {
	r := a.round
	if r == nil {
		return
	}
	if source == PlatformSource {
		r.awaitingPlatform = false
	} else {
		r.awaitingPeers = slices.DeleteFunc(r.awaitingPeers, func(id host.ID) bool { return id == source.Peer })
	}
}

// recordRoundOffer keeps the offer with the highest version. Between equal versions it prefers
// a peer's to the platform's.
func (a *Adopter) recordRoundOffer(o offer) {
	best := a.round.best
	if best == nil || o.head.Version > best.head.Version ||
		(o.head.Version == best.head.Version && best.source == PlatformSource) {
		a.round.best = &o
	}
}

// shouldDelayPageRead reports whether the host should wait for a peer to have the offer's pages
// instead of reading them from the platform. Without the delay, a cluster whose hosts all start
// at the same time would overload the platform.
func (a *Adopter) shouldDelayPageRead(o offer) bool {
	if o.source != PlatformSource || a.peers.rank < a.watchers {
		return false
	}
	delay := pageReadDelay + time.Duration(a.peers.rank)*pageReadDelayStep
	return a.now.Before(a.round.startedAt.Add(delay))
}

// runRoundTimer starts the next round when it is due. It ends the running round when that is
// complete or has reached its deadline, and fetches the best offer if there is one.
func (a *Adopter) runRoundTimer() {
	r := a.round
	if r == nil || a.candidate != nil {
		return
	}
	if !r.running {
		if !a.now.Before(r.deadline) {
			a.startRound()
		}
		return
	}
	complete := !r.awaitingPlatform && len(r.awaitingPeers) == 0 && (r.pulledPeers > 0 || !a.now.Before(r.membersDeadline()))
	if !complete && a.now.Before(r.deadline) {
		return
	}
	if r.best != nil && !a.shouldDelayPageRead(*r.best) {
		a.startCandidate(*r.best)
		return
	}
	r.running = false
	r.deadline = a.now.Add(a.jitter(roundTimeout) / 2)
}

// membersDeadline returns the time after which a round no longer waits for a membership view
// with peers.
func (r *joinRound) membersDeadline() time.Time { return r.startedAt.Add(membersTimeout) }

// nextWake returns when runRoundTimer has to be called next.
func (r *joinRound) nextWake(now time.Time) time.Time {
	if r.running && r.pulledPeers == 0 && now.Before(r.membersDeadline()) {
		return r.membersDeadline()
	}
	return r.deadline
}
