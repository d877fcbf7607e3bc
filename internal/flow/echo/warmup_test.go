package echo

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/warmup"
)

// fakeGate allows a number of opening packets to each process, and counts those spent.
type fakeGate struct {
	allowed map[string]int
	spent   map[string]int
	budget  int
}

func newFakeGate() *fakeGate {
	return &fakeGate{allowed: map[string]int{}, spent: map[string]int{}}
}

func (g *fakeGate) Allows(p warmup.Process, budget int) bool {
	g.budget = budget
	return g.allowed[p.Name] > 0
}

func (g *fakeGate) Spend(p warmup.Process, _ int) bool {
	if g.allowed[p.Name] == 0 {
		return false
	}
	g.allowed[p.Name]--
	g.spent[p.Name]++
	return true
}

// newColdHarness returns a harness whose upstreams with the given numbers warm up for 5 s,
// with a budget of 20.
func newColdHarness(t *testing.T, cold []int, upstreams ...catalog.Entry) (*harness, *fakeGate) {
	h := newHarness(t, upstreams...)
	gate := newFakeGate()
	h.engine.options.Warmup = WarmupLimits{Gate: gate, Overage: 1.5, Slack: 5}
	h.warmups = map[string]catalog.Warmup{deskService: {Duration: 10 * time.Second, PerSecond: 10}}
	h.version++
	for _, number := range cold {
		h.updateUpstream(number, func(e *catalog.Entry) { e.WarmUntil = h.now.Add(5 * time.Second) })
	}
	h.applyView()
	return h, gate
}

func name(number int) string { return newEntry(number, localDC).Name }

// TestColdUpstreamIsAvoided guards against new flows to a cold upstream without a
// permission, and against flows refused although another upstream is warm.
func TestColdUpstreamIsAvoided(t *testing.T) {
	h, gate := newColdHarness(t, []int{1}, newEntry(1, localDC), newEntry(2, remoteDC))
	for range 20 {
		if d := h.newFlow(orderAddress).open(); d.Upstream != 2 {
			t.Fatalf("flow to upstream %d", d.Upstream)
		}
	}
	gate.allowed[name(1)] = 3
	for range 20 {
		h.newFlow(orderAddress).open()
	}
	if gate.spent[name(1)] != 3 || gate.budget != 20 {
		t.Errorf("%d opening packets of a budget of %d, want 3 of 20", gate.spent[name(1)], gate.budget)
	}
}

// TestOnlyColdUpstreams guards against a refusal that comes late, has another reason or
// outlasts the warm-up, and against fallbacks that ignore the warm-up.
func TestOnlyColdUpstreams(t *testing.T) {
	for _, test := range []struct {
		name     string
		edit     func(*upstream)
		duration time.Duration
		warmIn   time.Duration
	}{
		{"healthy", func(*upstream) {}, 10 * time.Second, 5 * time.Second},
		{"suspected", func(u *upstream) { u.suspectedAt = startTime }, 10 * time.Second, 5 * time.Second},
		{"ejected", func(u *upstream) { u.ejection.until = startTime.Add(time.Hour) }, 10 * time.Second, 5 * time.Second},
		{"shorter warm-up by the configuration", func(*upstream) {}, 2 * time.Second, 2 * time.Second},
		{"no duration in the configuration", func(*upstream) {}, 0, 5 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			h, _ := newColdHarness(t, []int{1}, newEntry(1, localDC))
			h.warmups[deskService] = catalog.Warmup{Duration: test.duration, PerSecond: 10}
			test.edit(h.engine.upstreams[1])
			h.expectDecision(h.newFlow(orderAddress).sendSYN(), Reset, WarmingUp)
			h.advance(test.warmIn - time.Millisecond)
			h.expectDecision(h.newFlow(orderAddress).sendSYN(), Reset, WarmingUp)
			h.advance(time.Millisecond)
			h.newFlow(orderAddress).open()
		})
	}
}

// TestWithoutFigureNothingIsLimited guards against a change for services without
// warmup_per_s, and for upstreams of a later configuration without it.
func TestWithoutFigureNothingIsLimited(t *testing.T) {
	h, _ := newColdHarness(t, []int{1}, newEntry(1, localDC))
	h.expectDecision(h.newFlow(orderAddress).sendSYN(), Reset, WarmingUp)
	h.version, h.warmups = h.version+1, nil
	h.applyView()
	h.newFlow(orderAddress).open()
	if cold := h.engine.ColdUpstreams(h.now); len(cold) != 0 {
		t.Errorf("cold: %v", cold)
	}
}

