package echo

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

// waitingFrom returns a flow of the numbered caller that waits from now on.
func waitingFrom(now time.Time, caller, priority int, address netip.AddrPort, left time.Duration) *waitingFlow {
	source := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, byte(caller >> 16), byte(caller >> 8), byte(caller)}), 40000)
	r := &route{Route: catalog.Route{Address: address, Priority: priority}}
	return &waitingFlow{syn: Segment{Caller: source, VirtualAddress: address}, route: r, arrived: now, deadline: now.Add(left)}
}

// admitNext admits the next flow of the queue.
func admitNext(q *admissionQueue, now time.Time) *waitingFlow {
	f, waited := q.firstFair(now, 0)
	q.charge(now, f, waited, 0)
	q.remove(f)
	return f
}

// TestCallerWithManyFlowsTakesItsShare guards against admission by flow: a caller with a
// hundred flows that came first, with the earliest deadlines, is beside ten with two each.
func TestCallerWithManyFlowsTakesItsShare(t *testing.T) {
	g := NewWithT(t)
	var q admissionQueue
	for range 100 {
		q.insertFair(waitingFrom(startTime, 0, 1, watchAddress, time.Second))
	}
	for i := range 20 {
		q.insertFair(waitingFrom(startTime, 1+i/2, 1, watchAddress, 2*time.Second))
	}
	admitted := make(map[netip.Addr]int)
	for range 22 {
		admitted[admitNext(&q, startTime).syn.Caller.Addr()]++
	}
	g.Expect(admitted).To(HaveLen(11))
	for _, n := range admitted {
		g.Expect(n).To(BeNumerically("~", 2, 1))
	}
}

// TestHigherPriorityLosesNothingToABurst guards against a class at six times its usual load
// that fills the queue and delays one of a higher priority.
func TestHigherPriorityLosesNothingToABurst(t *testing.T) {
	g := NewWithT(t)
	var q admissionQueue
	now, offered, admitted := startTime, 0, 0
	for step := range 1000 { // one slot is free each millisecond
		if step%2 == 0 {
			offered++
			q.insertFair(waitingFrom(now, step, 1, orderAddress, time.Second))
		}
		for i := range 3 {
			q.insertFair(waitingFrom(now, i, 2, watchAddress, time.Second))
		}
		if f := admitNext(&q, now); f.route.Priority == 1 {
			admitted++
			g.Expect(now.Sub(f.arrived)).To(BeNumerically("<=", 3*time.Millisecond))
		}
		now = now.Add(time.Millisecond)
		admitExpired(&q, now)
	}
	g.Expect(admitted).To(BeNumerically(">=", offered-1))
}

// admitExpired admits the flows that have waited for long enough.
func admitExpired(q *admissionQueue, now time.Time) {
	for f, waited := q.firstFair(now, 0); waited; f, waited = q.firstFair(now, 0) {
		q.charge(now, f, true, 0)
		q.remove(f)
	}
}

// TestOutageIsServedByDeadline guards against slots spent on requests that nobody waits for
// when all callers are back after an outage.
func TestOutageIsServedByDeadline(t *testing.T) {
	g := NewWithT(t)
	var q admissionQueue
	for i := range 100 {
		q.insertFair(waitingFrom(startTime, i, 1, watchAddress, time.Duration(i*37%100)*10*time.Millisecond))
	}
	const work = 60 * time.Millisecond
	last := work
	for range 94 {
		f, _ := q.firstFair(startTime, work)
		left := f.deadline.Sub(startTime)
		g.Expect(left).To(BeNumerically(">=", last))
		last = left
		q.charge(startTime, f, false, work)
		q.remove(f)
	}
	f, _ := q.firstFair(startTime, work)
	g.Expect(f.late(startTime, work)).To(BeTrue(), "the rest cannot be served in time")
}

// TestNoPriorityStarves guards against a higher priority that always waits and takes
// every slot.
func TestNoPriorityStarves(t *testing.T) {
	g := NewWithT(t)
	var q admissionQueue
	admitted := make(map[int]int)
	for i := range 10 * 2 * floorInterval {
		for priority := 1; priority <= 3; priority++ {
			if i%floorInterval == 0 || priority == 1 {
				q.insertFair(waitingFrom(startTime, i, priority, watchAddress, time.Second))
			}
		}
		admitted[admitNext(&q, startTime).route.Priority]++
	}
	g.Expect(admitted).To(Equal(map[int]int{1: 300, 2: 10, 3: 10}))
}

// TestTurnOfALowerPriorityHoldsUpNoOther guards against a flow in its turn by the floor that
// must wait on, while a higher priority is no longer in overload.
func TestTurnOfALowerPriorityHoldsUpNoOther(t *testing.T) {
	g := NewWithT(t)
	h, _ := newFullHarness(t)
	p := h.engine.pools[deskService]
	p.slowFraction, p.slowUpdatedAt = 1, h.now
	h.expectDecision(h.newFlow(watchAddress).sendSYN(), Hold, Queued)
	h.expectDecision(h.newFlow(orderAddress).sendSYN(), Hold, Queued)
	p.slowFraction, p.queue.shares.passedOver = 0, floorInterval-1
	f, _ := p.queue.firstFair(h.now, 0)
	g.Expect(f.route.Name).To(Equal("watch"))
	got, d := h.nextAdmitted()
	g.Expect(got).To(Equal(h.flowCount))
	h.expectDecision(d, Forward, Opened)
	g.Expect(h.engine.WaitingFlows()).To(Equal(1))
}

