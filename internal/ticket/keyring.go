package ticket

import (
	"bytes"
	"crypto/hmac"
	"slices"
	"time"
)

// Keyring holds the MAC keys of tickets.
type Keyring struct {
	keys []macKey // newest first
	// retired holds keys that were replaced but still verify tickets.
	retired []macKey
}

// SetKeys replaces the keys. The new keys must be in order, newest first. A replaced key
// still verifies tickets for the retention time, so that tickets issued under it are not
// mistaken for forged ones.
func (k *Keyring) SetKeys(now time.Time, keys [][]byte, retention time.Duration) {
	for _, old := range k.keys {
		if !containsKey(keys, old.secret) {
			old.expiresAt = now.Add(retention)
			k.retired = append(k.retired, old)
		}
	}
	k.retired = slices.DeleteFunc(k.retired, func(r macKey) bool { return now.After(r.expiresAt) })
	k.keys = nil
	for _, secret := range keys {
		k.keys = append(k.keys, newMACKey(bytes.Clone(secret)))
	}
}

// Ready reports whether the keyring has a key to encode tickets with.
func (k *Keyring) Ready() bool { return len(k.keys) > 0 }

// Has reports whether the keyring holds the key with the ID, current or retired.
func (k *Keyring) Has(id uint32) bool {
	return slices.ContainsFunc(slices.Concat(k.keys, k.retired), func(key macKey) bool { return key.id == id })
}

// Encode returns the ticket as text, with a MAC under the newest key. It panics if the
// keyring is not ready.
func (k *Keyring) Encode(t Ticket) string { return encode(t, k.keys[0]) }

// Verify decodes a ticket and checks its MAC. It fails with an *Error. If its kind is
// UnknownKey, Verify also returns the unverified ticket, so that its issuer can be asked.
func (k *Keyring) Verify(raw string) (Ticket, error) {
	decoded, err := decode(raw)
	if err != nil {
		return Ticket{}, err
	}
	for _, key := range slices.Concat(k.keys, k.retired) {
		if key.id != decoded.ticket.KeyID {
			continue
		}
		if hmac.Equal(key.appendMAC(nil, decoded.payload), decoded.mac) {
			return decoded.ticket, nil
		}
		return Ticket{}, &Error{Kind: Forged}
	}
	return decoded.ticket, &Error{Kind: UnknownKey}
}

func containsKey(keys [][]byte, key []byte) bool {
	return slices.ContainsFunc(keys, func(other []byte) bool { return bytes.Equal(other, key) })
}
