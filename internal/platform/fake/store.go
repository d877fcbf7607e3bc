// Package fake holds an in-memory platform with faults for tests, the demo and
// the stand-in server.
package fake

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/platform"
)

// Store is an in-memory key-value store with revisions and watches.
type Store struct {
	mu      sync.Mutex
	index   uint64
	values  map[string]platform.Value
	hosts   platform.HostList
	changed chan struct{}
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{index: 1, values: map[string]platform.Value{}, changed: make(chan struct{})}
}

// Get reads one key.
func (s *Store) Get(key string) platform.Value {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.get(key)
}

func (s *Store) get(key string) platform.Value {
	value := s.values[key]
	value.Key = key
	value.Index = max(value.Revision, 1)
	if value.Revision == 0 {
		value.Index = s.index
	}
	return value
}

// List reads all keys under the prefix, sorted by key.
func (s *Store) List(prefix string) []platform.Value {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []platform.Value
	for key, value := range s.values {
		if strings.HasPrefix(key, prefix) {
			found = append(found, value)
		}
	}
	slices.SortFunc(found, func(a, b platform.Value) int { return strings.Compare(a.Key, b.Key) })
	return found
}

// CompareAndSwap writes the key if its revision is the given one.
func (s *Store) CompareAndSwap(key string, data []byte, revision uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.values[key].Revision != revision {
		return false
	}
	s.index++
	s.values[key] = platform.Value{Key: key, Data: slices.Clone(data), Revision: s.index, Index: s.index}
	s.wake()
	return true
}

// Delete removes the key if its revision is the given one.
func (s *Store) Delete(key string, revision uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.values[key].Revision != revision {
		return false
	}
	s.index++
	delete(s.values, key)
	s.wake()
	return true
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Wait blocks until the key's index exceeds the given one or ctx ends, and
// returns the key as it then is.
func (s *Store) Wait(ctx context.Context, key string, index uint64) platform.Value {
	for {
		s.mu.Lock()
		value, changed := s.get(key), s.changed
		s.mu.Unlock()
		// An index from before a restore lies beyond the store's own: answer at once.
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
	s.hosts = platform.HostList{Live: slices.Clone(live), Leaving: slices.Clone(leaving)}
}

// Hosts returns the host list.
func (s *Store) Hosts() platform.HostList {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts
}

// Copy returns an independent store with the same contents.
func (s *Store) Copy() *Store {
	s.mu.Lock()
	defer s.mu.Unlock()
	values := make(map[string]platform.Value, len(s.values))
	for key, value := range s.values {
		values[key] = value
	}
	return &Store{index: s.index, values: values, hosts: s.hosts, changed: make(chan struct{})}
}

// Restore replaces the contents by those of an earlier copy, as a restore from a
// backup does, and wakes all watches.
func (s *Store) Restore(from *Store) {
	backup := from.Copy()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index++
	s.values, s.hosts = backup.values, backup.hosts
	s.wake()
}
