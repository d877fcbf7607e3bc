package feed

import "time"

const (
	// peerWait is the pause before a host that starts looks again whether it can call other
	// hosts, and maxPeerWaits how often it does so. The credentials for these calls are
	// made from the first listing, which takes some milliseconds.
	peerWait     = 20 * time.Millisecond
	maxPeerWaits = 10
)

// awaitPeers reports whether to pause for peerWait until other hosts can be called. A host
// that has read only a listing holds packets of flows whose routes have moved until another
// host tells it of earlier configurations. The watch of the store that it would make
// otherwise may take longer than packets are held.
func (f *Feed) awaitPeers() bool {
	f.peerWaits++
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listed && f.peerWaits <= maxPeerWaits
}
