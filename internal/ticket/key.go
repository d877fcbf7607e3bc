package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// keyIDBytes is the length of the key ID in a ticket.
const keyIDBytes = 4

// keyIDPrefix is hashed before the key to get the key ID, so that the ID differs from
// other digests of the key.
const keyIDPrefix = "oatlatch ticket key id"

// macKey is a key for the MACs of tickets.
type macKey struct {
	// id is derived from the secret.
	id     uint32
	secret []byte
	// expiresAt is when a retired key is removed. It is zero for a current key.
	expiresAt time.Time
}

func newMACKey(secret []byte) macKey {
	digest := sha256.Sum256(append([]byte(keyIDPrefix), secret...))
	return macKey{id: binary.BigEndian.Uint32(digest[:]), secret: secret}
}

// appendMAC appends the MAC of the payload to dst.
func (k macKey) appendMAC(dst, payload []byte) []byte {
	h := hmac.New(sha256.New, k.secret)
	h.Write(payload)
	return h.Sum(dst)
}
