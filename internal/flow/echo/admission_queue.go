package echo

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxWaitingFlows is the maximum number of flows that wait for a slot of one service.
	maxWaitingFlows = 256
	// maxAdmissionWait is how long a flow waits for a slot. After it, the flow goes to the
	// least used upstream, whose queue may have emptied meanwhile.
	maxAdmissionWait = 150 * time.Millisecond
	// firstSYNRetransmit and secondSYNRetransmit are the times after the first SYN at
	// which callers send the copies of it.
	firstSYNRetransmit  = 200 * time.Millisecond
	secondSYNRetransmit = 600 * time.Millisecond
	// floorInterval is the number of admissions of which one goes to a lower priority while
	// flows of several priorities wait. One in sixteen costs the higher priority 6% and lets
	// callers of the lower one see that their route is served.
	floorInterval = 16
)

// waitingFlow is a new flow that waits for a slot.
type waitingFlow struct {
	// syn is the flow's SYN.
	syn     Segment
	route   *route
	arrived time.Time
	// deadline is when the caller gives up the flow's first request.
	deadline time.Time
	// share is the share of the flow's caller, or nil without FairQueueing.
	share *callerShare
}

// late reports whether the flow's first request cannot be served by its deadline.
func (f *waitingFlow) late(now time.Time, processingTime time.Duration) bool {
	return f.deadline.Sub(now) < processingTime
}

func (f *waitingFlow) callerKey() callerKey {
	return callerKey{f.route.Priority, f.syn.Caller.Addr()}
}

// admissionQueue holds the flows that wait for a slot. They are admitted by priority, then in
// turn by route, in turn by caller, and by deadline. Without FairQueueing they are admitted by
// priority and deadline only.
type admissionQueue struct {
	// flows are in order of arrival, or without FairQueueing in order of admission.
	flows  []*waitingFlow
	shares fairShares
	// next is what firstFair last found, or nil if flows have come or gone since. nextLate
	// tells whether it was late.
	next     *waitingFlow
	nextLate bool
}

// find returns the waiting flow to which the SYN belongs, or nil.
func (q *admissionQueue) find(syn *Segment) *waitingFlow {
	for _, f := range q.flows {
		if f.syn.Caller == syn.Caller && f.syn.VirtualAddress == syn.VirtualAddress && f.syn.Seq == syn.Seq {
			return f
		}
	}
	return nil
}

// insert adds a flow by priority and deadline unless the queue is full.
func (q *admissionQueue) insert(f *waitingFlow) bool {
	if len(q.flows) >= maxWaitingFlows {
		return false
	}
	i, _ := slices.BinarySearchFunc(q.flows, f, compareWaiting)
	q.flows = slices.Insert(q.flows, i, f)
	return true
}

// insertFair adds a flow. If the queue is full, the newest flow of the caller with the most
// flows in the lowest priority gives way and is returned; it may be f itself, which is then
// not added.
func (q *admissionQueue) insertFair(f *waitingFlow) (displaced *waitingFlow) {
	if len(q.flows) >= maxWaitingFlows {
		displaced = q.victim(f)
		if displaced == f {
			return f
		}
		q.remove(displaced)
	}
	f.share = q.shares.join(f)
	q.flows, q.next = append(q.flows, f), nil
	return displaced
}

// victim returns the flow that gives way to the new flow f, or f.
func (q *admissionQueue) victim(f *waitingFlow) *waitingFlow {
	waiting := func(other *waitingFlow) int {
		if other.callerKey() == f.callerKey() {
			return q.callerWaiting(other) + 1
		}
		return q.callerWaiting(other)
	}
	victim, most := f, waiting(f)
	for _, other := range slices.Backward(q.flows) {
		count := waiting(other)
		if cmp.Or(cmp.Compare(other.route.Priority, victim.route.Priority), cmp.Compare(count, most)) > 0 {
			victim, most = other, count
		}
	}
	return victim
}

// callerWaiting returns the number of flows that wait and are of the flow's caller and priority.
func (q *admissionQueue) callerWaiting(f *waitingFlow) int { return q.shares.waiting[f.callerKey()] }

// first returns the flow to admit next, and whether it must wait no longer. It returns
// nil if no flow waits.
func (q *admissionQueue) first(now time.Time) (f *waitingFlow, waitedEnough bool) {
	for _, f := range q.flows {
		if now.Sub(f.arrived) >= maxAdmissionWait {
			return f, true
		}
	}
	if len(q.flows) == 0 {
		return nil, false
	}
	return q.flows[0], false
}

