// Package fake implements an in-memory platform that can simulate faults. It is used by
// tests, the demo and the stand-in server.
package fake

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/oatlatch/oatlatch/internal/consul"
	"github.com/oatlatch/oatlatch/internal/host"
)

// Store is an in-memory key-value store with revisions and watches, and a host list.
type Store struct {
	mu sync.Mutex
	// index is the revision of the last change.
	index  uint64
	values map[string]consul.Value
	hosts  consul.HostList
	// changed is closed and replaced at each change of the values.
	changed chan struct{}
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{index: 1, values: map[string]consul.Value{}, changed: make(chan struct{})}
}

// Get reads one key.
func (s *Store) Get(key string) consul.Value {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.get(key)
}

// get reads one key. The index of an absent key is that of the store, so a watch of it
// ends at the next change of any key. The caller holds mu.
func (s *Store) get(key string) consul.Value {
	value := s.values[key]
	value.Key = key
	value.Index = max(value.Revision, 1)
	if value.Revision == 0 {
		value.Index = s.index
	}
	return value
}

// List reads all keys with the prefix, sorted by key.
func (s *Store) List(prefix string) []consul.Value {
	s.mu.Lock()
	defer s.mu.Unlock()
	var matches []consul.Value
	for key, value := range s.values {
		if strings.HasPrefix(key, prefix) {
			matches = append(matches, value)
		}
	}
	slices.SortFunc(matches, func(a, b consul.Value) int { return strings.Compare(a.Key, b.Key) })
	return matches
}

// CompareAndSwap writes the key if it has the given revision, or if it is absent and the
// revision is zero. It reports whether it wrote the key.
func (s *Store) CompareAndSwap(key string, data []byte, revision uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.values[key].Revision != revision {
		return false
	}
	s.index++
	s.values[key] = consul.Value{Key: key, Data: slices.Clone(data), Revision: s.index, Index: s.index}
	s.notifyWatchers()
	return true
}

// Delete removes the key if it has the given revision, and reports whether it did. For
// an absent key and revision zero it also counts as a change.
func (s *Store) Delete(key string, revision uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.values[key].Revision != revision {
		return false
	}
	s.index++
	delete(s.values, key)
	s.notifyWatchers()
	return true
}

// notifyWatchers wakes the calls of Wait. The caller holds mu.
func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Wait waits until the key has changed since the index or ctx is done, and returns the
// current value. A restore also counts as a change of the keys whose index it lowers.
func (s *Store) Wait(ctx context.Context, key string, index uint64) consul.Value {
	for {
		s.mu.Lock()
		value, changed := s.get(key), s.changed
		s.mu.Unlock()
		// A present key has a lower index if the given one is from before a restore.
		if value.Index > index || value.Index < index && value.Exists() {
			return value
		}
		select {
		case <-ctx.Done():
			return value
		case <-changed:
		}
	}
}

// SetHosts replaces the host list.
func (s *Store) SetHosts(live, leaving []host.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = consul.HostList{Live: slices.Clone(live), Leaving: slices.Clone(leaving)}
}

// Hosts returns the host list.
func (s *Store) Hosts() consul.HostList {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts
}

// Copy returns an independent store with the same contents.
func (s *Store) Copy() *Store {
	s.mu.Lock()
	defer s.mu.Unlock()
	values := make(map[string]consul.Value, len(s.values))
	for key, value := range s.values {
		values[key] = value
	}
	return &Store{index: s.index, values: values, hosts: s.hosts, changed: make(chan struct{})}
}

// Restore replaces the contents by those of an earlier copy, which simulates a restore
// from a backup. The values keep the revisions of the copy.
func (s *Store) Restore(from *Store) {
	backup := from.Copy()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index++
	s.values, s.hosts = backup.values, backup.hosts
	s.notifyWatchers()
}
