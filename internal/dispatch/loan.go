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
	// Loan is chosen by the borrower, unique among its loans.
	Loan    uint64
	Exclude []string
	// LeaseMs is the time after which the borrower surely no longer uses the slot.
	LeaseMs int64
}

// LendReply names the upstream of the slot; it is empty when none is free.
type LendReply struct {
	Upstream string
}

// ReturnArgs ends a loan.
type ReturnArgs struct {
	Loan uint64
	// Refused says that the upstream refused the request before running it.
	Refused bool
}

// ReturnReply is empty.
type ReturnReply struct{}

// loanKey names a loan at the lender.
type loanKey struct {
	borrower host.ID
	id       uint64
}

// loan is a slot that another host uses.
type loan struct {
	lane     *lane
	upstream string
	expires  time.Time
}

// loanBook keeps the slots that a host has lent.
type loanBook struct {
	mu   sync.Mutex
	open map[loanKey]loan
}

func (b *loanBook) put(key loanKey, l loan) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open[key] = l
}

func (b *loanBook) take(key loanKey) (loan, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l, ok := b.open[key]
	delete(b.open, key)
	return l, ok
}

// sweep takes back the slots of loans whose lease has ended.
func (b *loanBook) sweep(now time.Time) {
	b.mu.Lock()
	var ended []loan
	for key, l := range b.open {
		if now.After(l.expires) {
			ended = append(ended, l)
			delete(b.open, key)
		}
	}
	b.mu.Unlock()
	for _, l := range ended {
		l.lane.release(l.upstream, 0, false)
	}
}

// leaseMargin covers the time in which a cancelled request leaves its upstream.
const leaseMargin = 500 * time.Millisecond

// Lend takes one of this host's free slots for a request of the peer.
func (s *peerService) Lend(args *LendArgs, reply *LendReply) error {
	r := s.d.route(args.Service)
	if r == nil || s.d.isDraining() {
		return nil
	}
	lease := min(time.Duration(args.LeaseMs)*time.Millisecond, s.d.limits.MaxDeadline) + leaseMargin
	upstream, ok := r.lane.lend(args.Exclude)
	if !ok {
		return nil
	}
	reply.Upstream = upstream
	s.d.loans.put(loanKey{s.from, args.Loan}, loan{
		lane: r.lane, upstream: upstream, expires: s.d.options.Now().Add(lease),
	})
	return nil
}

// Return takes a lent slot back.
func (s *peerService) Return(args *ReturnArgs, reply *ReturnReply) error {
	if l, ok := s.d.loans.take(loanKey{s.from, args.Loan}); ok {
		l.lane.release(l.upstream, 0, args.Refused)
	}
	return nil
}
