package publish

import (
	"slices"
	"strings"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/service"
)

// change is one service that the publication adds, replaces or removes, against
// the entry that it was prepared from.
type change struct {
	name string
	// desired is nil for a removal.
	desired *service.Service
	hash    string
	// origin is the entry when the publication was prepared; zero when there was none.
	origin config.Entry
}

// changesFrom returns what the request changes in the state, sorted by name.
func changesFrom(r Request, s State) ([]change, error) {
	if err := checkRequest(r); err != nil {
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
			changes = append(changes, change{name: svc.Name, desired: &svc, hash: hash, origin: entry})
		}
	}
	for _, name := range r.Remove {
		entry, published := s.entry(name)
		if !published {
			return nil, &UnknownServiceError{Service: name}
		}
		changes = append(changes, change{name: name, origin: entry})
	}
	slices.SortFunc(changes, func(a, b change) int { return strings.Compare(a.name, b.name) })
	return changes, checkBase(r.Base, changes, s)
}

func checkRequest(r Request) error {
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
			return &InvalidServiceError{Service: svc.Name, Reason: "it is to be removed too: delete its file or do not remove it"}
		}
	}
	return nil
}

func checkBase(base config.Version, changes []change, s State) error {
	if base == 0 {
		return nil
	}
	for _, c := range changes {
		if c.origin.Changed > base {
			return conflict(c.name, c.origin, s)
		}
	}
	return nil
}

// pending returns the changes that the state does not hold yet, or a
// *ConflictError if another publication changed one of their services.
func pending(changes []change, s State) ([]change, error) {
	var left []change
	for _, c := range changes {
		entry, published := s.entry(c.name)
		switch {
		case c.desired == nil && !published:
			// Another publication removed it as well.
		case c.desired != nil && published && entry.Hash == c.hash:
			// Another publication wrote the same contents.
		case entry != c.origin:
			return nil, conflict(c.name, entry, s)
		default:
			left = append(left, c)
		}
	}
	return left, nil
}

func conflict(name string, entry config.Entry, s State) error {
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

// lastRemoval returns the last publication that names the service, which is the
// one that removed it.
func lastRemoval(name string, s State) config.Publication {
	publications := s.snapshot().Manifest.Publications
	for i := len(publications) - 1; i >= 0; i-- {
		if slices.Contains(publications[i].Services, name) {
			return publications[i]
		}
	}
	return config.Publication{ID: "unknown"}
}

func names(changes []change) []string {
	out := make([]string, 0, len(changes))
	for _, c := range changes {
		out = append(out, c.name)
	}
	return out
}
