package admission

import "time"

// Lengths of the pause of an upstream that refuses requests.
const (
	firstPause = 50 * time.Millisecond
	maxPause   = 2 * time.Second
)

// pause keeps new requests away from an upstream that refused one.
type pause struct {
	until  time.Time
	length time.Duration
}
