// Package config defines the published configuration, its stored form, and the state machine by
// which a host adopts a configuration from the platform or from its peers.
package config

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/oatlatch/oatlatch/internal/service"
)

// Version is the version number of a configuration. A host never goes back to a lower one.
type Version uint64

// Manifest is the decoded head of a published configuration together with an entry for each
// service.
type Manifest struct {
	Version Version
	// NextID is the next service ID to assign.
	NextID service.ID
	// FlowKey is the key of the hash that maps flows to slots. It is secret, so that callers
	// cannot choose flows that all go to the same upstream.
	FlowKey [16]byte
	// TicketKeys are the MAC keys of request tickets, newest first. Tickets of older keys are
	// still accepted.
	TicketKeys [][]byte
	// Services are sorted by name.
	Services []Entry
	// Quarantined are the addresses that a service has released and that no other service may
	// use yet.
	Quarantined []Quarantine
	// Publications are the last publications, at most MaxPublications, newest last.
	Publications []Publication
}

// Entry describes one service of a manifest.
type Entry struct {
	Name    string
	ID      service.ID
	Address netip.AddrPort
	// Protocol is the protocol of Address. An address may be used once for each protocol.
	Protocol service.Protocol
	// Hash is the hash of the service as returned by HashService.
	Hash string
	// Changed is the manifest version in which the service last changed.
	Changed Version
	// Publication is the ID of the publication that last changed the service.
	Publication string
}

// Quarantine is an address, request host or upstream address that a service has released.
type Quarantine struct {
	// Service is the service that released the address. It may use the address again at any
	// time.
	Service service.ID
	// Name is the name of that service. If the service was removed and is published again
	// while its address is in quarantine, it is found by this name and keeps its ID.
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
	// ReleasedAt is the time of the release by the publisher's wall clock.
	ReleasedAt time.Time
}

// Publication describes one publication of a configuration.
type Publication struct {
	// ID is random and unique.
	ID       string
	Version  Version
	Operator string
	At       time.Time
	// Services are the names of the services that the publication changed.
	Services []string
}

// String returns the publication's ID, with version, operator and time if the operator is known.
func (p Publication) String() string {
	if p.Operator == "" {
		return p.ID
	}
	return fmt.Sprintf("%s (version %d by %s at %s)", p.ID, p.Version, p.Operator, p.At.UTC().Format(time.RFC3339))
}

// Publication returns the publication with the ID and whether the manifest still lists it.
func (m *Manifest) Publication(id string) (Publication, bool) {
	for _, p := range m.Publications {
		if p.ID == id {
			return p, true
		}
	}
	return Publication{}, false
}

// Entry returns the entry of the service with the name and whether there is one.
func (m *Manifest) Entry(name string) (Entry, bool) {
	for _, entry := range m.Services {
		if entry.Name == name {
			return entry, true
		}
	}
	return Entry{}, false
}
