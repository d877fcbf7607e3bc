package warmup

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// NextCall returns the call to make now. If there is none, it returns how long to wait
// before asking again, or 0 if no call will be due before the next view.
func (p *Permissions) NextCall() (call Call, wait time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	p.dropEndedLeases(now)
	due, next := p.dueCall(now)
	if due.Kind != 0 && now < p.retryAt {
		due, next = Call{}, p.retryAt
	}
	if due.Kind == 0 {
		if next == 0 {
			return Call{}, 0, false
		}
		return Call{}, max(next-now, time.Millisecond), false
	}
	due.sent = now
	return due, 0, true
}

// dropEndedLeases forgets the lease if the store has ended it, and the permissions of
// former leases that have ended.
func (p *Permissions) dropEndedLeases(now time.Duration) {
	if p.lease != nil && now-p.lease.usableUntil >= LeaseTTL-usableTime {
		p.lease = nil
	}
	for _, known := range p.processes {
		for i := range known.shares {
			if s := &known.shares[i]; s.lease != nil && s.lease != p.lease && now >= s.lease.usableUntil {
				s.lease = nil
			}
		}
	}
}

// dueCall returns the call that is due, or else the time of the next one, or else 0.
func (p *Permissions) dueCall(now time.Duration) (Call, time.Duration) {
	wanted, next, read := p.wantedShares(now)
	if p.lease != nil && (len(wanted) > 0 || p.needsLeaseAfter(now, p.lease.usableUntil)) {
		renewal := p.lease.usableUntil - renewalLead
		if now >= renewal {
			return Call{Kind: Renew, Lease: p.lease.id, Epoch: p.lease.epoch}, 0
		}
		next = earlier(next, renewal)
	}
	if len(wanted) == 0 {
		return Call{}, next
	}
	if ready := p.epochSeen + LeaseTTL; !p.epochKnown || !p.marked && now < ready {
		if !p.epochKnown || !p.read {
			return Call{Kind: Read}, 0
		}
		return Call{}, earlier(next, ready)
	}
	switch {
	case read:
		return Call{Kind: Read}, 0
	case p.lease == nil:
		return Call{Kind: Grant}, 0
	default:
		return Call{
			Kind: Acquire, Shares: wanted, Value: p.value(), Mark: !p.marked, Lease: p.lease.id, Epoch: p.lease.epoch,
		}, 0
	}
}

// wantedShares returns the shares that this host tries to get now, at most maxShares, and
// when the next one is due. It also tells whether the permissions have to be read first,
// because another host may have some of them.
func (p *Permissions) wantedShares(now time.Duration) (wanted []Share, next time.Duration, read bool) {
	for name, known := range p.processes {
		if known.warmAt-now < minRemaining {
			continue
		}
		for i := range known.shares {
			s := &known.shares[i]
			if s.lease != nil || s.turn < 0 || shareOf(known.budget, i) == 0 {
				continue
			}
			due := max(known.firstSeen+time.Duration(s.turn)*turnDelay, s.takenUntil)
			if now < due {
				next = earlier(next, due)
				continue
			}
			wanted = append(wanted, Share{Process: name, Index: i})
			read = read || (s.turn > 0 || s.takenUntil > 0) && (!p.read || p.readAt < due)
		}
	}
	slices.SortFunc(wanted, func(a, b Share) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Started, b.Started), cmp.Compare(a.Index, b.Index))
	})
	return wanted[:min(len(wanted), maxShares)], next, read
}

// needsLeaseAfter reports whether a process of which this host has a permission by the
// current lease still warms up at the given time.
func (p *Permissions) needsLeaseAfter(now, end time.Duration) bool {
	for _, known := range p.processes {
		if known.warmAt <= max(now, end) {
			continue
		}
		for i := range known.shares {
			if known.shares[i].lease == p.lease {
				return true
			}
		}
	}
	return false
}

// value returns the value of the permissions that this host writes with its lease.
func (p *Permissions) value() string {
	return fmt.Sprintf("%s %x %d %d", p.options.Host, p.options.Instance, p.lease.epoch, p.lease.id)
}

// earlier returns the earlier one of two times, of which 0 means none.
func earlier(a, b time.Duration) time.Duration {
	if a == 0 {
		return b
	}
	return min(a, b)
}