// TestCallerWithMostFlowsGivesWay guards against the refusal of whoever comes last while
// one caller fills the queue.
func TestCallerWithMostFlowsGivesWay(t *testing.T) {
	g := NewWithT(t)
	h, _ := newFullHarness(t)
	greedy := h.newFlow(watchAddress).caller.Addr()
	for i := range maxWaitingFlows {
		f := h.newFlow(watchAddress)
		if i >= 50 && i < 250 {
			f.caller = netip.AddrPortFrom(greedy, uint16(i))
		}
		h.expectDecision(f.sendSYN(), Hold, Queued)
	}
	last := h.newFlow(watchAddress)
	h.expectDecision(last.sendSYN(), Hold, Queued)
	g.Expect(h.engine.PendingRefusals()).To(Equal(1))
	syn, d, _ := h.engine.NextAdmitted(h.now)
	h.expectDecision(d, Reset, Overloaded)
	g.Expect(syn.Caller).To(Equal(netip.AddrPortFrom(greedy, 249)))
	g.Expect(d.Detail.CallerWaiting).To(BeEquivalentTo(200))
	last.caller = netip.AddrPortFrom(greedy, 300)
	d = last.sendSYN()
	h.expectDecision(d, Reset, Overloaded)
	g.Expect(d.Detail.CallerWaiting).To(BeEquivalentTo(200))
	g.Expect(h.engine.WaitingFlows()).To(Equal(maxWaitingFlows))
	g.Expect(h.engine.PendingRefusals()).To(BeZero())
}

// TestSharesAreBounded guards against memory by the number of callers, and against shares
// that outlast their use.
func TestSharesAreBounded(t *testing.T) {
	g := NewWithT(t)
	var q admissionQueue
	for i := range 20_000 {
		q.insertFair(waitingFrom(startTime, i, 1, watchAddress, time.Second))
		if i%2 == 0 {
			admitNext(&q, startTime)
		}
	}
	g.Expect(q.shares.callers).To(BeNumerically("<=", maxCallerShares))
	h, _ := newFullHarness(t)
	g.Expect(h.engine.sharingPools).To(BeEmpty(), "no flow has waited")
	h.expectDecision(h.newFlow(watchAddress).sendSYN(), Hold, Queued)
	g.Expect(h.engine.sharingPools).To(HaveLen(1))
	h.advance(maxAdmissionWait)
	h.nextAdmitted()
	h.advance(shareMemory + 1)
	h.engine.sweep(h.now)
	g.Expect(h.engine.sharingPools).To(BeEmpty())
	g.Expect(h.engine.pools[deskService].queue.shares.routes).To(BeNil())
}

// TestFairQueueOrder compares random sequences with what fair queueing promises: of two
// callers of a route, or two routes, that both wait, none is more than two admissions ahead.
func TestFairQueueOrder(t *testing.T) {
	type pair struct{ a, b any }
	rapid.Check(t, func(t *rapid.T) {
		var q admissionQueue
		ahead, passedOver := make(map[pair]int), 0
		identities := func(f *waitingFlow) (route, caller any) {
			key := routeKey{f.route.Priority, f.syn.VirtualAddress}
			return key, [2]any{key, f.syn.Caller.Addr()}
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			if len(q.flows) == 0 || rapid.IntRange(0, 2).Draw(t, "insert") == 0 {
				address := rapid.SampledFrom([]netip.AddrPort{watchAddress, orderAddress}).Draw(t, "route")
				caller, priority := rapid.IntRange(0, 4).Draw(t, "caller"), rapid.IntRange(1, 2).Draw(t, "priority")
				for range rapid.IntRange(1, 60).Draw(t, "flows") {
					lowest := priority
					for _, f := range q.flows {
						lowest = max(lowest, f.route.Priority)
					}
					f := waitingFrom(startTime, caller, priority, address, time.Duration(rapid.IntRange(1, 9).Draw(t, "left"))*time.Second)
					if displaced := q.insertFair(f); displaced != nil && (len(q.flows) != maxWaitingFlows || displaced.route.Priority != lowest) {
						t.Fatalf("priority %d gave way, the lowest is %d", displaced.route.Priority, lowest)
					}
				}
			} else {
				highest, lowest := q.priorityRange()
				f := admitNext(&q, startTime)
				switch {
				case f.route.Priority == highest && lowest > highest:
					passedOver++
				case f.route.Priority > highest && passedOver < floorInterval-1:
					t.Fatalf("priority %d was admitted after %d of a higher one", f.route.Priority, passedOver)
				case f.route.Priority > highest:
					passedOver = 0
				}
				if passedOver >= floorInterval {
					t.Fatalf("%d admissions while a lower priority waited", passedOver)
				}
				route, caller := identities(f)
				rivals := make(map[any]bool)
				for _, other := range q.flows {
					if other.route.Priority != f.route.Priority {
						continue
					}
					otherRoute, otherCaller := identities(other)
					if otherRoute != route {
						rivals[pair{route, otherRoute}] = true
					} else if otherCaller != caller {
						rivals[pair{caller, otherCaller}] = true
					} else if other.deadline.Before(f.deadline) {
						t.Fatalf("a flow of the same caller has an earlier deadline")
					}
				}
				for p := range rivals {
					p := p.(pair)
					ahead[p]++
					ahead[pair{p.b, p.a}]--
					if ahead[p] > 2 {
						t.Fatalf("%v is %d admissions ahead of %v", p.a, ahead[p], p.b)
					}
				}
			}
			// Who does not wait has no claim.
			waits := make(map[any]bool)
			for _, f := range q.flows {
				route, caller := identities(f)
				waits[route], waits[caller] = true, true
			}
			for p := range ahead {
				if !waits[p.a] || !waits[p.b] {
					delete(ahead, p)
				}
			}
			counted := 0
			for _, n := range q.shares.waiting {
				counted += n
			}
			if counted != len(q.flows) || counted > maxWaitingFlows || q.shares.callers > maxCallerShares {
				t.Fatalf("%d flows wait, %d are counted, %d callers have shares", len(q.flows), counted, q.shares.callers)
			}
		}
	})
}

