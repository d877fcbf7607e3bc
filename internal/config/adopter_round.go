package config

import (
	"slices"
	"time"

	"github.com/oatlatch/oatlatch/internal/host"
)

// round is one attempt of a joining host to find the highest version that the
// platform and its peers have.
type round struct {
	// startedAt is when the host began to join.
	startedAt time.Time
	deadline  time.Time
	// running is unset between rounds.
	running  bool
	platform bool
	awaiting []host.ID
	asked    int
	best     *offer
	// empty is set when the platform answered that nothing is published.
	empty       bool
	platformErr error
}

// offer is a head that a source has.
type offer struct {
	head   Head
	data   []byte
	pages  []PageData
	source Source
}

func (a *Adopter) beginRound() {
	r := a.round
	*r = round{
		startedAt:   r.startedAt,
		deadline:    a.now.Add(roundWait),
		running:     true,
		best:        r.best,
		empty:       r.empty,
		platformErr: r.platformErr,
	}
	if r.best == nil && !a.watch.outstanding && !a.now.Before(a.watch.at) {
		a.readPlatform()
	}
	r.platform = a.watch.outstanding
	a.askRoundPeers()
}

// askRoundPeers asks some peers if the round has not asked any yet.
func (a *Adopter) askRoundPeers() {
	r := a.round
	if r == nil || !r.running || r.asked > 0 {
		return
	}
	peers := a.peers.all()
	a.rng.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, peer := range peers[:min(roundPeers, len(peers))] {
		r.asked++
		r.awaiting = append(r.awaiting, peer)
		a.do(Pull{Peer: peer})
	}
}

// roundAnswered notes that a source has answered or failed.
func (a *Adopter) roundAnswered(source Source) {
	r := a.round
	if r == nil {
		return
	}
	if source == Platform {
		r.platform = false
	} else {
		r.awaiting = slices.DeleteFunc(r.awaiting, func(id host.ID) bool { return id == source.Peer })
	}
}

// roundOffer keeps the highest offer, that of a peer before the platform's.
func (a *Adopter) roundOffer(o offer) {
	best := a.round.best
	if best == nil || o.head.Version > best.head.Version ||
		(o.head.Version == best.head.Version && best.source == Platform) {
		a.round.best = &o
	}
}

// patient reports whether the host leaves it to others to read the offer's pages
// from the platform, so that a fleet that starts at once does not overload it.
func (a *Adopter) patient(o offer) bool {
	if o.source != Platform || a.peers.rank < a.watchers {
		return false
	}
	patience := platformPatience + time.Duration(a.peers.rank)*patienceStep
	return a.now.Before(a.round.startedAt.Add(patience))
}

func (a *Adopter) roundTimer() {
	r := a.round
	if r == nil || a.candidate != nil {
		return
	}
	if !r.running {
		if !a.now.Before(r.deadline) {
			a.beginRound()
		}
		return
	}
	complete := !r.platform && len(r.awaiting) == 0 && (r.asked > 0 || !a.now.Before(r.peersFrom()))
	if !complete && a.now.Before(r.deadline) {
		return
	}
	if r.best != nil && !a.patient(*r.best) {
		a.startCandidate(*r.best)
		return
	}
	r.running = false
	r.deadline = a.now.Add(a.jitter(roundWait) / 2)
}

// peersFrom is when the round no longer waits to learn of peers.
func (r *round) peersFrom() time.Time { return r.startedAt.Add(membersWait) }

// wake returns when the round needs its timer.
func (r *round) wake(now time.Time) time.Time {
	if r.running && r.asked == 0 && now.Before(r.peersFrom()) {
		return r.peersFrom()
	}
	return r.deadline
}
