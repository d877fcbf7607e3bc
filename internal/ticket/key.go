package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// keyIDBytes is the length of a key's name in a ticket.
const keyIDBytes = 4

// keyIDLabel keeps the name of a key apart from other digests of it.
const keyIDLabel = "oatlatch ticket key id"

// namedKey is a MAC key with its name.
type namedKey struct {
	id     uint32
	secret []byte
	// until is when a key that has left the configuration is forgotten.
	until time.Time
}

func newNamedKey(secret []byte) namedKey {
	digest := sha256.Sum256(append([]byte(keyIDLabel), secret...))
	return namedKey{id: binary.BigEndian.Uint32(digest[:]), secret: secret}
}

// appendMAC appends the MAC of the payload.
func (k namedKey) appendMAC(to, payload []byte) []byte {
	h := hmac.New(sha256.New, k.secret)
	h.Write(payload)
	return h.Sum(to)
}