// TestDisplacedCopyOfASYNIsDropped guards against a reset of a flow that another host may
// have opened: only the first SYN of a flow that gives way is answered with a RST.
func TestDisplacedCopyOfASYNIsDropped(t *testing.T) {
	for copies, want := range []Verdict{Reset, Drop} {
		h := newHarness(t, newEntry(1, localDC))
		syn := Segment{SYN: true, Caller: h.newFlow(watchAddress).caller, VirtualAddress: watchAddress, Ack: uint32(copies)}
		f := &waitingFlow{syn: syn, route: h.engine.routes[watchAddress], arrived: h.now}
		h.engine.displaced = append(h.engine.displaced, displacedFlow{flow: f, callerWaiting: 2})
		h.engine.pendingRefusals.Add(1)
		_, d, ok := h.engine.NextAdmitted(h.now)
		if !ok || d.Verdict != want || d.Reason != Overloaded {
			t.Errorf("%d earlier copies: got %v (%v), want %v", copies, d.Verdict, d.Reason, want)
		}
	}
}

// TestGreedyCallerIsRefusedFirst guards against a lasting overload that refuses all callers
// alike, and against more admissions than without fairness. One caller sends four of five flows,
// of which a fifth is admitted at random.
func TestGreedyCallerIsRefusedFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r fairRefusal
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		now, most, admitted, othersBefore, others := startTime, 0, 0, 0, 0
		for range 5000 {
			now = now.Add(time.Millisecond)
			caller := max(0, random.IntN(100)-79)
			a := refuse
			if random.IntN(5) == 0 {
				a = admit
				most++
			}
			wasAdmitted := a == admit
			a = r.decide(now, waitingFrom(now, caller, 1, watchAddress, 0).syn.Caller.Addr(), a)
			if a == admit {
				admitted++
			}
			if admitted > most || admitted < most-1-int(now.Sub(startTime)/swapTime) {
				t.Fatalf("%d admitted, %d without fairness", admitted, most)
			}
			if caller > 0 {
				if wasAdmitted {
					othersBefore++
				}
				if a == admit {
					others++
				}
			}
		}
		if others < 2*othersBefore {
			t.Fatalf("%d flows of the twenty other callers admitted, %d without fairness", others, othersBefore)
		}
	})
}

// TestFewCallersAreRefusedAlike guards against refusals of callers that are not above their share,
// and against counts by the number of callers.
func TestFewCallersAreRefusedAlike(t *testing.T) {
	g := NewWithT(t)
	var r fairRefusal
	now := startTime
	for i := range 5000 {
		now = now.Add(time.Millisecond)
		a := admission(i % 7 % 2 * int(refuse)) // admit or refuse
		g.Expect(r.decide(now, waitingFrom(now, i%10, 1, watchAddress, 0).syn.Caller.Addr(), a)).To(Equal(a))
	}
	now = now.Add(swapTime)
	for i := range 5000 {
		caller := max(0, i%40-30) // nobody else is refused
		g.Expect(r.decide(now, waitingFrom(now, caller, 1, watchAddress, 0).syn.Caller.Addr(), admit)).To(Equal(admit))
	}
	for i := range 5000 {
		r.decide(now, waitingFrom(now, i, 1, watchAddress, 0).syn.Caller.Addr(), admit)
	}
	g.Expect(r.admitted).To(HaveLen(maxRefusalCallers))
	g.Expect(r.forget(now)).To(BeFalse())
	g.Expect(r.forget(now.Add(2 * decayTime))).To(BeTrue())
}
