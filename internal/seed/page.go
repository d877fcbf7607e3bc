// Package seed lets a host that starts while the platform's store does not answer learn
// routes and upstreams from another host. Neither host can authenticate the other, since
// the peer key is in the store, so a page from a seed holds no secret and is believed only
// until the store answers.
package seed

import (
	"errors"
	"fmt"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/gobpack"
)

// maxPageBytes limits the size of a packed page.
const maxPageBytes = 1 << 20

// ErrInvalid means that the answer of a seed cannot be used.
var ErrInvalid = errors.New("not a page of an entry host: ask another seed")

// encode packs what a host that starts may learn from the page: the configuration, the
// services that earlier ones had, and the upstreams with those that departed lately.
func encode(page *catalog.Page) ([]byte, error) {
	shared := catalog.Page{Position: page.Position, Age: page.Age, History: page.History}
	for i := range page.Changes {
		if c := &page.Changes[i]; c.Configuration != nil || c.Upstream != nil || c.Removed != "" && c.LastRegistration != nil {
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
	configured := false
	for i := range page.Changes {
		change := &page.Changes[i]
		switch {
		case change.Configuration != nil && change.Configuration.Version != 0:
			configured = true
			allowed.Changes = append(allowed.Changes, catalog.Change{Position: change.Position, Configuration: change.Configuration})
		case change.Upstream != nil && change.Upstream.ID != 0 && change.Upstream.Slots > 0:
			allowed.Changes = append(allowed.Changes, catalog.Change{Position: change.Position, Upstream: change.Upstream})
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