// TestRestartedProcessIsColdAgain guards against a process that inherits the end of the
// warm-up from the one before.
func TestRestartedProcessIsColdAgain(t *testing.T) {
	h, _ := newColdHarness(t, []int{1}, newEntry(1, localDC))
	h.advance(20 * time.Second)
	h.newFlow(orderAddress).open()
	h.updateUpstream(1, func(e *catalog.Entry) {
		e.Started, e.WarmUntil = time.UnixMilli(7), h.now.Add(5*time.Second)
	})
	h.expectDecision(h.newFlow(orderAddress).sendSYN(), Reset, WarmingUp)
	want := warmup.ColdProcess{Process: warmup.Process{Name: name(1), Started: 7}, Budget: 20, Remaining: 5 * time.Second}
	if cold := h.engine.ColdUpstreams(h.now); len(cold) != 1 || cold[0] != want {
		t.Errorf("cold: %v, want %v", cold, want)
	}
}

// TestSYNCopyWithinWarmup guards against copies of SYNs beyond the budget, and against the
// reset of a flow that may be open at its upstream.
func TestSYNCopyWithinWarmup(t *testing.T) {
	h, gate := newColdHarness(t, []int{1}, newEntry(1, localDC))
	gate.allowed[name(1)] = 2
	f := h.newFlow(orderAddress)
	h.expectDecision(f.sendSYN(), Forward, Opened)
	h.advance(200 * time.Millisecond)
	h.expectDecision(f.sendSYN(), Forward, OpenedAgain)
	h.advance(400 * time.Millisecond)
	h.expectDecision(f.sendSYN(), Drop, WarmingUp)
}

// TestProbesWithinWarmup guards against probes that are opening packets beyond the budget.
func TestProbesWithinWarmup(t *testing.T) {
	h, gate := newColdHarness(t, []int{1}, newEntry(1, localDC))
	h.engine.suspect(h.now, h.engine.upstreams[1], Retransmissions)
	if due := h.engine.DueProbes(h.now); len(due) != 0 {
		t.Errorf("probes: %v", due)
	}
	gate.allowed[name(1)] = 1
	if due := h.engine.DueProbes(h.now); len(due) != 1 || gate.spent[name(1)] != 1 {
		t.Errorf("probes: %v, spent %d", due, gate.spent[name(1)])
	}
}

// TestEveryOpeningPacketIsCounted guards against a path by which a SYN reaches a cold
// upstream without being counted.
func TestEveryOpeningPacketIsCounted(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h, gate := newColdHarness(t, []int{1, 2}, newEntry(1, localDC), newEntry(2, localDC), newEntry(3, remoteDC))
		warmUntil := h.now.Add(5 * time.Second)
		var flows []*testFlow
		opening := 0
		count := func(d Decision) {
			if d.Verdict == Forward && (d.Upstream == 1 || d.Upstream == 2) && h.now.Before(warmUntil) {
				opening++
			}
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			gate.allowed[name(rapid.IntRange(1, 2).Draw(rt, "upstream"))] = rapid.IntRange(0, 3).Draw(rt, "allowed")
			switch rapid.SampledFrom([]string{"open", "copy", "wait", "request", "suspect", "drain", "admit"}).Draw(rt, "step") {
			case "open":
				f := h.newFlow(watchAddress)
				flows = append(flows, f)
				count(f.sendSYN())
			case "copy":
				if len(flows) > 0 {
					count(flows[rapid.IntRange(0, len(flows)-1).Draw(rt, "flow")].sendSYN())
				}
			case "wait":
				h.advance(time.Duration(rapid.IntRange(1, 500).Draw(rt, "wait")) * time.Millisecond)
			case "request":
				if len(flows) > 0 {
					f := flows[rapid.IntRange(0, len(flows)-1).Draw(rt, "flow")]
					if rec := h.engine.records[flowKey{caller: f.caller, address: f.address}]; rec != nil && rec.state == stateOpening {
						h.completeHandshake(f, rec)
					}
				}
			case "suspect":
				if u := h.engine.upstreams[3]; !u.suspected() {
					h.engine.suspect(h.now, u, Retransmissions)
				}
			case "drain":
				h.updateUpstream(3, func(e *catalog.Entry) { e.Draining = true })
			case "admit":
				for {
					_, d, ok := h.engine.NextAdmitted(h.now)
					if !ok {
						break
					}
					count(d)
				}
			}
		}
		if spent := gate.spent[name(1)] + gate.spent[name(2)]; spent != opening {
			rt.Fatalf("%d opening packets, %d counted", opening, spent)
		}
	})
}

// completeHandshake opens the flow at the upstream of its record without changing its
// sequence number, so that a copy of its SYN is recognised.
func (h *harness) completeHandshake(f *testFlow, rec *flowRecord) {
	s := Segment{Caller: f.caller, VirtualAddress: f.address, Token: rec.upstream.token, Seq: f.seq + 1, Ack: 5000, ACK: true}
	h.engine.Decide(h.now, &s)
}
