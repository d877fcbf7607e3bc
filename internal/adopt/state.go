package adopt

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/config"
)

// state is what other goroutines see of the adopter. It is immutable.
type state struct {
	bundle *config.Bundle
	status config.Status
	// at is when the state was taken.
	at time.Time
}

func (s *state) confirmedAge(now time.Time) time.Duration {
	if s.status.ConfirmedAge < 0 {
		return s.status.ConfirmedAge
	}
	return s.status.ConfirmedAge + max(0, now.Sub(s.at))
}
