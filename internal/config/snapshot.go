package config

import "github.com/oatlatch/oatlatch/internal/service"

// Snapshot is a complete, validated configuration. It is immutable: readers share it and must
// not change it.
type Snapshot struct {
	Manifest Manifest
	// Services correspond by index to Manifest.Services and have their IDs set.
	Services []service.Service
}

// Version returns the version of the snapshot, or zero if s is nil.
func (s *Snapshot) Version() Version {
	if s == nil {
		return 0
	}
	return s.Manifest.Version
}

// Records returns the services, each with the version and publication of its last change.
func (s *Snapshot) Records() []Record {
	if s == nil {
		return nil
	}
	records := make([]Record, 0, len(s.Services))
	for i, svc := range s.Services {
		entry := s.Manifest.Services[i]
		records = append(records, Record{Changed: entry.Changed, Publication: entry.Publication, Service: svc})
	}
	return records
}
