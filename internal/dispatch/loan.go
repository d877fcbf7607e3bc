package dispatch

import (
	"sync"
	"time"

	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/service"
)

// LendArgs asks a host to lend one of its free slots for one request.
type LendArgs struct {
	Service service.ID
	// Loan is an identifier chosen by the borrower, unique among its loans.
	Loan    uint64
	Exclude []string
	// LeaseMs is the time in milliseconds after which the borrower no longer uses the slot.
	LeaseMs int64
}

// LendReply names the upstream of the lent slot. The name is empty if no slot is free.
type LendReply struct {
	Upstream string
}

// ReturnArgs ends a loan.
type ReturnArgs struct {
	Loan uint64
	// Refused reports that the upstream refused the request before running it or could not
	// be reached.
	Refused bool
}

// ReturnReply is the empty reply to a return.
type ReturnReply struct{}

// loanKey identifies a loan at the lender.
type loanKey struct {
	borrower host.ID
	id       uint64
}

// loan is a slot that has been lent to another host.
type loan struct {
	allocator *slotAllocator
	upstream  string
	expiresAt time.Time
}

// loanTable holds the slots that this host has lent to others.
type loanTable struct {
	mu     sync.Mutex
	active map[loanKey]loan
}

func (t *loanTable) put(key loanKey, l loan) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active[key] = l
}

func (t *loanTable) take(key loanKey) (loan, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, ok := t.active[key]
	delete(t.active, key)
	return l, ok
}

// sweep frees the slots of loans whose lease has ended.
func (t *loanTable) sweep(now time.Time) {
	t.mu.Lock()
	var expired []loan
	for key, l := range t.active {
		if now.After(l.expiresAt) {
			expired = append(expired, l)
			delete(t.active, key)
		}
	}
	t.mu.Unlock()
	for _, l := range expired {
		l.allocator.release(l.upstream, 0, false)
	}
}

// leaseMargin is added to each lease, because a request that is cancelled at its deadline
// keeps the upstream busy for a little longer.
const leaseMargin = 500 * time.Millisecond

// Lend lends one of this host's free slots to the peer for one request.
func (s *peerService) Lend(args *LendArgs, reply *LendReply) error {
	r := s.d.routeByID(args.Service)
	if r == nil || s.d.isDraining() {
		return nil
	}
	lease := min(time.Duration(args.LeaseMs)*time.Millisecond, s.d.limits.MaxDeadline) + leaseMargin
	upstream, ok := r.allocator.lend(args.Exclude)
	if !ok {
		return nil
	}
	reply.Upstream = upstream
	s.d.loans.put(loanKey{s.from, args.Loan}, loan{
		allocator: r.allocator, upstream: upstream, expiresAt: s.d.options.Now().Add(lease),
	})
	return nil
}

// Return ends a loan and frees its slot.
func (s *peerService) Return(args *ReturnArgs, reply *ReturnReply) error {
	if l, ok := s.d.loans.take(loanKey{s.from, args.Loan}); ok {
		l.allocator.release(l.upstream, 0, args.Refused)
	}
	return nil
}
