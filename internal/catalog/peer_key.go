package catalog

import (
	"bytes"
	"slices"
)

// maxWithdrawnKeys is the maximum number of replaced peer keys that are remembered.
const maxWithdrawnKeys = 8

// peerKeyState is what a catalog knows of the peer key.
type peerKeyState struct {
	peerKey         []byte
	peerKeyPosition Position
	// peerKeyBeforeRestore is set from a restore of the store until the store has the key
	// or another one.
	peerKeyBeforeRestore bool
	// formerPeerKey is the key that a restore lost and that another host replaced.
	formerPeerKey []byte
	// withdrawnKeys are keys that were replaced without a restore. They are not used
	// again.
	withdrawnKeys [][]byte
	// lostPeerKey is set while the store has no key, or a withdrawn one.
	lostPeerKey *LostPeerKey
}

// setPeerKey merges the peer key that the store has at the position. A key that replaces
// another one withdraws it, unless a restore has lost the other one.
func (c *Catalog) setPeerKey(key []byte, position Position) {
	if !position.After(c.peerKeyPosition) {
		return
	}
	lost := c.peerKeyBeforeRestore
	c.peerKeyPosition, c.peerKeyBeforeRestore = position, false
	if slices.ContainsFunc(c.withdrawnKeys, func(k []byte) bool { return bytes.Equal(k, key) }) {
		c.setLostPeerKey(&LostPeerKey{Stored: position}, position)
		return
	}
	c.setLostPeerKey(nil, position)
	if bytes.Equal(key, c.peerKey) {
		return
	}
	c.formerPeerKey = nil
	if lost {
		c.formerPeerKey = c.peerKey
	} else if c.peerKey != nil {
		c.withdrawnKeys = append(c.withdrawnKeys, c.peerKey)
		if len(c.withdrawnKeys) > maxWithdrawnKeys {
			c.withdrawnKeys = slices.Delete(c.withdrawnKeys, 0, 1)
		}
	}
	c.peerKey = key
	c.viewChanged = true
}

// losePeerKey records that a listing which is complete up to the position has no peer key.
func (c *Catalog) losePeerKey(position Position) {
	if c.peerKey != nil && c.peerKeyBeforeRestore {
		c.setLostPeerKey(&LostPeerKey{Stored: Position{Epoch: position.Epoch}}, position)
	}
}

// setLostPeerKey records whether the peer key has to be written to the store.
func (c *Catalog) setLostPeerKey(lost *LostPeerKey, position Position) {
	if lost == nil && c.lostPeerKey == nil {
		return
	}
	if lost != nil {
		c.recordEvent(Event{Kind: PeerKeyLost, Position: position})
	}
	c.lostPeerKey, c.viewChanged = lost, true
}
