package warmup

import (
	"slices"
	"sync"
	"time"
)

const (
	// LeaseTTL is the time to live of a lease. A longer one costs fewer renewals, but the
	// shares of a host that dies are unused for as long, and so are all new permissions
	// after a restore of the store.
	LeaseTTL = 8 * time.Second
	// usableTime is how long after a grant or renewal was sent a host uses the permissions
	// of the lease. The rest of LeaseTTL, less one percent for clocks of different speed,
	// is longer than window, so that the opening packets of a holder and its successor
	// are never counted together.
	usableTime = LeaseTTL - LeaseTTL/100 - handover
	handover   = 1250 * time.Millisecond
	// renewalLead is how long before the end of usableTime a lease is renewed.
	renewalLead = 1250 * time.Millisecond
	// maxShares is the maximum number of shares of one Acquire call. With the mark it
	// writes 32 keys.
	maxShares = 31
	// minRemaining is the shortest remaining warm-up for which a host asks for a permission.
	minRemaining = 250 * time.Millisecond
	// minRetryDelay and maxRetryDelay are the delays after a failed call.
	minRetryDelay = 300 * time.Millisecond
	maxRetryDelay = 2400 * time.Millisecond
)

// Options configure Permissions.
type Options struct {
	// Host is the name of the host.
	Host string
	// Instance distinguishes the processes of the host.
	Instance uint64
	// Now returns the time since some fixed moment by a clock that counts pauses of the
	// process and suspensions of the machine and never jumps. All hosts' clocks run at the
	// same speed, but need not show the same time.
	Now func() time.Duration
}

// Permissions holds the permissions of one host. It is safe for concurrent use, but only
// one call to the store may be in progress at a time.
//
// At most one host uses a share at a time, because the store has at most one lease for its
// key, and a host counts the lease from before it sent the call. If the store is restored
// from an older copy, it may give away the permissions of leases that are still in use. A
// host therefore uses no permission of an epoch before LeaseTTL has passed since the epoch
// began: since the host learned of the epoch, unless a mark in the store shows that
// another host has seen that much of the epoch.
type Permissions struct {
	options Options

	mu        sync.Mutex
	hosts     []string
	processes map[Process]*process
	// epoch is the latest known epoch of the store, and epochSeen is when this host
	// learned of it. epochKnown is false until then.
	epoch      uint64
	epochSeen  time.Duration
	epochKnown bool
	// marked is set if the store has the mark of the epoch.
	marked bool
	// readAt is when the last Read call of the epoch was made; read is false if none was.
	readAt time.Duration
	read   bool
	// lease is the lease for further permissions, or nil. It is of the latest epoch.
	lease *lease
	// retryAt is when the next call may be made after failures in a row.
	retryAt  time.Duration
	failures int
}

// lease is a lease of this host.
type lease struct {
	id, epoch uint64
	// usableUntil is until when its permissions may be used.
	usableUntil time.Duration
}

// process is the state of a process that warms up.
type process struct {
	// warmAt is when it no longer warms up.
	warmAt time.Duration
	// budget is the budget of the process.
	budget int
	// firstSeen is when this host learned that it is cold.
	firstSeen time.Duration
	shares    [SharesPerProcess]share
}

// share is the state of a share.
type share struct {
	// lease is the lease of the permission, or nil if this host has none.
	lease *lease
	// turn is the turn in which this host tries to get the permission, or -1.
	turn int
	// takenUntil is until when another host is taken to have the permission.
	takenUntil time.Duration
	sent       sendTimes
}

// NewPermissions returns the permissions of a host that has none.
func NewPermissions(options Options) *Permissions {
	return &Permissions{options: options, processes: make(map[Process]*process)}
}

// SetView sets the processes that warm up, the registered hosts and the epoch of the
// store.
func (p *Permissions) SetView(cold []ColdProcess, hosts []string, epoch uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	p.observeEpoch(now, epoch)
	sorted := slices.Sorted(slices.Values(hosts))
	changed := !slices.Equal(sorted, p.hosts)
	p.hosts = sorted
	for _, c := range cold {
		known := p.processes[c.Process]
		isNew := known == nil
		if isNew {
			known = &process{firstSeen: now}
			p.processes[c.Process] = known
		}
		known.warmAt, known.budget = now+c.Remaining, c.Budget
		if isNew || changed {
			p.setTurns(c.Process, known)
		}
	}
	// A process that is no longer reported as cold is forgotten after a while, when its
	// packets no longer count.
	reported := make(map[Process]struct{}, len(cold))
	for _, c := range cold {
		reported[c.Process] = struct{}{}
	}
	for name, known := range p.processes {
		if _, ok := reported[name]; !ok {
			known.warmAt = min(known.warmAt, now)
		}
		if now-known.warmAt > LeaseTTL {
			delete(p.processes, name)
		}
	}
}

