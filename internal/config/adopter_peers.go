package config

import (
	"slices"
	"time"

	"github.com/oatlatch/oatlatch/internal/host"
)

const (
	// pullRemoteOneIn is the share, one in this many, of pulls that go to another data centre.
	pullRemoteOneIn = 4
	// maxPullRetries bounds how often a failed pull is repeated with another peer.
	maxPullRetries = 3
	// maxNoticers bounds the peers that are remembered for having a higher version.
	maxNoticers = 8
)

// pulling is the state of the pulls of a host that has a configuration. A routine
// pull and one that follows a notice may be outstanding at the same time.
type pulling struct {
	// at is the time of the next routine pull.
	at time.Time
	// routine is the peer of the outstanding routine pull; empty when there is none.
	routine host.ID
	retries int
	// noticed is the peer of the outstanding pull that follows a notice.
	noticed host.ID
	// noticers are other peers that gave notice of a higher version, and the
	// version that each gave.
	noticers []Noticed
}

func (a *Adopter) pullTimer() {
	if a.now.Before(a.pulls.at) {
		return
	}
	a.pulls.at = a.now.Add(a.jitter(pullInterval))
	if a.bundle == nil || a.pulls.routine != "" {
		return
	}
	a.pulls.retries = 0
	a.pullRandom("")
}

// pullRandom makes a routine pull from a random peer other than the given one.
func (a *Adopter) pullRandom(except host.ID) {
	from := a.peers.local
	if len(from) == 0 || (len(a.peers.remote) > 0 && a.rng.IntN(pullRemoteOneIn) == 0) {
		from = a.peers.remote
	}
	if len(from) == 0 {
		return
	}
	peer := from[a.rng.IntN(len(from))]
	if peer == except {
		peer = from[a.rng.IntN(len(from))]
	}
	a.pulls.routine = peer
	a.do(Pull{Peer: peer, Version: a.bundle.Version()})
}

func (a *Adopter) pulled(e Pulled) {
	a.pullEnded(e.Peer)
	if e.ConfirmedAge >= 0 {
		if at := a.now.Add(-e.ConfirmedAge); at.After(a.confirmedAt) {
			a.confirmedAt = at
		}
	}
	source := Source{Peer: e.Peer}
	switch {
	case len(e.Head) > 0:
		a.offeredWithPages(e.Head, e.Pages, source)
	case e.Version < a.bundle.Version() && e.Version > 0:
		a.do(Notify{Peer: e.Peer, Version: a.bundle.Version()})
	}
	a.roundAnswered(source)
	a.pullNoticed()
}

func (a *Adopter) pullFailed(e PullFailed) {
	routine := e.Peer == a.pulls.routine
	a.pullEnded(e.Peer)
	a.pullNoticed()
	if routine && a.bundle != nil && a.pulls.retries < maxPullRetries {
		a.pulls.retries++
		a.pullRandom(e.Peer)
	}
	a.roundAnswered(Source{Peer: e.Peer})
}

func (a *Adopter) pullEnded(peer host.ID) {
	if peer == a.pulls.routine {
		a.pulls.routine = ""
	}
	if peer == a.pulls.noticed {
		a.pulls.noticed = ""
	}
}

// noticed remembers that the peer has a higher version and pulls it.
func (a *Adopter) noticed(e Noticed) {
	if e.Version <= a.bundle.Version() || len(a.pulls.noticers) == maxNoticers {
		return
	}
	a.pulls.noticers = append(a.pulls.noticers, e)
	a.pullNoticed()
}

// pullNoticed pulls from the next peer that gave notice of a version that is still
// higher than what this host has or is fetching.
func (a *Adopter) pullNoticed() {
	known := a.bundle.Version()
	if a.candidate != nil {
		known = max(known, a.candidate.head.Version)
	}
	p := &a.pulls
	p.noticers = slices.DeleteFunc(p.noticers, func(n Noticed) bool { return n.Version <= a.bundle.Version() })
	if p.noticed != "" {
		return
	}
	for i, n := range p.noticers {
		if n.Version > known {
			p.noticers = slices.Delete(p.noticers, i, i+1)
			p.noticed = n.Peer
			a.do(Pull{Peer: n.Peer, Version: a.bundle.Version()})
			return
		}
	}
}

// notifyPeers tells the peer set of the adopted version.
func (a *Adopter) notifyPeers(source Source) {
	for _, peer := range a.peers.all() {
		if peer != source.Peer {
			a.do(Notify{Peer: peer, Version: a.bundle.Version()})
		}
	}
}

// ConfirmedAge returns how long ago somebody was known to have read the platform;
// negative when that is not known.
func (a *Adopter) ConfirmedAge(now time.Time) time.Duration {
	if a.confirmedAt.IsZero() {
		return -1
	}
	return max(0, now.Sub(a.confirmedAt))
}
