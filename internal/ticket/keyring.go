package ticket

import (
	"bytes"
	"crypto/hmac"
	"slices"
	"time"
)

// retiredKey verifies tickets that were issued under it until they expire.
type retiredKey struct {
	key   []byte
	until time.Time
}

// Keyring holds the MAC keys of tickets.
type Keyring struct {
	keys    [][]byte
	retired []retiredKey
}

// Adopt replaces the keys, newest first. A key that leaves goes on verifying for
// keep, so that tickets issued under it are never taken for forged.
func (k *Keyring) Adopt(now time.Time, keys [][]byte, keep time.Duration) {
	for _, old := range k.keys {
		if !contains(keys, old) {
			k.retired = append(k.retired, retiredKey{key: old, until: now.Add(keep)})
		}
	}
	k.retired = slices.DeleteFunc(k.retired, func(r retiredKey) bool { return now.After(r.until) })
	k.keys = slices.Clone(keys)
}

// Ready says whether tickets can be issued.
func (k *Keyring) Ready() bool { return len(k.keys) > 0 }

// Encode returns the wire form of the ticket under the newest key.
func (k *Keyring) Encode(t Ticket) string { return Encode(t, k.keys[0]) }

// Verify decodes a ticket. With a kind of UnknownKey the returned ticket holds
// the unverified claims, by which its issuer can be asked.
func (k *Keyring) Verify(raw string) (Ticket, error) {
	e, err := decode(raw)
	if err != nil {
		return Ticket{}, err
	}
	for _, key := range k.all() {
		if keyID(key) != e.ticket.KeyID {
			continue
		}
		if hmac.Equal(sum(e.payload, key), e.mac) {
			return e.ticket, nil
		}
		return Ticket{}, &Error{Kind: Forged}
	}
	return e.ticket, &Error{Kind: UnknownKey}
}

func (k *Keyring) all() [][]byte {
	keys := slices.Clone(k.keys)
	for _, r := range k.retired {
		keys = append(keys, r.key)
	}
	return keys
}

func contains(keys [][]byte, key []byte) bool {
	return slices.ContainsFunc(keys, func(other []byte) bool { return bytes.Equal(other, key) })
}
