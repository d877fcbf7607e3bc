// Package ticket issues single-use tickets for non-idempotent requests, and records which
// of them were used and the results of their requests.
package ticket

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"time"

	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/service"
)

// MaxLength is the maximum length of an encoded ticket in bytes.
const MaxLength = 1024

// Ticket allows one request to run once. Only the incarnation of the host that issued it
// may dispatch the request, or the successor that took over its ledger.
type Ticket struct {
	Issuer      host.ID
	Incarnation host.Incarnation
	// Sequence identifies the ticket among those of the incarnation. It starts at one.
	Sequence uint64
	Service  service.ID
	// ExpiresMs is when the ticket expires, by the issuer's clock, in milliseconds since
	// the Unix epoch.
	ExpiresMs uint64
	// KeyID identifies the MAC key.
	KeyID uint32
}

// Expired reports whether the request can no longer be dispatched.
func (t Ticket) Expired(now time.Time) bool { return uint64(now.UnixMilli()) >= t.ExpiresMs }

// decodedTicket is an encoded ticket split into its parts. The MAC is not yet verified.
type decodedTicket struct {
	ticket  Ticket
	payload []byte
	mac     []byte
}

// Encode returns the ticket as text, with a MAC under the key.
func Encode(t Ticket, key []byte) string {
	return encode(t, newMACKey(key))
}

// encode returns the base64 encoding of the payload followed by its MAC.
func encode(t Ticket, key macKey) string {
	t.KeyID = key.id
	payload := t.appendPayload(make([]byte, 0, payloadCapacity))
	return base64.RawURLEncoding.EncodeToString(key.appendMAC(payload, payload))
}

// payloadCapacity is the initial capacity in bytes of the buffer for a payload and its
// MAC. It is enough for an issuer name of usual length.
const payloadCapacity = 128

// appendPayload appends the payload: the key ID as a big-endian integer, the other numbers
// as unsigned varints and then the issuer.
func (t Ticket) appendPayload(payload []byte) []byte {
	payload = binary.BigEndian.AppendUint32(payload, t.KeyID)
	payload = binary.AppendUvarint(payload, uint64(t.Incarnation))
	payload = binary.AppendUvarint(payload, t.Sequence)
	payload = binary.AppendUvarint(payload, uint64(t.Service))
	payload = binary.AppendUvarint(payload, t.ExpiresMs)
	return append(payload, t.Issuer...)
}

// parsePayload decodes a payload. It returns false if the payload is malformed.
func parsePayload(payload []byte) (Ticket, bool) {
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

// decode splits an encoded ticket into its parts without verifying the MAC.
func decode(raw string) (decodedTicket, error) {
	if len(raw) > MaxLength {
		return decodedTicket{}, &Error{Kind: Malformed, Detail: "longer than the limit"}
	}
	data, err := base64.RawURLEncoding.Strict().DecodeString(raw)
	if err != nil {
		return decodedTicket{}, &Error{Kind: Malformed, Detail: "encoding"}
	}
	if len(data) < sha256.Size {
		return decodedTicket{}, &Error{Kind: Malformed, Detail: "shorter than a MAC"}
	}
	payload, mac := data[:len(data)-sha256.Size], data[len(data)-sha256.Size:]
	t, ok := parsePayload(payload)
	if !ok {
		return decodedTicket{}, &Error{Kind: Malformed, Detail: "payload"}
	}
	return decodedTicket{ticket: t, payload: payload, mac: mac}, nil
}
