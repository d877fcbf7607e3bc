package warmup

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestBudgetHolds guards against more opening packets in a second than the budget, summed
// over all hosts, whatever calls are lost, late or replayed, hosts are paused, suspended or
// started without knowledge, and however often the store is restored from an older copy.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		m := newModel(rapid.IntRange(1, 5).Draw(t, "hosts"), rapid.IntRange(1, 2).Draw(t, "processes"), rapid.IntRange(1, 30).Draw(t, "budget"), 2*time.Minute)
		for _, h := range m.hosts {
			h.speed = 1 + float64(r.IntN(9)-4)/1000
			h.offset = time.Duration(r.IntN(100)) * time.Second
		}
		m.jitter = func() time.Duration { return randomDuration(r, maxJitter) }
		faults := []float64{0, 0.1, 0.4}[rapid.IntRange(0, 2).Draw(t, "faults")]
		var outageEnd time.Duration
		m.fault = func(_ *modelHost, c *modelCall) {
			if m.now < outageEnd {
				c.arrivals = nil
			} else if r.Float64() < faults {
				m.injectFault(r, c)
			}
		}
		m.eager = rapid.Bool().Draw(t, "eager")
		knowsFew := rapid.Bool().Draw(t, "knows few")
		m.hostNames = func(h *modelHost) []string {
			if knowsFew {
				return []string{h.name}
			}
			return m.names()
		}
		kinds := rapid.SliceOfN(rapid.SampledFrom([]string{"pause", "start", "copy", "restore", "outage", "late packet"}), 1, 5).Draw(t, "events")
		copied := m.store.copy()
		for m.now < time.Minute {
			for range r.IntN(250) {
				m.step()
			}
			h := m.hosts[r.IntN(len(m.hosts))]
			pause := m.now + randomDuration(r, 15*time.Second)
			switch kinds[r.IntN(len(kinds))] {
			case "pause":
				h.pausedUntil = pause
			case "start":
				m.start(h)
			case "outage":
				outageEnd = pause
			case "copy":
				copied = m.store.copy()
			case "restore":
				m.store.restore(m.now, copied)
			case "late packet":
				// The first host is paused between its decision and the sending.
				if first := m.hosts[0]; m.budget >= minReservingBudget && m.now >= first.pausedUntil && first.permissions.Spend(m.processes[0], m.budget) {
					first.pausedUntil = pause
					m.deliver(first, m.processes[0], pause)
				}
			}
		}
		if got := m.busiestSecond(); got > m.budget {
			t.Fatalf("%d opening packets within a second, budget %d", got, m.budget)
		}
	})
}

// TestBudgetIsUsable guards against a rule that keeps the budget by wasting it: 30 hosts
// can use 0.7 of it from soon after the upstreams are known to be cold, and the calls to
// the store are few.
func TestBudgetIsUsable(t *testing.T) {
	const hosts, warmup = 30, 10 * time.Second
	tests := []struct {
		processes, budget int
		// maxPrice is the greatest price of all calls to the store, of which a Read costs
		// a tenth of the others.
		maxPrice float64
	}{
		{1, 5, 15}, {1, 20, 30}, {10, 20, 100}, {50, 20, 105}, {50, 5, 105},
	}
	for _, test := range tests {
		m := newModel(hosts, test.processes, test.budget, 20*time.Second+warmup)
		m.fault = func(_ *modelHost, c *modelCall) { c.arrivals[0] += tick }
		for _, p := range m.processes {
			m.bornAt[p] = 20 * time.Second
		}
		for m.now < 20*time.Second+warmup {
			m.step()
		}
		sent, holders := 0, 0
		for _, h := range m.hosts {
			sent += h.sent
			if h.sent > 0 {
				holders++
			}
		}
		price := 0.0
		for kind, n := range m.store.calls {
			if kind == Read {
				price += float64(n) / 10
			} else {
				price += float64(n)
			}
		}
		usable := float64(test.budget*test.processes) * warmup.Seconds()
		t.Logf("%d cold upstreams, budget %d: used %.3f, busiest second %d, %d holders, calls %v", test.processes, test.budget, float64(sent)/usable, m.busiestSecond(), holders, m.store.calls)
		if float64(sent) < 0.7*usable {
			t.Errorf("%d cold upstreams, budget %d: used %.3f", test.processes, test.budget, float64(sent)/usable)
		}
		if got := m.busiestSecond(); got > test.budget {
			t.Errorf("%d cold upstreams: %d opening packets in a second, budget %d", test.processes, got, test.budget)
		}
		if price > test.maxPrice {
			t.Errorf("%d cold upstreams: calls %v cost %.1f", test.processes, m.store.calls, price)
		}
	}
}

