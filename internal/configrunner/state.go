package configrunner

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/config"
)

// adopterState is an immutable copy of the adopter's state for other goroutines.
type adopterState struct {
	// bundle is the adopted configuration; nil if there is none.
	bundle *config.Bundle
	status config.Status
	// takenAt is when the state was copied.
	takenAt time.Time
}

// confirmedAge returns the status's ConfirmedAge as of now; negative if it is not known.
func (s *adopterState) confirmedAge(now time.Time) time.Duration {
	if s.status.ConfirmedAge < 0 {
		return s.status.ConfirmedAge
	}
	return s.status.ConfirmedAge + max(0, now.Sub(s.takenAt))
}
