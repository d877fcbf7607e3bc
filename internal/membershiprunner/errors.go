package membershiprunner

import (
	"errors"
	"fmt"
)

// ErrStopped means that Run has ended.
var ErrStopped = errors.New("member: the runner has stopped: call it before its context ends")

// ErrNotAnnounced means that not all hosts in contact have confirmed that this host is
// leaving.
var ErrNotAnnounced = errors.New("member: the announcement was not confirmed in time: hosts will notice the stop within 3 s")

func notAnnouncedError(cause error) error {
	return fmt.Errorf("%w: %w", ErrNotAnnounced, cause)
}
