package publish

import (
	"slices"

	"github.com/oatlatch/oatlatch/internal/config"
)

// swapOutcome is what a later read shows about a swap whose response was lost.
type swapOutcome int

const (
	// swapTookEffect means that the head was written.
	swapTookEffect swapOutcome = iota + 1
	// swapHadNoEffect means that the head was not written and cannot be any more.
	swapHadNoEffect
	// swapPending means that the head is unchanged, so the write may still arrive.
	swapPending
	// swapUnknown means that the head was deleted, or that too many publications
	// followed to tell.
	swapUnknown
)

// resolveSwap determines the outcome of the plan's write from a state that was read
// after it.
func resolveSwap(id string, p *plan, s State) swapOutcome {
	if s.Revision == p.revision {
		return swapPending
	}
	if s.Bundle == nil {
		return swapUnknown
	}
	manifest := &s.Bundle.Snapshot.Manifest
	if _, ok := manifest.Publication(id); ok {
		return swapTookEffect
	}
	if listsAllSince(manifest.Publications, p.base) {
		return swapHadNoEffect
	}
	return resolveByEntries(id, p, s)
}

// listsAllSince reports whether the list holds every publication after the base
// version. Only the last config.MaxPublications are kept.
func listsAllSince(publications []config.Publication, base config.Version) bool {
	if len(publications) < config.MaxPublications {
		return true
	}
	return slices.ContainsFunc(publications, func(p config.Publication) bool { return p.Version <= base })
}

// resolveByEntries determines the outcome from the services when the list of
// publications does not reach back far enough.
func resolveByEntries(id string, p *plan, s State) swapOutcome {
	for _, entry := range s.Bundle.Snapshot.Manifest.Services {
		if entry.Publication == id {
			return swapTookEffect
		}
		if entry.Changed == p.version {
			// Another publication has the version that this write would have had.
			return swapHadNoEffect
		}
	}
	// A service that was not changed since the base version rules out the write, which
	// would have changed it.
	for _, c := range p.changes {
		if entry, ok := s.entry(c.name); ok && entry.Changed <= p.base {
			return swapHadNoEffect
		}
	}
	return swapUnknown
}
