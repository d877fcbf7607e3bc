// Package config holds the published configuration: the manifest, the snapshot
// that hosts adopt and the rules by which they adopt it.
package config

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/oatlatch/oatlatch/internal/service"
)

// Version numbers manifests. A host only ever adopts a higher one.
type Version uint64

// Manifest is the root object of a published configuration.
type Manifest struct {
	Version Version
	// NextID is the next service ID to assign.
	NextID service.ID
	// FlowKey keys the hash of flows to slots, so that callers cannot aim at one upstream.
	FlowKey [16]byte
	// TicketKeys are MAC keys of request tickets, newest first; older ones are still accepted.
	TicketKeys [][]byte
	Services   []Entry
	// Quarantined addresses were released by a service and may not be reused yet.
	Quarantined []Quarantine
	// Publications are the identifiers of the last publications, newest last.
	Publications []Publication
}

// Entry names the object that holds one service.
type Entry struct {
	Name    string
	ID      service.ID
	Address netip.AddrPort
	// Protocol is the protocol of Address: an address may be used once for each protocol.
	Protocol service.Protocol
	// Hash is the SHA-256 of the service object in hexadecimal.
	Hash string
	// Changed is the manifest version that last changed the entry.
	Changed Version
	// Publication is the ID of the publication that last changed the entry.
	Publication string
}

// Quarantine is an address, request host or upstream address that a service has released.
type Quarantine struct {
	// Service is the service that released it and may take it back at any time.
	Service service.ID
	// Name is the name of that service. A service that was removed gets its ID back
	// when it is published again while its address is in quarantine.
	Name     string
	Address  netip.AddrPort
	Protocol service.Protocol
	// RequestHost is set instead of Address when the service released a request host.
	RequestHost string `json:",omitempty"`
	// Upstream is set instead of Address when the service released an upstream's
	// request address.
	Upstream netip.AddrPort `json:",omitzero"`
	// Released is the manifest version that released the address.
	Released Version
	// ReleasedAt is the publisher's wall clock.
	ReleasedAt time.Time
}

// Publication identifies one write of the manifest.
type Publication struct {
	// ID is random and unique.
	ID       string
	Version  Version
	Operator string
	At       time.Time
	// Services are the names of the services that the publication changed.
	Services []string
}

// String names the publication and its operator for messages.
func (p Publication) String() string {
	if p.Operator == "" {
		return p.ID
	}
	return fmt.Sprintf("%s (version %d by %s at %s)", p.ID, p.Version, p.Operator, p.At.UTC().Format(time.RFC3339))
}

// Publication returns the publication with the ID if it is still remembered.
func (m *Manifest) Publication(id string) (Publication, bool) {
	for _, p := range m.Publications {
		if p.ID == id {
			return p, true
		}
	}
	return Publication{}, false
}

// Entry returns the entry with the name.
func (m *Manifest) Entry(name string) (Entry, bool) {
	for _, entry := range m.Services {
		if entry.Name == name {
			return entry, true
		}
	}
	return Entry{}, false
}