// firstFair is first with FairQueueing. The processing time tells which flows are late. Most
// calls find that no slot is free, so the choice is kept until it can differ.
func (q *admissionQueue) firstFair(now time.Time, processingTime time.Duration) (f *waitingFlow, waitedEnough bool) {
	if len(q.flows) == 0 {
		return nil, false
	}
	waited := func(f *waitingFlow) bool { return now.Sub(f.arrived) >= maxAdmissionWait }
	waitedEnough = waited(q.flows[0])
	if !waitedEnough && q.next != nil && q.next.late(now, processingTime) == q.nextLate {
		return q.next, false
	}
	candidates := q.flows
	if waitedEnough {
		if i := slices.IndexFunc(q.flows, func(f *waitingFlow) bool { return !waited(f) }); i >= 0 {
			candidates = q.flows[:i]
		}
	}
	f = q.shares.first(candidates, q.nextPriority(), now, processingTime)
	if !waitedEnough {
		q.next, q.nextLate = f, f.late(now, processingTime)
	}
	return f, waitedEnough
}

// insteadOf returns the flow to consider if f, which firstFair returned, must wait on: the first
// of the highest priority if f is of a lower one, because flows of a lower priority wait in
// loads in which others need not. It returns nil if there is none.
func (q *admissionQueue) insteadOf(f *waitingFlow, now time.Time, processingTime time.Duration) *waitingFlow {
	highest, _ := q.priorityRange()
	if f.route.Priority == highest {
		return nil
	}
	return q.shares.first(q.flows, highest, now, processingTime)
}

// priorityRange returns the highest and the lowest priority that wait.
func (q *admissionQueue) priorityRange() (highest, lowest int) {
	highest, lowest = math.MaxInt, math.MinInt
	for _, f := range q.flows {
		highest, lowest = min(highest, f.route.Priority), max(lowest, f.route.Priority)
	}
	return highest, lowest
}

// nextPriority returns the priority whose turn it is: the highest that waits, or each
// floorInterval admissions a lower one, from the lowest up in turn.
func (q *admissionQueue) nextPriority() int {
	highest, lowest := q.priorityRange()
	if highest >= lowest || q.shares.passedOver < floorInterval-1 {
		return highest
	}
	next := math.MinInt
	for _, f := range q.flows {
		if p := f.route.Priority; p > highest && p < q.shares.lastFloor {
			next = max(next, p)
		}
	}
	if next == math.MinInt {
		return lowest
	}
	return next
}

// charge counts the admission of a flow that still waits.
func (q *admissionQueue) charge(now time.Time, f *waitingFlow, waitedEnough bool, processingTime time.Duration) {
	s, inTurn := &q.shares, !waitedEnough && !f.late(now, processingTime)
	s.usedAt = now
	f.share.charge(inTurn)
	f.share.route.charge(inTurn)
	switch highest, lowest := q.priorityRange(); {
	case f.route.Priority > highest:
		s.passedOver, s.lastFloor = 0, f.route.Priority
	case lowest > highest:
		s.passedOver = min(s.passedOver+1, floorInterval)
	}
}

func (q *admissionQueue) remove(f *waitingFlow) {
	q.next = nil
	q.flows = slices.DeleteFunc(q.flows, func(other *waitingFlow) bool { return other == f })
	if f.share != nil {
		q.shares.leave(f)
	}
}

// forget drops the shares if the queue has been empty for shareMemory. It reports whether
// there are none.
func (q *admissionQueue) forget(now time.Time) bool {
	if len(q.flows) > 0 || now.Sub(q.shares.usedAt) <= shareMemory {
		return false
	}
	q.shares = fairShares{}
	return true
}

func compareWaiting(a, b *waitingFlow) int {
	return cmp.Or(cmp.Compare(a.route.Priority, b.route.Priority), a.deadline.Compare(b.deadline))
}

// timeSinceFirstSYN returns how long ago a caller sent the first SYN of a flow when it
// sends a SYN after the given number of copies.
func timeSinceFirstSYN(copies uint32) time.Duration {
	switch copies {
	case 0:
		return 0
	case 1:
		return firstSYNRetransmit
	default:
		return secondSYNRetransmit
	}
}
