package echo

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/evidence"
)

// upstream is a catalog entry with the engine's state for it.
type upstream struct {
	catalog.Entry
	suspicion
	ejection ejection
	// counts are the numbers of recent answers to this host.
	counts answerCounts
	// answeredAt is when a request of this host was last answered.
	answeredAt time.Time
	muteness   muteness
	// reported is the evidence of all hosts at reportedAt, and askedAt is when another host last
	// had the upstream in question.
	reported            evidence.Entry
	reportedAt, askedAt time.Time
	token               Token
	// seen is the current process.
	seen processSeen
	// local is set if the upstream is in the host's own data centre.
	local bool
	// evacuated is set while the upstream's data centre is evacuated.
	evacuated bool
	// stoppedTaking is when a view first had the upstream without taking new flows, since it
	// last took any.
	stoppedTaking time.Time
	// region has the bit of the region of the upstream's data centre, or none if that is
	// unknown.
	region regionSet
	// outstanding is the number of this host's flows that await a response, each
	// counted from its SYN on.
	outstanding int
	// openFlows is the number of this host's open flows.
	openFlows int
	recent    recentRequests
}

// tokenOf returns the token of the upstream with the given ID. All hosts derive the
// same token from the same ID. Nonzero IDs that fit into 32 bits have distinct tokens.
func tokenOf(id catalog.UpstreamID) Token {
	token := Token(uint64(id) ^ uint64(id)>>32)
	if token == 0 {
		// SYNs carry token 0, which identifies no upstream.
		return ^Token(0)
	}
	return token
}

// active reports whether the upstream itself is ready for new flows.
func (u *upstream) active() bool {
	return !u.Draining && u.Presence != catalog.Departed
}

// live reports whether the upstream may still serve its open flows, as far as its record
// tells.
func (u *upstream) live() bool { return u.Presence != catalog.Departed }

// acceptsFlows reports whether new flows may go to the upstream.
func (u *upstream) acceptsFlows() bool {
	return u.active() && !u.evacuated
}

// effectiveSlots returns the number of the upstream's slots, reduced by
// warmupSlotFraction while it warms up.
func (u *upstream) effectiveSlots(now time.Time) float64 {
	if now.Before(u.WarmUntil) {
		return float64(u.Slots) * warmupSlotFraction
	}
	return float64(u.Slots)
}

// queued returns how many of this host's requests, with a new one, exceed the slots at the
// time, and the slots.
func (u *upstream) queued(now time.Time) (requests, slots float64) {
	slots = u.effectiveSlots(now)
	return max(0, float64(u.outstanding+1)-slots), slots
}
