package publish

import (
	"slices"
	"strings"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/service"
)

// change adds, replaces or removes one service. It records the entry that it was
// computed from, so that a concurrent change of the service is detected.
type change struct {
	name string
	// desired is nil for a removal.
	desired *service.Service
	// hash is the content hash of desired.
	hash string
	// original is the entry when the change was computed; zero if there was none.
	original config.Entry
}

// computeChanges compares the request with the state and returns the services that
// differ, sorted by name.
func computeChanges(r Request, s State) ([]change, error) {
	if err := validateRequest(r); err != nil {
		return nil, err
	}
	var changes []change
	for i := range r.Services {
		svc := r.Services[i]
		hash, err := config.HashService(svc)
		if err != nil {
			return nil, err
		}
		entry, published := s.entry(svc.Name)
		if !published || entry.Hash != hash {
			changes = append(changes, change{name: svc.Name, desired: &svc, hash: hash, original: entry})
		}
	}
	for _, name := range r.Remove {
		entry, published := s.entry(name)
		if !published {
			return nil, &UnknownServiceError{Service: name}
		}
		changes = append(changes, change{name: name, original: entry})
	}
	slices.SortFunc(changes, func(a, b change) int { return strings.Compare(a.name, b.name) })
	return changes, checkBaseVersion(r.Base, changes, s)
}

// validateRequest rejects duplicate services, services without a name or an address,
// and services that the request both publishes and removes.
func validateRequest(r Request) error {
	if err := config.CheckDuplicates(r.Services); err != nil {
		return err
	}
	for _, svc := range r.Services {
		switch {
		case svc.Name == "":
			return &InvalidServiceError{Service: svc.Name, Reason: "it has no name"}
		case !svc.Address.IsValid():
			return &InvalidServiceError{Service: svc.Name, Reason: "it has no address"}
		case slices.Contains(r.Remove, svc.Name):
			return &InvalidServiceError{Service: svc.Name, Reason: "it is also listed for removal: delete its file or do not remove it"}
		}
	}
	return nil
}

// checkBaseVersion returns a *ConflictError if a service to change was published after
// the base version. Zero disables the check.
func checkBaseVersion(base config.Version, changes []change, s State) error {
	if base == 0 {
		return nil
	}
	for _, c := range changes {
		if c.original.Changed > base {
			return newConflictError(c.name, c.original, s)
		}
	}
	return nil
}

// pendingChanges returns the changes that the state does not contain yet, or a
// *ConflictError if another publication changed one of their services differently.
func pendingChanges(changes []change, s State) ([]change, error) {
	var remaining []change
	for _, c := range changes {
		entry, published := s.entry(c.name)
		switch {
		case c.desired == nil && !published:
			// Another publication has removed it already.
		case c.desired != nil && published && entry.Hash == c.hash:
			// Another publication has written the same contents already.
		case entry != c.original:
			return nil, newConflictError(c.name, entry, s)
		default:
			remaining = append(remaining, c)
		}
	}
	return remaining, nil
}

// newConflictError names the publication that last changed the service, with as much
// detail as the head still lists. A zero entry means that the service was removed.
func newConflictError(name string, entry config.Entry, s State) error {
	other := config.Publication{ID: entry.Publication, Version: entry.Changed}
	if s.Bundle == nil {
		other.ID = "unknown"
		return &ConflictError{Service: name, Other: other}
	}
	if known, ok := s.snapshot().Manifest.Publication(entry.Publication); ok {
		other = known
	}
	if entry.Publication == "" {
		other = lastRemoval(name, s)
	}
	return &ConflictError{Service: name, Other: other}
}

// lastRemoval returns the latest publication that lists the service. The service is
// not published any more, so this is the publication that removed it.
func lastRemoval(name string, s State) config.Publication {
	publications := s.snapshot().Manifest.Publications
	for i := len(publications) - 1; i >= 0; i-- {
		if slices.Contains(publications[i].Services, name) {
			return publications[i]
		}
	}
	return config.Publication{ID: "unknown"}
}

func changeNames(changes []change) []string {
	names := make([]string, 0, len(changes))
	for _, c := range changes {
		names = append(names, c.name)
	}
	return names
}
