package config

import (
	"slices"
	"time"

	"github.com/oatlatch/oatlatch/internal/host"
)

const (
	// remotePullRatio makes, on average, one in this many periodic pulls go to another data
	// centre.
	remotePullRatio = 4
	// maxPullRetries is the maximum number of retries of a failed periodic pull, each with a
	// randomly chosen peer.
	maxPullRetries = 3
	// maxNotifications is the maximum number of pending notifications.
	maxNotifications = 8
)

// pullState is the state of the pulls of a host that has a configuration. A periodic pull
// and a pull in response to a notification may be outstanding at the same time.
type pullState struct {
	// nextAt is the time of the next periodic pull.
	nextAt time.Time
	// periodicPeer is the peer of the outstanding periodic pull; empty when there is none.
	periodicPeer    host.ID
	periodicRetries int
	// notifier is the peer of the outstanding pull in response to its notification; empty
	// when there is none.
	notifier host.ID
	// notifications are the notifications of higher versions that have not led to a pull yet.
	notifications []PeerNotified
}

// runPullTimer starts a periodic pull when it is due, unless one is outstanding.
func (a *Adopter) runPullTimer() {
	if a.now.Before(a.pull.nextAt) {
		return
	}
	a.pull.nextAt = a.now.Add(a.jitter(pullInterval))
	if a.bundle == nil || a.pull.periodicPeer != "" {
		return
	}
	a.pull.periodicRetries = 0
	a.pullFromRandomPeer("")
}

// pullFromRandomPeer starts a periodic pull from a random peer. If the first draw is the
// given peer it draws once more, which may return the same peer again.
func (a *Adopter) pullFromRandomPeer(except host.ID) {
	from := a.peers.local
	if len(from) == 0 || (len(a.peers.remote) > 0 && a.rng.IntN(remotePullRatio) == 0) {
		from = a.peers.remote
	}
	if len(from) == 0 {
		return
	}
	peer := from[a.rng.IntN(len(from))]
	if peer == except {
		peer = from[a.rng.IntN(len(from))]
	}
	a.pull.periodicPeer = peer
	a.emit(Pull{Peer: peer, Version: a.bundle.Version()})
}

// handlePulled processes the peer's head if the peer has a higher version, and notifies the
// peer if it has a lower one. A peer without a configuration is not notified.
func (a *Adopter) handlePulled(e Pulled) {
	a.clearPull(e.Peer)
	if e.PlatformReadAge >= 0 {
		if at := a.now.Add(-e.PlatformReadAge); at.After(a.lastPlatformRead) {
			a.lastPlatformRead = at
		}
	}
	source := Source{Peer: e.Peer}
	switch {
	case len(e.Head) > 0:
		a.handleHeadWithPages(e.Head, e.Pages, source)
	case e.Version < a.bundle.Version() && e.Version > 0:
		a.emit(Notify{Peer: e.Peer, Version: a.bundle.Version()})
	}
	a.recordRoundAnswer(source)
	a.pullFromNotifier()
}

// handlePullFailed retries a failed periodic pull up to maxPullRetries times.
func (a *Adopter) handlePullFailed(e PullFailed) {
	periodic := e.Peer == a.pull.periodicPeer
	a.clearPull(e.Peer)
	a.pullFromNotifier()
	if periodic && a.bundle != nil && a.pull.periodicRetries < maxPullRetries {
		a.pull.periodicRetries++
		a.pullFromRandomPeer(e.Peer)
	}
	a.recordRoundAnswer(Source{Peer: e.Peer})
}

// clearPull records that no pull from the peer is outstanding any more.
func (a *Adopter) clearPull(peer host.ID) {
	if peer == a.pull.periodicPeer {
		a.pull.periodicPeer = ""
	}
	if peer == a.pull.notifier {
		a.pull.notifier = ""
	}
}

// handlePeerNotified queues a notification of a higher version and starts a pull. It drops
// the notification when the queue is full.
func (a *Adopter) handlePeerNotified(e PeerNotified) {
	if e.Version <= a.bundle.Version() || len(a.pull.notifications) == maxNotifications {
		return
	}
	a.pull.notifications = append(a.pull.notifications, e)
	a.pullFromNotifier()
}

// pullFromNotifier pulls from the first peer in the queue that has announced a higher version
// than this host has adopted or is fetching, unless such a pull is outstanding.
func (a *Adopter) pullFromNotifier() {
	known := a.bundle.Version()
	if a.candidate != nil {
		known = max(known, a.candidate.head.Version)
	}
	p := &a.pull
	p.notifications = slices.DeleteFunc(p.notifications, func(n PeerNotified) bool { return n.Version <= a.bundle.Version() })
	if p.notifier != "" {
		return
	}
	for i, n := range p.notifications {
		if n.Version > known {
			p.notifications = slices.Delete(p.notifications, i, i+1)
			p.notifier = n.Peer
			a.emit(Pull{Peer: n.Peer, Version: a.bundle.Version()})
			return
		}
	}
}

// notifyPeers announces the adopted version to all peers except its source.
func (a *Adopter) notifyPeers(source Source) {
	for _, peer := range a.peers.all() {
		if peer != source.Peer {
			a.emit(Notify{Peer: peer, Version: a.bundle.Version()})
		}
	}
}

// PlatformReadAge returns the time since the latest known platform read by any host;
// negative when none is known.
func (a *Adopter) PlatformReadAge(now time.Time) time.Duration {
	if a.lastPlatformRead.IsZero() {
		return -1
	}
	return max(0, now.Sub(a.lastPlatformRead))
}
