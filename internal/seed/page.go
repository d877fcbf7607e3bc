// Package seed lets a host that starts while the platform's store does not answer learn
// routes, upstreams and evacuations from another host. Neither host can authenticate the other, since
// the peer key is in the store, so a page from a seed holds no secret and is believed only
// until the store answers.
package seed

import (
	"errors"
	"fmt"
	"unicode/utf8"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/gobpack"
)

const (
	// maxPageBytes limits the size of a packed page.
	maxPageBytes = 1 << 20
	// maxEvacuations limits the evacuations of a page, and maxNameBytes the length of the
	// name of a data centre in them. A seed is not authentic, and each evacuation becomes a
	// metric. A deployment has less than ten data centres.
	maxEvacuations = 64
	maxNameBytes   = 255
)

// ErrInvalid means that the answer of a seed cannot be used.
var ErrInvalid = errors.New("not a page of an entry host: ask another seed")

// encode packs what a host that starts may learn from the page: the configuration, the
// services that earlier ones had, the upstreams with those that departed lately, and the
// evacuations in force.
func encode(page *catalog.Page) ([]byte, error) {
	shared := catalog.Page{Position: page.Position, Age: page.Age, History: page.History}
	for i := range page.Changes {
		c := &page.Changes[i]
		departed := c.Removed != "" && c.LastRegistration != nil
		if c.Configuration != nil || c.Upstream != nil || departed || c.Evacuation != nil && !c.Evacuation.Withdrawn {
			shared.Changes = append(shared.Changes, *c)
		}
	}
	return gobpack.Pack(&shared)
}

// decode unpacks a page and keeps only what a seed may tell.
func decode(packed []byte) (catalog.Page, error) {
	var page catalog.Page
	if err := gobpack.Unpack(packed, &page); err != nil {
		return catalog.Page{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	allowed := catalog.Page{Position: page.Position, Age: page.Age, History: page.History, Unconfirmed: true}
	configured, evacuations := false, 0
	for i := range page.Changes {
		change := &page.Changes[i]
		switch {
		case change.Configuration != nil && change.Configuration.Version != 0:
			configured = true
			allowed.Changes = append(allowed.Changes, catalog.Change{Position: change.Position, Configuration: change.Configuration})
		case change.Upstream != nil && change.Upstream.ID != 0 && change.Upstream.Slots > 0:
			allowed.Changes = append(allowed.Changes, catalog.Change{Position: change.Position, Upstream: change.Upstream})
		case change.Evacuation != nil && validEvacuation(change.Evacuation) && evacuations < maxEvacuations:
			evacuations++
			position := change.Position
			if position.Revision == 0 {
				// The seed keeps a request that the store has lost.
				position = page.Position
			}
			allowed.Changes = append(allowed.Changes, catalog.Change{
				Position:   position,
				Evacuation: &catalog.EvacuationRecord{DataCentre: change.Evacuation.DataCentre, Age: max(0, change.Evacuation.Age)},
			})
		case change.Removed != "" && change.LastRegistration != nil && change.LastRegistration.ID != 0:
			allowed.Changes = append(allowed.Changes, catalog.Change{
				Position: change.Position, Removed: change.Removed, LastRegistration: change.LastRegistration, RemovedAge: change.RemovedAge,
			})
		}
	}
	if !configured || page.Position.Revision == 0 {
		return catalog.Page{}, fmt.Errorf("%w: no configuration or no position", ErrInvalid)
	}
	return allowed, nil
}

// validEvacuation reports whether the record is a request with a name that the store may
// have.
func validEvacuation(r *catalog.EvacuationRecord) bool {
	return !r.Withdrawn && r.DataCentre != "" && len(r.DataCentre) <= maxNameBytes && utf8.ValidString(r.DataCentre)
}
