package echo

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestSpillOverFollowsDemandOutOfPhase covers demand that swings by 0.55 within 15 s: flows must
// leave while the data centre is full, and return without going back and forth.
func TestSpillOverFollowsDemandOutOfPhase(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 1))
	var s spillover
	highest, turns, leaving := 0.0, 0, false
	for at := time.Duration(0); at < 80*time.Second; at += 15 * time.Millisecond {
		swing := 0.0
		if at > 20*time.Second {
			swing = 0.55 * math.Sin(2*math.Pi*(at-20*time.Second).Seconds()/15)
		}
		load, local := 0.7*(1+swing)*(1-0.3*s.share), random.Float64() >= 0.3*s.share
		if !local {
			load = 0.7 * (1 - swing/2)
		}
		seconds := 0.06 * (1 + 4*max(0, load-0.75)) * math.Exp(0.5*random.NormFloat64())
		s.observe(startTime.Add(at), local, time.Duration(seconds*float64(time.Second)))
		highest = max(highest, s.share)
		if swing < -0.5 || at < 20*time.Second {
			g.Expect(s.share).To(BeNumerically("<", 0.1), "with free slots, at %s", at)
		}
		if leaving && s.share < 0.05 || !leaving && s.share > 0.25 {
			leaving = !leaving
			turns++
		}
	}
	g.Expect(highest).To(BeNumerically(">", 0.5))
	g.Expect(turns).To(BeNumerically("<=", 8), "once out and once back in each of four periods")
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
		p.spill.share = 1
		h.advance(spillTTL + 250*time.Millisecond)
		if h.engine.spills(h.now, p) {
			t.Error("flows leave without recent responses")
		}
	}
}
