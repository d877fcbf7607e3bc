package experiment

import "time"

// balanceStart is the time of the run from which on the balance is measured. Before it,
// all flows are new.
const balanceStart = 5 * time.Second

// Balance tells how evenly the requests of a run were distributed over the upstreams that
// were there from the start to the end.
type Balance struct {
	// BusiestPool is the number of requests that the busiest upstream ran, divided by the
	// mean of all upstreams. BusiestInDataCentre is the largest such ratio of the upstreams
	// of one data centre to their own mean.
	BusiestPool, BusiestInDataCentre float64
	// FullWhileIdle is the time in which the slots of one upstream were all in use while
	// another had no request.
	FullWhileIdle time.Duration
	// MisplacedFraction is the mean fraction of upstreams that were full while as many
	// others had no request.
	MisplacedFraction float64
	// WaitedWhileIdle is the number of requests that waited for a slot while another
	// upstream had no request.
	WaitedWhileIdle int
}

// balance measures the Balance of a run.
type balance struct {
	// full and busy are the numbers of upstreams without a free slot and of those with a
	// request.
	full, busy    int
	fullWhileIdle time.Duration
	misplaced     float64
	waited        int
}

// note updates the numbers after the number of an upstream's running requests changed from
// before.
func (b *balance) note(u *upstreamNode, before int) {
	for _, step := range []struct{ running, change int }{{before, -1}, {u.running, 1}} {
		if step.running > 0 {
			b.busy += step.change
		}
		if step.running >= u.slots {
			b.full += step.change
		}
	}
}

// measured reports whether the time belongs to the part of the run that is measured.
func (sim *simulation) measured() bool {
	at := sim.now.Sub(runStart)
	return at >= balanceStart && at < sim.options.Duration
}

// advance adds the time until the next event.
func (b *balance) advance(sim *simulation, next time.Time) {
	if !sim.measured() {
		return
	}
	if misplaced := min(b.full, len(sim.upstreams)-b.busy); misplaced > 0 {
		b.fullWhileIdle += next.Sub(sim.now)
		b.misplaced += next.Sub(sim.now).Seconds() * float64(misplaced)
	}
}

// countWaiting counts a request that waits for a slot of the upstream.
func (b *balance) countWaiting(sim *simulation, _ *upstreamNode) {
	if sim.measured() && b.busy < len(sim.upstreams) {
		b.waited++
	}
}

// countCompleted counts a request that the upstream has run.
func (b *balance) countCompleted(sim *simulation, u *upstreamNode) {
	if sim.measured() {
		u.completed++
	}
}

// summarize returns the balance of the run.
func (b *balance) summarize(sim *simulation) Balance {
	length := (sim.options.Duration - balanceStart).Seconds()
	result := Balance{
		FullWhileIdle: b.fullWhileIdle, WaitedWhileIdle: b.waited,
		MisplacedFraction: b.misplaced / length / float64(len(sim.upstreams)),
	}
	var all []*upstreamNode
	byDataCentre := make([][]*upstreamNode, sim.options.DataCentres)
	for _, u := range sim.upstreams {
		if u.started.Equal(runStart) && !u.departed {
			all = append(all, u)
			byDataCentre[u.dc] = append(byDataCentre[u.dc], u)
		}
	}
	result.BusiestPool = busiestToMean(all)
	for _, upstreams := range byDataCentre {
		result.BusiestInDataCentre = max(result.BusiestInDataCentre, busiestToMean(upstreams))
	}
	return result
}

// busiestToMean returns the requests of the busiest upstream divided by their mean, or 0 if
// the upstreams ran none.
func busiestToMean(upstreams []*upstreamNode) float64 {
	total, most := 0, 0
	for _, u := range upstreams {
		total += u.completed
		most = max(most, u.completed)
	}
	if total == 0 {
		return 0
	}
	return float64(most) * float64(len(upstreams)) / float64(total)
}
