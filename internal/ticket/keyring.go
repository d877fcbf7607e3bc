package ticket

import (
	"bytes"
	"crypto/hmac"
	"slices"
	"time"
)

// Keyring holds the MAC keys of tickets.
type Keyring struct {
	keys    []namedKey
	retired []namedKey
}

// Adopt replaces the keys, newest first. A key that leaves goes on verifying for
// keep, so that tickets issued under it are never taken for forged.
func (k *Keyring) Adopt(now time.Time, keys [][]byte, keep time.Duration) {
	for _, old := range k.keys {
		if !contains(keys, old.secret) {
			old.until = now.Add(keep)
			k.retired = append(k.retired, old)
		}
	}
	k.retired = slices.DeleteFunc(k.retired, func(r namedKey) bool { return now.After(r.until) })
	k.keys = nil
	for _, secret := range keys {
		k.keys = append(k.keys, newNamedKey(bytes.Clone(secret)))
	}
}

// Ready says whether tickets can be issued.
func (k *Keyring) Ready() bool { return len(k.keys) > 0 }

// Knows says whether a key is held that tickets may have been issued under.
func (k *Keyring) Knows(id uint32) bool {
	return slices.ContainsFunc(slices.Concat(k.keys, k.retired), func(key namedKey) bool { return key.id == id })
}

// Encode returns the wire form of the ticket under the newest key.
func (k *Keyring) Encode(t Ticket) string { return encode(t, k.keys[0]) }

// Verify decodes a ticket. With a kind of UnknownKey the returned ticket holds
// the unverified claims, by which its issuer can be asked.
func (k *Keyring) Verify(raw string) (Ticket, error) {
	e, err := decode(raw)
	if err != nil {
		return Ticket{}, err
	}
	for _, key := range slices.Concat(k.keys, k.retired) {
		if key.id != e.ticket.KeyID {
			continue
		}
		if hmac.Equal(key.appendMAC(nil, e.payload), e.mac) {
			return e.ticket, nil
		}
		return Ticket{}, &Error{Kind: Forged}
	}
	return e.ticket, &Error{Kind: UnknownKey}
}

func contains(keys [][]byte, key []byte) bool {
	return slices.ContainsFunc(keys, func(other []byte) bool { return bytes.Equal(other, key) })
}
