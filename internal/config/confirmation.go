package config

import (
	"encoding/json"
	"time"

	"github.com/oatlatch/oatlatch/internal/host"
)

// Confirmation is the stored record that a host has adopted a version. A released address may
// leave quarantine only after the hosts have confirmed its release.
type Confirmation struct {
	Host        host.ID
	Incarnation host.Incarnation
	Version     Version
	At          time.Time
}

// EncodeConfirmation returns the stored form of the confirmation.
func EncodeConfirmation(c Confirmation) ([]byte, error) { return json.Marshal(c) }

// DecodeConfirmation parses the stored form of a confirmation. The key is used in errors.
func DecodeConfirmation(key string, data []byte) (Confirmation, error) {
	var c Confirmation
	if err := json.Unmarshal(data, &c); err != nil {
		return Confirmation{}, &InvalidError{Object: key, Reason: err.Error()}
	}
	return c, nil
}