// TestShareOfDeadHost guards against a share that nobody uses because the host whose turn
// it is does not run.
func TestShareOfDeadHost(t *testing.T) {
	m := newModel(30, 1, 20, time.Minute)
	for _, h := range m.hosts {
		if rankOf(m.processes[0], h.name, m.names()) < SharesPerProcess {
			h.pausedUntil = time.Hour
		}
	}
	for m.now < LeaseTTL+3*time.Second {
		m.step()
	}
	if got := m.busiestSecond(); got < 14 || got > 20 {
		t.Errorf("%d opening packets in the busiest second, budget 20", got)
	}
}

// TestMarkSparesTheWait guards against hosts that all start at once and wait for LeaseTTL
// although the store was not restored.
func TestMarkSparesTheWait(t *testing.T) {
	m := newModel(4, 1, 20, time.Minute)
	for m.now < LeaseTTL-time.Second {
		m.step()
	}
	if len(m.arrivals) != 0 {
		t.Fatal("permissions were used although those of a former epoch may still be")
	}
	for m.now < LeaseTTL+5*time.Second {
		m.step()
	}
	for _, h := range m.hosts {
		m.start(h)
	}
	m.store.expire(m.now + time.Minute)
	m.arrivals = map[Process][]time.Duration{}
	for end := m.now + time.Second; m.now < end; {
		m.step()
	}
	if m.busiestSecond() == 0 {
		t.Error("no opening packet within a second of the start")
	}
}

func TestBudgetAndShares(t *testing.T) {
	for budget := range 100 {
		sum := 0
		for i := range SharesPerProcess {
			sum += shareOf(budget, i)
		}
		if want := budget - min(1, budget/minReservingBudget); sum != want {
			t.Errorf("shares of %d add up to %d, want %d", budget, sum, want)
		}
	}
	if got := Budget(10, 1.5, 5); got != 20 {
		t.Errorf("got %d, want 20", got)
	}
	if got := Budget(0.1, 1, 0); got != 0 {
		t.Errorf("got %d, want 0", got)
	}
}

// TestLatePacketOfPausedHost guards against exceeding the budget by a packet that a host
// sends late, because it was paused between its decision and the sending, while another
// host uses the share.
func TestLatePacketOfPausedHost(t *testing.T) {
	m := newModel(2, 1, 6, time.Minute)
	m.eager = true
	for m.now < LeaseTTL+2*time.Second {
		m.step()
	}
	p, late := m.processes[0], 0
	for _, h := range m.hosts {
		// Only a host whose window has room again can decide to send.
		for _, s := range h.permissions.processes[p].shares {
			if s.lease != nil && late == 0 {
				late++
				h.pausedUntil = m.now + 3*LeaseTTL
			}
		}
	}
	for end := m.now + 2*LeaseTTL; m.now < end; {
		m.step()
	}
	busiest := m.busiestSecond()
	m.arrivals[p] = append(m.arrivals[p], m.arrivals[p][len(m.arrivals[p])-1])
	if got := m.busiestSecond(); busiest != m.budget-1 || got > m.budget {
		t.Errorf("%d opening packets in a second, and %d with the late one; budget %d", busiest, got, m.budget)
	}
}

