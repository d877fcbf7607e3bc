package warmup

import (
	"math"
	"slices"
	"time"
)

const (
	// SharesPerProcess is the number of shares of a budget. It must be the same on all
	// hosts, so it does not depend on their number. With more shares, more hosts can serve
	// a service whose upstreams are all cold, and the loss of a holder costs less; each
	// share costs calls to the store.
	SharesPerProcess = 8
	// window is the time over which the opening packets of a share are counted. It is
	// longer than the second that budgets refer to, because packets may arrive closer to
	// each other than they were sent.
	window = 1100 * time.Millisecond
	// minReservingBudget is the smallest budget of which one packet is reserved. A host
	// that is paused between its decision and the sending of the packet sends it late,
	// which may be while another host uses the share.
	minReservingBudget = 5
	// maxBudget limits the memory for counted packets.
	maxBudget = 1 << 16
)

// Budget returns how many opening packets a cold upstream may get in any second from all
// hosts together.
func Budget(perSecond, overage, slack float64) int {
	budget := math.Floor(perSecond*overage + slack)
	if !(budget > 0) {
		return 0
	}
	return int(min(budget, maxBudget))
}

// shareOf returns how many opening packets the holder of the share with the given index may
// send within window. The shares add up to the budget, less the reserved packet.
func shareOf(budget, index int) int {
	if budget >= minReservingBudget {
		budget--
	}
	return (budget + index) / SharesPerProcess
}

// sendTimes are the times of the packets sent in the last window, in ascending order.
type sendTimes struct {
	times []time.Duration
}

// count returns the number of packets that were sent within window before now.
func (s *sendTimes) count(now time.Duration) int {
	expired := 0
	for expired < len(s.times) && now-s.times[expired] >= window {
		expired++
	}
	if expired > 0 {
		s.times = slices.Delete(s.times, 0, expired)
	}
	return len(s.times)
}

func (s *sendTimes) add(now time.Duration) { s.times = append(s.times, now) }
