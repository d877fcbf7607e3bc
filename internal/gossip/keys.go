package gossip

import (
	"crypto/hkdf"
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"fmt"

	"github.com/oatlatch/oatlatch/internal/feed"
)

const (
	// tagBytes is the length of the authentication tag before each message.
	tagBytes = 16
	// keyInfo is the HKDF info, which makes the key differ from any other key derived from the
	// peer key.
	keyInfo = "oatlatch gossip 1"
)

// errTag means that a message is not authentic.
var errTag = errors.New("message without a valid tag: its sender has another peer key")

// Keys authenticate messages with the peer key, which all hosts share.
type Keys struct {
	// current seals messages. Both open them; former is nil if there is none.
	current, former []byte
}

// NewKeys returns the keys derived from the peer key in use, and from one that other hosts may
// still use; the latter may be nil.
func NewKeys(current, former []byte) (*Keys, error) {
	k := &Keys{}
	var err error
	if k.current, err = deriveKey(current); err != nil {
		return nil, err
	}
	if former != nil {
		if k.former, err = deriveKey(former); err != nil {
			return nil, err
		}
	}
	return k, nil
}

func deriveKey(peerKey []byte) ([]byte, error) {
	key, err := hkdf.Key(sha256.New, peerKey, nil, keyInfo, sha256.Size)
	if err != nil {
		return nil, fmt.Errorf("derive the key of messages between hosts: %w", err)
	}
	return key, nil
}

// tag returns the authentication tag of a message.
func tag(key, message []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write(message) // never returns an error
	return mac.Sum(nil)[:tagBytes]
}

// seal returns the datagram with the message of the named host.
func (k *Keys) seal(host string, m *feed.Message) []byte {
	message := encode(host, m)
	return append(tag(k.current, message), message...)
}

// open returns the message of a datagram and the name of its host.
func (k *Keys) open(datagram []byte) (host string, m feed.Message, err error) {
	if len(datagram) < tagBytes {
		return "", feed.Message{}, errTag
	}
	message := datagram[tagBytes:]
	if !hmac.Equal(datagram[:tagBytes], tag(k.current, message)) &&
		(k.former == nil || !hmac.Equal(datagram[:tagBytes], tag(k.former, message))) {
		return "", feed.Message{}, errTag
	}
	return decode(message)
}

// Size returns the size in bytes of the datagram with the message of the named host.
func Size(host string, m feed.Message) int { return tagBytes + len(encode(host, &m)) }
