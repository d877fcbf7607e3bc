package echo

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// spillModel is a model of data centres whose hosts adapt their shares to response times that
// grow with the load.
type spillModel struct {
	random *rand.Rand
	now    time.Time
	hosts  [3][4]spillover
}

// run passes the demand of each data centre, relative to its slots, for the time and calls
// observe with the mean share of each and its load.
func (m *spillModel) run(length time.Duration, demand func(dc int, at time.Duration) float64, observe func(at time.Duration, shares, loads [3]float64)) {
	const step = 15 * time.Millisecond // the time between two responses to a host
	for at := time.Duration(0); at < length; at += step {
		m.now = m.now.Add(step)
		var shares, demands, loads [3]float64
		total := 0.0
		for dc := range m.hosts {
			demands[dc] = demand(dc, at)
			for i := range m.hosts[dc] {
				shares[dc] += m.hosts[dc][i].share / 4
			}
			// Flows that stay open for long, 0.7 of the requests, cannot leave.
			total += 0.3 * shares[dc] * demands[dc]
		}
		for dc := range loads {
			left := 0.3 * shares[dc] * demands[dc]
			loads[dc] = demands[dc] - left + (total-left)/2
		}
		for dc := range m.hosts {
			for i := range m.hosts[dc] {
				h := &m.hosts[dc][i]
				to := dc
				if m.random.Float64() < 0.3*h.share {
					to = (dc + 1 + m.random.IntN(2)) % 3
				}
				seconds := 0.06 * (1 + 4*max(0, loads[to]-0.75)) * math.Exp(0.5*m.random.NormFloat64())
				h.observe(m.now, to == dc, time.Duration(seconds*float64(time.Second)))
			}
		}
		observe(at, shares, loads)
	}
}

// TestSpillOverFollowsDemandOutOfPhase covers data centres whose demand swings by 0.55 within
// 15 s, out of phase: flows must leave the one that is full, and only that one, and must return
// without going back and forth.
func TestSpillOverFollowsDemandOutOfPhase(t *testing.T) {
	g := NewWithT(t)
	m := &spillModel{random: rand.New(rand.NewPCG(1, 1)), now: startTime}
	steady := func(int, time.Duration) float64 { return 0.7 }
	m.run(20*time.Second, steady, func(_ time.Duration, shares, _ [3]float64) {
		g.Expect(shares[0]).To(BeNumerically("<", 0.1), "at a steady load")
	})
	const period = 15 * time.Second
	phase := func(dc int, at time.Duration) float64 { return float64(at)/float64(period) + float64(dc)/3 }
	swing := func(dc int, at time.Duration) float64 { return 0.7 * (1 + 0.55*math.Sin(2*math.Pi*phase(dc, at))) }
	highest, turns, leaving := 0.0, 0, false
	m.run(4*period, swing, func(at time.Duration, shares, _ [3]float64) {
		highest = max(highest, shares[0])
		if p := math.Mod(phase(0, at), 1); p > 0.65 && p < 0.95 {
			g.Expect(shares[0]).To(BeNumerically("<", 0.1), "with free slots, at %s", at)
		}
		if leaving && shares[0] < 0.05 || !leaving && shares[0] > 0.25 {
			leaving = !leaving
			turns++
		}
	})
	g.Expect(highest).To(BeNumerically(">", 0.5))
	g.Expect(turns).To(BeNumerically("<=", 8), "once out and once back in each of four periods")
}

// TestOverloadEverywhereDoesNotSpill guards against hosts that swap flows between data centres
// of which all are full.
func TestOverloadEverywhereDoesNotSpill(t *testing.T) {
	g := NewWithT(t)
	m := &spillModel{random: rand.New(rand.NewPCG(1, 1)), now: startTime}
	m.run(20*time.Second, func(int, time.Duration) float64 { return 0.7 }, func(time.Duration, [3]float64, [3]float64) {})
	sum, n := 0.0, 0.0
	m.run(20*time.Second, func(int, time.Duration) float64 { return 1.2 }, func(_ time.Duration, shares, _ [3]float64) {
		sum, n = sum+shares[0]+shares[1]+shares[2], n+3
	})
	g.Expect(sum / n).To(BeNumerically("<", 0.2))
}

// TestFlowsLeaveWhileOthersFillTheDataCentre covers a host whose own requests leave local slots
// free although response times show that other hosts fill them. Before its first responses, when
// the mechanism is off, and once it has no recent responses, flows stay.
func TestFlowsLeaveWhileOthersFillTheDataCentre(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, newEntry(1, localDC), newEntry(2, remoteDC))
	leaving := func() int {
		n := 0
		for range 200 {
			f := h.newFlow(orderAddress)
			if f.open().Upstream == 2 {
				n++
			}
			f.sendFIN()
		}
		return n
	}
	g.Expect(leaving()).To(BeZero(), "after the start")
	h.completeRequests(watchAddress, 300, 60*time.Millisecond)
	g.Expect(leaving()).To(BeZero(), "at the usual times")
	open := h.newFlow(orderAddress)
	open.open()
	for range 40 {
		open.sendRequest()
		h.advance(150 * time.Millisecond)
		open.ackResponse()
	}
	g.Expect(leaving()).To(BeNumerically("~", 200*spillProbe, 20), "while other data centres are not known to be quicker")
	h.engine.options.Without = 1 << SpillOver
	g.Expect(leaving()).To(BeZero(), "switched off")
	h.engine.options.Without = 0
	h.advance(spillTTL + time.Millisecond)
	g.Expect(leaving()).To(BeZero(), "without recent responses")
}

// TestUnevenRequestsDoNotSpill guards against flows that leave by chance at a steady load, where a
// tenth of the requests takes fifty times as long as the others.
func TestUnevenRequestsDoNotSpill(t *testing.T) {
	for _, gap := range []time.Duration{10 * time.Millisecond, 50 * time.Millisecond, 300 * time.Millisecond} {
		random := rand.New(rand.NewPCG(1, 2))
		h := newHarness(t, newEntry(1, localDC), newEntry(2, remoteDC))
		p := h.engine.pools[deskService]
		const responses = 50_000
		remote := 0
		for range responses {
			h.advance(time.Duration(random.ExpFloat64() * float64(gap)))
			spills := h.engine.spills(h.now, p)
			if spills {
				remote++
			}
			responseTime := 10 * time.Millisecond
			if random.IntN(10) == 0 {
				responseTime *= 50
			}
			p.spill.observe(h.now, !spills, responseTime)
		}
		if remote > responses/100 {
			t.Errorf("%d of %d flows left the data centre, with a response every %s", remote, responses, gap)
		}
	}
}
