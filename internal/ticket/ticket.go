// Package ticket issues single-use tickets for non-idempotent requests and keeps
// what became of them.
package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/service"
)

// MaxLength is the longest encoded ticket in bytes.
const MaxLength = 1024

// Ticket allows one run of one request. Only the incarnation that issued it, or
// the successor that was given its ledger, may dispatch it.
type Ticket struct {
	Issuer      host.ID          `json:"h"`
	Incarnation host.Incarnation `json:"i"`
	Sequence    uint64           `json:"s"`
	Service     service.ID       `json:"v"`
	// ExpiresMs is the issuer's clock in milliseconds since the Unix epoch.
	ExpiresMs int64 `json:"e"`
	// KeyID names the MAC key.
	KeyID string `json:"k"`
}

// Expired says whether the ticket may no longer be dispatched.
func (t Ticket) Expired(now time.Time) bool { return now.UnixMilli() >= t.ExpiresMs }

// encoded is a ticket split into its parts.
type encoded struct {
	ticket  Ticket
	payload []byte
	mac     []byte
}

// Encode returns the wire form of the ticket under the key.
func Encode(t Ticket, key []byte) string {
	return encode(t, namedKey{id: keyID(key), secret: key})
}

func encode(t Ticket, key namedKey) string {
	t.KeyID = key.id
	payload, err := json.Marshal(t)
	if err != nil {
		panic(fmt.Sprintf("ticket: encode: %v", err))
	}
	encoding := base64.RawURLEncoding
	return encoding.EncodeToString(payload) + "." + encoding.EncodeToString(sum(payload, key.secret))
}

func decode(raw string) (encoded, error) {
	if len(raw) > MaxLength {
		return encoded{}, &Error{Kind: Malformed, Detail: "longer than the limit"}
	}
	head, tail, found := strings.Cut(raw, ".")
	if !found {
		return encoded{}, &Error{Kind: Malformed, Detail: "no MAC"}
	}
	payload, err := base64.RawURLEncoding.Strict().DecodeString(head)
	if err != nil {
		return encoded{}, &Error{Kind: Malformed, Detail: "payload encoding"}
	}
	mac, err := base64.RawURLEncoding.Strict().DecodeString(tail)
	if err != nil {
		return encoded{}, &Error{Kind: Malformed, Detail: "MAC encoding"}
	}
	var t Ticket
	if err := json.Unmarshal(payload, &t); err != nil {
		return encoded{}, &Error{Kind: Malformed, Detail: "payload"}
	}
	return encoded{ticket: t, payload: payload, mac: mac}, nil
}

func sum(payload, key []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(payload)
	return h.Sum(nil)
}

// keyIDLength is the number of hexadecimal digits that name a key.
const keyIDLength = 8

func keyID(key []byte) string {
	digest := sha256.Sum256(append([]byte("oatlatch ticket key id"), key...))
	return fmt.Sprintf("%x", digest[:])[:keyIDLength]
}
