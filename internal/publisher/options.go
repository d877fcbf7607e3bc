// Package publisher drives a publication against the platform.
package publisher

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

// Options say how to publish.
type Options struct {
	// Operator is named to others whose publication conflicts with this one.
	Operator string
	// Remove names services to remove. A service whose file is not given stays published.
	Remove []string
	// Base, if not zero, makes every service that was changed after that version a conflict.
	Base config.Version
	// Above, if not zero, raises the new version above it.
	Above config.Version
	// RotateTicketKeys adds a new ticket key in front of those in use.
	RotateTicketKeys bool
	// Random is a secure source of keys and identifiers; nil stands for crypto/rand.
	Random io.Reader
	// Seed decides the jitter between attempts.
	Seed   uint64
	Now    func() time.Time
	Logger zerolog.Logger
}

// publicationIDBytes is the length of a publication's random identifier.
const publicationIDBytes = 12

func (o *Options) setDefaults() {
	if o.Random == nil {
		o.Random = rand.Reader
	}
	if o.Now == nil {
		o.Now = time.Now
	}
}

func (o *Options) request(services []service.Service) (publish.Request, error) {
	r := publish.Request{
		Operator:         o.Operator,
		Services:         services,
		Remove:           o.Remove,
		Base:             o.Base,
		Above:            o.Above,
		RotateTicketKeys: o.RotateTicketKeys,
		At:               o.Now(),
	}
	id := make([]byte, publicationIDBytes)
	for _, secret := range [][]byte{id, r.Secrets.FlowKey[:], r.Secrets.TicketKey[:]} {
		if _, err := io.ReadFull(o.Random, secret); err != nil {
			return r, fmt.Errorf("read secure randomness for a publication: %w", err)
		}
	}
	r.ID = hex.EncodeToString(id)
	return r, nil
}
