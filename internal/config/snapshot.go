package config

import "github.com/oatlatch/oatlatch/internal/service"

// Snapshot is a complete configuration in its validated form. It is immutable:
// readers share it and never change it.
type Snapshot struct {
	Manifest Manifest
	// Services are in the order of the manifest's entries, with their IDs set.
	Services []service.Service
}

// Version returns the version of the snapshot; zero stands for no configuration.
func (s *Snapshot) Version() Version {
	if s == nil {
		return 0
	}
	return s.Manifest.Version
}

// Records returns the services with what the manifest says of their last change.
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
