package edge

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/gossip"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/peer"
	"github.com/oatlatch/oatlatch/internal/registration"
)

const (
	// maxPeerKeyDelay is the maximum random delay before the first attempt to create the
	// peer key. Another host may create the key during the delay.
	maxPeerKeyDelay = time.Second
	// peerKeyRetryInterval is the time between attempts to write the peer key.
	peerKeyRetryInterval = 3 * time.Second
	// peerKeyTimeout is the time limit of one attempt to write the peer key.
	peerKeyTimeout = 2 * time.Second
)

// peerKeys are the peer key in use, and one that other hosts may still use; the latter may
// be nil.
type peerKeys struct {
	current, former []byte
}

func (k peerKeys) equal(other peerKeys) bool {
	return bytes.Equal(k.current, other.current) && bytes.Equal(k.former, other.former)
}

// lostPeerKey is a peer key that a restored store lacks, and the position of what it has
// instead. The key is nil if the store lacks none.
type lostPeerKey struct {
	key    []byte
	stored catalog.Position
}

// awaitPeerKey waits for the peer key and creates it if no other host does. The first
// attempt comes after a random delay so that few hosts attempt it.
func (p *peers) awaitPeerKey(ctx context.Context) (peerKeys, error) {
	delay := time.Duration(rand.Int64N(int64(maxPeerKeyDelay)))
	for {
		timer := time.NewTimer(delay)
		select {
		case <-ctx.Done():
			timer.Stop()
			return peerKeys{}, ctx.Err()
		case keys := <-p.keys:
			timer.Stop()
			return keys, nil
		case <-timer.C:
		}
		// Whichever key the store then holds arrives through the feed, in setView.
		p.writePeerKey(ctx, lostPeerKey{key: registration.NewPeerKey()})
		delay = peerKeyRetryInterval
	}
}

// writePeerKey writes a peer key to the store unless the store has another one.
func (p *peers) writePeerKey(ctx context.Context, lost lostPeerKey) {
	ctx, cancel := context.WithTimeout(ctx, peerKeyTimeout)
	defer cancel()
	if err := p.options.Registration.WritePeerKey(ctx, lost.key, lost.stored); err != nil {
		p.options.Logger.Warn().Err(err).Msg("peer_key_not_written")
	}
}

// restoreKeys writes peer keys to a store that has lost them until ctx is cancelled.
func (p *peers) restoreKeys(ctx context.Context) error {
	var lost lostPeerKey
	timer := time.NewTimer(peerKeyRetryInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case lost = <-p.lostKeys:
		case <-timer.C:
		}
		if lost.key != nil {
			p.writePeerKey(ctx, lost)
			timer.Reset(peerKeyRetryInterval)
		}
	}
}

// followKeys makes the credentials follow the peer key until ctx is cancelled. Connections
// that are open keep the keys that they were established with.
func (p *peers) followKeys(ctx context.Context, credentials *peer.TLS, socket *gossip.Socket) error {
	var used peerKeys
	for {
		select {
		case <-ctx.Done():
			return nil
		case keys := <-p.keys:
			if keys.equal(used) {
				continue
			}
			used = keys
			sources, err := p.issueKeys(keys)
			if err == nil {
				err = credentials.Replace(sources)
			}
			derived, deriveErr := gossip.NewKeys(keys.current, keys.former)
			if err = errors.Join(err, deriveErr); err != nil {
				p.options.Logger.Error().Err(err).Msg("peer_key_refused")
				continue
			}
			socket.SetKeys(derived)
			p.options.Logger.Info().Bool("former", keys.former != nil).Msg("peer_key_changed")
		}
	}
}

// issueKeys returns this host's certificate under the peer key.
func (p *peers) issueKeys(keys peerKeys) (peer.KeySources, error) {
	s := &p.options.Settings
	return registration.IssueKeys(keys.current, keys.former, peer.Identity{Host: host.ID(s.Host.ID), DataCentre: s.Host.DataCentre})
}
