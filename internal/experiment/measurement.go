package experiment

import "time"

// minBin is the shortest bin, which limits the memory of a measurement.
const minBin = time.Millisecond

// measurement records what bounds of a run are computed from. All methods of a nil measurement
// do nothing. A measurement draws no random numbers and so does not change the run.
type measurement struct {
	sim *simulation
	// bin is the length of the bins that the run is divided into. sampled is the number of
	// bin boundaries at which states have been sampled.
	bin      time.Duration
	sampled  int
	accounts []*requestAccount
	// isolated holds the isolated data centres at each boundary, one bit each.
	isolated []uint64
	// phases holds the changes of state of each upstream.
	phases [][]upstreamPhase
	// ran and worked hold, for each data centre and bin, the requests that upstreams ran, and
	// the slot time that they took at the speed of a healthy upstream, in seconds. A
	// request that ran in several bins counts in each in proportion to its time there.
	ran, worked [][]float64
}

// upstreamPhase is a state of an upstream from a bin boundary on.
type upstreamPhase struct {
	from int
	// accepting is set if requests that arrive may be run, answering if the responses of
	// requests that end may be sent.
	accepting, answering bool
	// factor is the factor of the service times.
	factor float64
}

// newMeasurement returns a measurement with bins of a sixteenth of the objective. Rounding to
// bins then adds at most an eighth of the objective to the time that a request may take.
func newMeasurement(options Options) *measurement {
	m := &measurement{bin: max(options.Objective/16, minBin)}
	m.ran, m.worked = make([][]float64, options.DataCentres), make([][]float64, options.DataCentres)
	for dc := range options.DataCentres {
		m.ran[dc], m.worked[dc] = make([]float64, m.bins(options)), make([]float64, m.bins(options))
	}
	return m
}

// bins returns the number of bins, up to the deadline of the last request.
func (m *measurement) bins(options Options) int {
	return int((options.Duration+options.Timeout)/m.bin) + 2
}

// binOf returns the bin that contains the time.
func (m *measurement) binOf(t time.Time) int { return int(t.Sub(runStart) / m.bin) }

// startRequest returns the account of the caller's new request.
func (m *measurement) startRequest(c *caller) *requestAccount {
	if m == nil || c.greedy.IsValid() {
		return nil
	}
	kind := Kind{OneRequestFlows, nonRepeatablePriority}
	if c.persistent {
		kind = Kind{LongFlows, repeatablePriority}
	}
	a := &requestAccount{kind: kind, dc: c.dc, sent: m.sim.now, state: Other, since: m.sim.now}
	m.accounts = append(m.accounts, a)
	m.findContact(c, a, 0)
	return a
}

// findContact looks for the first copy of a packet that can reach a live host, from the copy
// with the index on. Until then, the policy has no effect on the copies.
func (m *measurement) findContact(c *caller, a *requestAccount, index int) {
	offset := copyOffset(index)
	if offset > m.sim.options.Timeout {
		return
	}
	m.sim.events.Schedule(a.sent.Add(offset+callerDelay), func() {
		if !a.contact.IsZero() {
			return
		}
		if m.sim.reachesLiveHost(c.dc) {
			a.noteContact(m.sim.now)
			return
		}
		m.findContact(c, a, index+1)
	})
}

// copyOffset returns the time from the start of a request to the copy of a packet with the
// index, if no earlier copy had a response. It merges the copies of requests on open flows with
// those of SYNs, which callers send anew after openTimeout.
func copyOffset(index int) time.Duration {
	early := []time.Duration{
		0, firstRetransmit, secondRetransmit,
		openTimeout, openTimeout + firstRetransmit, openTimeout + secondRetransmit,
		2 * openTimeout, 2*openTimeout + firstRetransmit, 2*openTimeout + secondRetransmit,
	}
	if index < len(early) {
		return early[index]
	}
	return openTimeout + time.Duration(index-len(early)+2)*maxRetransmitInterval
}

// finishRequest records the outcome of the caller's request.
func (m *measurement) finishRequest(c *caller, o outcome) {
	if m == nil || c.account == nil {
		return
	}
	a := c.account
	a.moved = a.dc != c.dc
	a.finish(m.sim.now, o, o == served && m.sim.now.Sub(a.sent) <= m.sim.options.Objective)
}

// noteRun records a request that ran at the upstream from start until now, with the factor of
// the upstream's service times, and whose response is sent.
func (m *measurement) noteRun(u *upstreamNode, start time.Time, factor float64) {
	if m == nil {
		return
	}
	length, ran, worked := m.sim.now.Sub(start), m.ran[u.dc], m.worked[u.dc]
	if length <= 0 {
		ran[min(m.binOf(start), len(ran)-1)]++
		return
	}
	for at := start; at.Before(m.sim.now); {
		b := m.binOf(at)
		if b >= len(ran) {
			return
		}
		until := runStart.Add(time.Duration(b+1) * m.bin)
		if until.After(m.sim.now) {
			until = m.sim.now
		}
		ran[b] += float64(until.Sub(at)) / float64(length)
		worked[b] += until.Sub(at).Seconds() / factor
		at = until
	}
}

// advance samples the state at each bin boundary up to the next event.
func (m *measurement) advance(next time.Time) {
	if m == nil {
		return
	}
	for limit := m.bins(m.sim.options); m.sampled <= limit; m.sampled++ {
		at := runStart.Add(time.Duration(m.sampled) * m.bin)
		if at.After(next) {
			return
		}
		var isolated uint64
		for dc := range m.sim.options.DataCentres {
			if m.sim.isolated[dc] {
				isolated |= 1 << dc
			}
		}
		m.isolated = append(m.isolated, isolated)
		for i, u := range m.sim.upstreams {
			if i == len(m.phases) {
				m.phases = append(m.phases, nil)
			}
			phase := upstreamPhase{
				accepting: !u.silent && u.errorRate < 1 && u.dropRate < 1, answering: !u.silent && u.muteRate < 1,
				factor: u.serviceTimeFactor(at),
			}
			if n := len(m.phases[i]); n > 0 {
				phase.from = m.phases[i][n-1].from
				if m.phases[i][n-1] == phase {
					continue
				}
			}
			phase.from = m.sampled
			m.phases[i] = append(m.phases[i], phase)
		}
	}
}