func (p *Permissions) setTurns(name Process, known *process) {
	count, delay := len(p.hosts), 0
	if _, registered := slices.BinarySearch(p.hosts, p.options.Host); !registered {
		// Other hosts do not count on this one, and it may not know them either.
		count, delay = count+1, 1
	}
	for i, turn := range turns(rankOf(name, p.options.Host, p.hosts), count) {
		if turn >= 0 {
			turn += delay
		}
		known.shares[i].turn = turn
	}
}

// observeEpoch begins a new epoch. Permissions of the former one stay in use until their
// leases end, but are not renewed.
func (p *Permissions) observeEpoch(now time.Duration, epoch uint64) {
	if p.epochKnown && epoch <= p.epoch {
		return
	}
	p.epoch, p.epochSeen, p.epochKnown = epoch, now, true
	p.marked, p.read, p.lease = false, false, nil
}

// Allows reports whether this host may send an opening packet to the process, which all
// hosts together may send budget of in a second.
func (p *Permissions) Allows(name Process, budget int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, _ := p.usableShare(name, budget)
	return s != nil
}

// Spend counts an opening packet to the process. It returns false if the packet must not be
// sent.
func (p *Permissions) Spend(name Process, budget int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, now := p.usableShare(name, budget)
	if s == nil {
		return false
	}
	s.sent.add(now)
	return true
}

// usableShare returns a share from which an opening packet may be sent now, or nil, and the
// time. It reads the clock, which takes a system call, only if this host has a permission:
// while many upstreams are cold, most questions are about others.
func (p *Permissions) usableShare(name Process, budget int) (*share, time.Duration) {
	known := p.processes[name]
	if known == nil {
		return nil, 0
	}
	var now time.Duration
	for i := range known.shares {
		s := &known.shares[i]
		if s.lease == nil {
			continue
		}
		if now == 0 {
			now = p.options.Now()
		}
		if now < s.lease.usableUntil && s.sent.count(now) < shareOf(budget, i) {
			return s, now
		}
	}
	return nil, 0
}

// Held returns the number of shares that this host may use, and the number of processes
// that warm up.
func (p *Permissions) Held() (shares, cold int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	for _, known := range p.processes {
		if now >= known.warmAt {
			continue
		}
		cold++
		for i := range known.shares {
			if l := known.shares[i].lease; l != nil && now < l.usableUntil {
				shares++
			}
		}
	}
	return shares, cold
}

// Finish reports the result of the last call that NextCall returned.
func (p *Permissions) Finish(call *Call, result *Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	if result.Outcome == Failed {
		p.retryAt = now + min(maxRetryDelay, minRetryDelay<<min(p.failures, 8))
		p.failures++
		return
	}
	p.failures, p.retryAt = 0, 0
	p.observeEpoch(now, result.Epoch)
	if call.Kind == Read {
		p.finishRead(now, call, result)
		return
	}
	if result.Epoch != p.epoch {
		return // a late response of a former epoch
	}
	if call.Kind == Grant {
		if result.Outcome == Done {
			p.lease = &lease{id: result.Lease, epoch: result.Epoch, usableUntil: call.sent + usableTime}
		}
		return
	}
	if p.lease == nil || p.lease.id != call.Lease || p.lease.epoch != call.Epoch {
		return // the store was restored meanwhile
	}
	switch {
	case result.Outcome == LeaseEnded:
		p.lease.usableUntil = 0
		p.lease = nil
	case call.Kind == Renew && result.Outcome == Done:
		p.lease.usableUntil = call.sent + usableTime
	case call.Kind == Acquire && result.Outcome == Done:
		p.marked = p.marked || call.Mark
		for _, name := range call.Shares {
			p.setHeld(name)
		}
	case call.Kind == Acquire && result.Outcome == Conflict:
		p.noteFound(now, call.Shares, result.Found)
		if len(result.Found) == 0 {
			p.retryAt = now + minRetryDelay // the conflict is over
		}
	}
}

// finishRead records the permissions of other hosts and the mark. A read may be out of
// date, but the mark of the latest epoch remains true.
func (p *Permissions) finishRead(now time.Duration, call *Call, result *Result) {
	p.readAt, p.read = call.sent, true
	if result.Marked && result.Mark == p.epoch {
		p.marked = true
	}
	for name, known := range p.processes {
		for i := range known.shares {
			p.noteFound(now, []Share{{Process: name, Index: i}}, result.Found)
		}
	}
}

// noteFound records which of the shares have a permission. One that this host wrote with
// its current lease, by a call whose response was lost, is its own.
func (p *Permissions) noteFound(now time.Duration, shares []Share, found map[Share]string) {
	for _, name := range shares {
		value, exists := found[name]
		known := p.processes[name.Process]
		switch {
		case !exists || known == nil || known.shares[name.Index].lease != nil:
		case p.lease != nil && value == p.value():
			p.setHeld(name)
		default:
			known.shares[name.Index].takenUntil = now + LeaseTTL
		}
	}
}

// setHeld records that this host has the permission for the share with its current lease.
func (p *Permissions) setHeld(name Share) {
	if known := p.processes[name.Process]; known != nil {
		known.shares[name.Index].lease = p.lease
	}
}
