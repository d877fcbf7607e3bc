// Package ticket issues single-use tickets for non-idempotent requests and keeps
// what became of them.
package ticket

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"time"

	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/service"
)

// MaxLength is the longest encoded ticket in bytes.
const MaxLength = 1024

// Ticket allows one run of one request. Only the incarnation that issued it, or
// the successor that was given its ledger, may dispatch it.
type Ticket struct {
	Issuer      host.ID
	Incarnation host.Incarnation
	Sequence    uint64
	Service     service.ID
	// ExpiresMs is the issuer's clock in milliseconds since the Unix epoch.
	ExpiresMs uint64
	// KeyID names the MAC key.
	KeyID uint32
}

// Expired says whether the ticket may no longer be dispatched.
func (t Ticket) Expired(now time.Time) bool { return uint64(now.UnixMilli()) >= t.ExpiresMs }

// encoded is a ticket split into its parts.
type encoded struct {
	ticket  Ticket
	payload []byte
	mac     []byte
}

// Encode returns the wire form of the ticket under the key.
func Encode(t Ticket, key []byte) string {
	return encode(t, newNamedKey(key))
}

func encode(t Ticket, key namedKey) string {
	t.KeyID = key.id
	payload := t.appendTo(make([]byte, 0, payloadCapacity))
	return base64.RawURLEncoding.EncodeToString(key.appendMAC(payload, payload))
}

// payloadCapacity holds a payload with an issuer of usual length and its MAC.
const payloadCapacity = 128

// appendTo appends the payload: the numbers as unsigned varints and then the issuer.
func (t Ticket) appendTo(payload []byte) []byte {
	payload = binary.BigEndian.AppendUint32(payload, t.KeyID)
	payload = binary.AppendUvarint(payload, uint64(t.Incarnation))
	payload = binary.AppendUvarint(payload, t.Sequence)
	payload = binary.AppendUvarint(payload, uint64(t.Service))
	payload = binary.AppendUvarint(payload, t.ExpiresMs)
	return append(payload, t.Issuer...)
}

// parse reads a payload.
func parse(payload []byte) (Ticket, bool) {
	if len(payload) < keyIDBytes {
		return Ticket{}, false
	}
	t := Ticket{KeyID: binary.BigEndian.Uint32(payload)}
	payload = payload[keyIDBytes:]
	var incarnation, id uint64
	for _, field := range []*uint64{&incarnation, &t.Sequence, &id, &t.ExpiresMs} {
		value, n := binary.Uvarint(payload)
		if n <= 0 {
			return Ticket{}, false
		}
		*field = value
		payload = payload[n:]
	}
	t.Incarnation = host.Incarnation(incarnation)
	t.Service = service.ID(id)
	t.Issuer = host.ID(payload)
	return t, id <= uint64(service.MaxID)
}

func decode(raw string) (encoded, error) {
	if len(raw) > MaxLength {
		return encoded{}, &Error{Kind: Malformed, Detail: "longer than the limit"}
	}
	data, err := base64.RawURLEncoding.Strict().DecodeString(raw)
	if err != nil {
		return encoded{}, &Error{Kind: Malformed, Detail: "encoding"}
	}
	if len(data) < sha256.Size {
		return encoded{}, &Error{Kind: Malformed, Detail: "too short"}
	}
	payload, mac := data[:len(data)-sha256.Size], data[len(data)-sha256.Size:]
	t, ok := parse(payload)
	if !ok {
		return encoded{}, &Error{Kind: Malformed, Detail: "payload"}
	}
	return encoded{ticket: t, payload: payload, mac: mac}, nil
}
