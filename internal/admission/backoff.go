package admission

import "time"

// Limits of the backoff of an upstream that refuses requests.
const (
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// backoff is the time during which an upstream that refused a request gets none if
// another one is usable.
type backoff struct {
	until  time.Time
	length time.Duration
}
