package member

import (
	"errors"
	"fmt"
)

// ErrStopped means that the runner does not run.
var ErrStopped = errors.New("member: the runner has stopped: call before its context ends")

// ErrNotAnnounced means that not all hosts in contact have confirmed that this host leaves.
var ErrNotAnnounced = errors.New("member: the announcement was not confirmed in time: hosts will notice the stop within 3 s")

func errNotAnnounced(cause error) error {
	return fmt.Errorf("%w: %w", ErrNotAnnounced, cause)
}
