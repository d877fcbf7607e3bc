package config

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/host"
)

// catchUp is the state of pulls that a notice or a failure has triggered.
type catchUp struct {
	// version is the highest version that a pull is under way for.
	version Version
	peer    host.ID
}

// pullRemoteOneIn is the share, one in this many, of pulls that go to another data centre.
const pullRemoteOneIn = 4

func (a *Adopter) pullTimer() {
	if a.now.Before(a.pullAt) {
		return
	}
	a.pullAt = a.now.Add(a.jitter(pullInterval))
	if a.bundle == nil {
		return
	}
	a.pullRandom("")
}

// pullRandom pulls from a random peer other than the given one.
func (a *Adopter) pullRandom(except host.ID) {
	from := a.peers.local
	if len(from) == 0 || (len(a.peers.remote) > 0 && a.rng.IntN(pullRemoteOneIn) == 0) {
		from = a.peers.remote
	}
	if len(from) == 0 {
		return
	}
	peer := from[a.rng.IntN(len(from))]
	if peer == except && len(from) > 1 {
		peer = from[a.rng.IntN(len(from))]
	}
	a.do(Pull{Peer: peer, Version: a.bundle.Version()})
}

func (a *Adopter) pulled(e Pulled) {
	if e.Peer == a.catchUp.peer {
		a.catchUp = catchUp{}
	}
	if e.ConfirmedAge >= 0 {
		if at := a.now.Add(-e.ConfirmedAge); at.After(a.confirmedAt) {
			a.confirmedAt = at
		}
	}
	source := Source{Peer: e.Peer}
	switch {
	case len(e.Head) > 0:
		a.offered(e.Head, source)
	case e.Version < a.bundle.Version() && e.Version > 0:
		a.do(Notify{Peer: e.Peer, Version: a.bundle.Version()})
	}
	a.roundAnswered(source)
}

func (a *Adopter) pullFailed(e PullFailed) {
	if e.Peer == a.catchUp.peer {
		a.catchUp = catchUp{}
		if a.bundle != nil {
			a.pullRandom(e.Peer)
		}
	}
	a.roundAnswered(Source{Peer: e.Peer})
}

// noticed pulls from the peer unless the version is known or being pulled already.
func (a *Adopter) noticed(e Noticed) {
	known := max(a.bundle.Version(), a.catchUp.version)
	if a.candidate != nil {
		known = max(known, a.candidate.head.Version)
	}
	if e.Version <= known {
		return
	}
	a.catchUp = catchUp{version: e.Version, peer: e.Peer}
	a.do(Pull{Peer: e.Peer, Version: a.bundle.Version()})
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
