// Package publishrunner carries out publications: it performs the reads and writes of package
// publish against the platform.
package publishrunner

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"time"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/publish"
	"github.com/oatlatch/oatlatch/internal/service"
	"github.com/rs/zerolog"
)

// Options configure a publication.
type Options struct {
	// Operator is recorded with the publication and named in the error of a publication
	// that conflicts with it.
	Operator string
	// Remove names services to remove. Published services that are neither given nor
	// named here are kept.
	Remove []string
	// Base, if not zero, makes a change to a service that was published after that version
	// a conflict.
	Base config.Version
	// AboveVersion, if not zero, makes the new version higher than it.
	AboveVersion config.Version
	// RotateTicketKeys adds a new ticket key in front of those in use.
	RotateTicketKeys bool
	// Random is a cryptographically secure source for keys and identifiers; the default
	// is crypto/rand.
	Random io.Reader
	// Seed seeds the jitter of the backoff between attempts.
	Seed uint64
	// Now returns the wall clock time; the default is time.Now.
	Now    func() time.Time
	Logger zerolog.Logger
}

// publicationIDBytes is the length of a publication's random identifier in bytes.
const publicationIDBytes = 12

func (o *Options) setDefaults() {
	if o.Random == nil {
		o.Random = rand.Reader
	}
	if o.Now == nil {
		o.Now = time.Now
	}
}

// request returns the request to publish the services, with a new ID and new keys.
func (o *Options) request(services []service.Service) (publish.Request, error) {
	r := publish.Request{
		Operator:         o.Operator,
		Services:         services,
		Remove:           o.Remove,
		Base:             o.Base,
		AboveVersion:     o.AboveVersion,
		RotateTicketKeys: o.RotateTicketKeys,
		At:               o.Now(),
	}
	id := make([]byte, publicationIDBytes)
	for _, secret := range [][]byte{id, r.Secrets.FlowKey[:], r.Secrets.TicketKey[:]} {
		if _, err := io.ReadFull(o.Random, secret); err != nil {
			return r, fmt.Errorf("read random bytes for the publication's ID and keys: %w", err)
		}
	}
	r.ID = hex.EncodeToString(id)
	return r, nil
}
