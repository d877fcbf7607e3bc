package publish

import (
	"slices"

	"github.com/oatlatch/oatlatch/internal/config"
)

// outcome is what a read tells of a write whose answer was lost.
type outcome int

const (
	// landed: the write took effect.
	landed outcome = iota + 1
	// notLanded: the write did not take effect and cannot any more.
	notLanded
	// undecided: nothing has been written since, so the write may still arrive.
	undecided
	// unknown: too much was written since to tell.
	unknown
)

// resolve decides what became of the plan's write from a state read after it.
func resolve(id string, p *plan, s State) outcome {
	if s.Revision == p.revision {
		return undecided
	}
	if s.Bundle == nil {
		return unknown
	}
	manifest := &s.Bundle.Snapshot.Manifest
	if _, ok := manifest.Publication(id); ok {
		return landed
	}
	if remembersSince(manifest.Publications, p.base) {
		return notLanded
	}
	return resolveByEntries(id, p, s)
}

// remembersSince reports whether all publications after the version are listed.
func remembersSince(publications []config.Publication, base config.Version) bool {
	if len(publications) < config.MaxPublications {
		return true
	}
	return slices.ContainsFunc(publications, func(p config.Publication) bool { return p.Version <= base })
}

// resolveByEntries looks for traces of the write in the services.
func resolveByEntries(id string, p *plan, s State) outcome {
	for _, entry := range s.Bundle.Snapshot.Manifest.Services {
		if entry.Publication == id {
			return landed
		}
		if entry.Changed == p.version {
			// Another publication owns the version that the write would have had.
			return notLanded
		}
	}
	for _, c := range p.changes {
		if entry, ok := s.entry(c.name); ok && entry.Changed <= p.base {
			return notLanded
		}
	}
	return unknown
}