// TestMarkOfFormerEpoch guards against a host that starts after a restore and takes the
// mark of the former epoch for that of the new one.
func TestMarkOfFormerEpoch(t *testing.T) {
	m := newModel(1, 1, 20, time.Minute)
	copied := m.store.copy()
	for m.now < LeaseTTL+2*time.Second {
		m.step()
	}
	copied.mark, copied.marked = m.store.mark, m.store.marked
	m.store.restore(m.now, copied)
	m.start(m.hosts[0])
	m.arrivals = map[Process][]time.Duration{}
	for end := m.now + LeaseTTL - tick; m.now < end; {
		m.step()
	}
	if len(m.arrivals) != 0 || !m.store.marked {
		t.Errorf("permissions were used within %v of a restore", LeaseTTL)
	}
}

// TestLateGrantOfFormerEpoch guards against the use of a lease that was granted before a
// restore and whose ID another host may have now.
func TestLateGrantOfFormerEpoch(t *testing.T) {
	m := newModel(1, 1, 20, time.Minute)
	h := m.hosts[0]
	m.updateView(h)
	m.now = LeaseTTL
	call, _, ok := h.permissions.NextCall()
	for ok && call.Kind == Read {
		h.permissions.Finish(&call, &Result{Outcome: Done})
		call, _, ok = h.permissions.NextCall()
	}
	if call.Kind != Grant {
		t.Fatalf("got %v, want a grant", call.Kind)
	}
	m.store.epoch = 1
	m.updateView(h)
	h.permissions.Finish(&call, &Result{Outcome: Done, Lease: 7})
	if h.permissions.lease != nil {
		t.Error("a lease of the former epoch is in use")
	}
}

// TestLeaseCountsFromBeforeTheCall guards against a host that was paused while it waited
// for a response, and then uses a permission that another host has meanwhile.
func TestLeaseCountsFromBeforeTheCall(t *testing.T) {
	m := newModel(1, 1, 20, time.Minute)
	m.store.marked = true
	h := m.hosts[0]
	m.fault = func(_ *modelHost, c *modelCall) {
		if c.call.Kind == Renew && h.pausedUntil == 0 {
			h.pausedUntil = m.now + LeaseTTL
		}
	}
	for h.pausedUntil == 0 {
		m.step()
	}
	sent := h.sent
	for m.now < h.pausedUntil {
		m.step()
	}
	if sent == 0 || h.sent != sent || h.permissions.Allows(m.processes[0], m.budget) {
		t.Error("a permission is in use after the lease of the store has ended")
	}
}

// TestLeaseOfFormerEpochIsNotRenewed guards against a renewal, or a new permission, with a
// lease whose ID may belong to another host since a restore.
func TestLeaseOfFormerEpochIsNotRenewed(t *testing.T) {
	m := newModel(1, 1, 20, time.Minute)
	m.store.marked = true
	h := m.hosts[0]
	for m.now < time.Second {
		m.step()
	}
	if h.sent == 0 {
		t.Fatal("the host has no permission")
	}
	m.store.restore(m.now, newModelStore())
	clear(m.store.calls)
	for end := m.now + LeaseTTL - tick; m.now < end; {
		m.step()
	}
	if m.store.calls[Renew]+m.store.calls[Acquire]+m.store.calls[Grant] != 0 {
		t.Errorf("calls %v", m.store.calls)
	}
	if h.permissions.Allows(m.processes[0], m.budget) {
		t.Error("a permission of the former epoch is in use after its lease")
	}
}

// BenchmarkAllowsWithoutPermission measures the question about an upstream of which this
// host has no permission, which is asked for each cold candidate of a new flow.
func BenchmarkAllowsWithoutPermission(b *testing.B) {
	m := newModel(1, 1, 20, time.Minute)
	m.updateView(m.hosts[0])
	b.ReportAllocs()
	for b.Loop() {
		m.hosts[0].permissions.Allows(m.processes[0], m.budget)
	}
}

// BenchmarkViewOfManyColdUpstreams measures a view in which 50 upstreams are cold and the
// hosts have changed, at 430 hosts.
func BenchmarkViewOfManyColdUpstreams(b *testing.B) {
	m := newModel(430, 50, 20, time.Minute)
	names, n := m.names(), 0
	m.hostNames = func(*modelHost) []string {
		n++
		return names[n%2:]
	}
	b.ReportAllocs()
	for b.Loop() {
		m.updateView(m.hosts[0])
	}
}
