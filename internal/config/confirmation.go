package config

import (
	"encoding/json"
	"time"

	"github.com/oatlatch/oatlatch/internal/host"
)

// Confirmation says that a host has adopted a version that released addresses.
type Confirmation struct {
	Host        host.ID
	Incarnation host.Incarnation
	Version     Version
	At          time.Time
}

// EncodeConfirmation returns the stored form.
func EncodeConfirmation(c Confirmation) ([]byte, error) { return json.Marshal(c) }

// DecodeConfirmation parses the stored form.
func DecodeConfirmation(key string, data []byte) (Confirmation, error) {
	var c Confirmation
	if err := json.Unmarshal(data, &c); err != nil {
		return Confirmation{}, &InvalidError{Object: key, Reason: err.Error()}
	}
	return c, nil
}
