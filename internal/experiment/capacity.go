package experiment

import (
	"math"
	"time"
)

// capacity is what the upstreams of each data centre could have run in each bin, in requests.
type capacity [][]float64

// newCapacity returns the capacity for requests that must be answered within the time. It is
// the requests that the upstreams ran, and those that the slot time left over could have run
// at the mean service time. An upstream counts if it accepted requests within the time before
// the bin and sent responses within the time after it, at its highest speed while it accepted
// them.
func newCapacity(m *measurement, within time.Duration) capacity {
	reach := m.reach(within)
	seconds, mean := m.bin.Seconds(), m.sim.options.ServiceTime.Seconds()
	c := make(capacity, len(m.ran))
	for dc := range c {
		c[dc] = make([]float64, len(m.ran[dc]))
	}
	for i, phases := range m.phases {
		u := m.sim.upstreams[i]
		for b := range c[u.dc] {
			if factor := bestFactor(phases, b, reach); !math.IsInf(factor, 1) {
				c[u.dc][b] += float64(u.slots) * seconds / factor
			}
		}
	}
	for dc := range c {
		for b, potential := range c[dc] {
			c[dc][b] = m.ran[dc][b] + max(0, potential-m.worked[dc][b])/mean
		}
	}
	return c
}

// reach returns the number of bins that a request which must be answered within the time may
// be under way.
func (m *measurement) reach(within time.Duration) int {
	return int((within + m.bin - 1) / m.bin)
}

// bestFactor returns the smallest factor of the service times of an upstream at which a request
// that runs in the bin may have started, or infinity if it can't have been accepted or
// answered. The state that is sampled at a bin boundary counts for the bins before and after it.
func bestFactor(phases []upstreamPhase, bin, reach int) float64 {
	factor, answering := math.Inf(1), false
	for i, phase := range phases {
		first, last := phase.from-1, math.MaxInt
		if i+1 < len(phases) {
			last = phases[i+1].from - 1
		}
		if phase.accepting && first <= bin && last >= bin-reach {
			factor = min(factor, phase.factor)
		}
		if phase.answering && first <= bin+reach && last >= bin {
			answering = true
		}
	}
	if !answering {
		return math.Inf(1)
	}
	return factor
}
