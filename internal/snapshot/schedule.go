package snapshot

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

const (
	// minWriteInterval is the minimum time between two writes of one host.
	minWriteInterval = time.Second
	// takeoverDelay is how much longer each further host waits for the hosts before it to
	// write a snapshot that is due. It covers two missed reads of the store.
	takeoverDelay = 3 * time.Second
)

// Inputs are what a host knows when it decides whether to write a snapshot.
type Inputs struct {
	// Rank is the number of hosts that are to write before this one.
	Rank int
	// Own is the state of the host's catalog.
	Own catalog.Have
	// Stored is the snapshot in the store, as far as the host knows.
	Stored catalog.StoredSnapshot
}

// Schedule decides when a host writes a snapshot. The host of rank 0 writes one when the
// configuration has changed or the store was restored from a copy, and otherwise at the
// refresh interval. The other hosts do so only if the stored one remains out of date. It is not safe for concurrent use.
type Schedule struct {
	refreshInterval time.Duration
	// stored is the position of the stored snapshot at the last call of Due, and
	// storedSince is when it was first seen.
	stored      catalog.Position
	storedSince time.Time
	// outdatedSince is when the stored snapshot was first seen to be missing, to be of an
	// earlier epoch or to hold an older configuration than this host; zero if it is not.
	outdatedSince time.Time
	// lastWrite is the time of the last call of Due that returned true.
	lastWrite time.Time
}

// NewSchedule returns a schedule that refreshes snapshots at the interval.
func NewSchedule(refreshInterval time.Duration) *Schedule {
	return &Schedule{refreshInterval: refreshInterval}
}

// Due reports whether the host must write a snapshot now.
func (s *Schedule) Due(now time.Time, in Inputs) bool {
	if s.storedSince.IsZero() || in.Stored.Written != s.stored {
		s.stored, s.storedSince = in.Stored.Written, now
	}
	outdated := in.Stored.Written.Revision == 0 || in.Stored.Version < in.Own.Version || in.Stored.Position.Epoch < in.Own.Position.Epoch
	switch {
	case !outdated:
		s.outdatedSince = time.Time{}
	case s.outdatedSince.IsZero():
		s.outdatedSince = now
	}
	if !in.Own.Position.After(in.Stored.Position) {
		return false
	}
	if !s.lastWrite.IsZero() && now.Sub(s.lastWrite) < minWriteInterval {
		return false
	}
	delay := time.Duration(in.Rank) * takeoverDelay
	due := now.Sub(s.storedSince) >= s.refreshInterval+delay || outdated && now.Sub(s.outdatedSince) >= delay
	if due {
		s.lastWrite = now
	}
	return due
}

// Rank returns the rank of the host in the data centre for Inputs: the number of data
// centres whose first host comes before the first host of its own. hosts must be in the
// order of catalog.View.Hosts. In each data centre, the first host reads the store, so
// only few hosts with the same rank read it.
func Rank(hosts []catalog.Host, dataCentre string) int {
	before := make(map[string]struct{})
	for _, h := range hosts {
		if h.DataCentre == dataCentre {
			break
		}
		before[h.DataCentre] = struct{}{}
	}
	return len(before)
}
