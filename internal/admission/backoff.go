package admission

import "time"

// Limits of the backoff of an upstream that refuses requests.
const (
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// backoff is the time during which an upstream that refused a request gets no further
// requests if another upstream is usable.
type backoff struct {
	until  time.Time
	length time.Duration
}
