package forward

import "time"

// minStandstill is the shortest time without a read, while a packet waits, that counts as a
// standstill of the process. It is shorter than the time after which routers leave a host out,
// and longer than pauses of a process with a small share of a core.
const minStandstill = 400 * time.Millisecond

// standstill finds the packets that waited because the process stood still. Packets that wait
// because the host is slow are not among them: then the read before was a moment ago.
type standstill struct {
	// lastRead is when the last packet was read, and until the end of the last standstill.
	lastRead, until time.Time
}

// observe is called for each packet that is read. It returns how long the packet waited if it
// was received before the end of a standstill, or zero.
func (s *standstill) observe(now, received time.Time) time.Duration {
	idle := now.Sub(received)
	if !s.lastRead.IsZero() {
		idle = min(idle, now.Sub(s.lastRead))
	}
	s.lastRead = now
	if idle >= minStandstill {
		s.until = now
	}
	if received.Before(s.until) {
		return now.Sub(received)
	}
	return 0
}
