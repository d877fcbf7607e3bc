package flow_test

import (
	"net/netip"
	"time"

	"github.com/oatlatch/oatlatch/internal/flow"
	"github.com/oatlatch/oatlatch/internal/health"
	"github.com/oatlatch/oatlatch/internal/service"
)

const (
	// turn is the step of a workload's clock.
	turn = 10 * time.Millisecond
	// retransmit is the number of turns after which a lost first packet is sent again.
	retransmit = 100
	// reportLag is the age of load reports.
	reportLag = 5 * time.Second
	// wheelSize bounds the turns between two packets of a flow.
	wheelSize = 4096
	// longShare is the share of open flows that stay open for long.
	longShare = 0.5
	// longLife and shortLife are mean lifetimes.
	longLife  = 30 * time.Minute
	shortLife = 6 * time.Second
)

// liveFlow is an open flow of a workload.
type liveFlow struct {
	key  flow.Key
	end  int
	gap  int
	desk int
}

// workload opens, uses and closes flows at the brief's sizes.
type workload struct {
	*cluster
	// each is the number of open flows for each upstream.
	each   int
	turns  int
	opened int
	wheel  [wheelSize][]*liveFlow
	// active counts open flows by upstream.
	active map[netip.AddrPort]int
	// past are earlier counts, for reports that lag.
	past []map[netip.AddrPort]int
	// liar reports a tenth of its load.
	liar netip.AddrPort
}

func newWorkload(c *cluster, each int) *workload {
	w := &workload{cluster: c, each: each, active: make(map[netip.AddrPort]int)}
	w.liar = c.desks[0].Upstreams[1].PacketAddress
	return w
}

// fill opens the flows that are open at the beginning.
func (w *workload) fill() {
	for i := range w.desks {
		for range len(w.desks[i].Upstreams) * w.each {
			life := shortLife
			if w.random.Float64() < longShare {
				life = longLife
			}
			w.open(i, life)
		}
	}
}

// open schedules a new flow's first packet.
func (w *workload) open(desk int, life time.Duration) {
	w.opened++
	f := &liveFlow{key: key(&w.desks[desk], w.opened), desk: desk, gap: 100 + w.random.IntN(300)}
	f.end = w.turns + 2 + int(w.random.ExpFloat64()*float64(life/turn))
	w.schedule(f, w.random.IntN(f.gap))
}

func (w *workload) schedule(f *liveFlow, turns int) {
	at := (w.turns + max(1, turns)) % wheelSize
	w.wheel[at] = append(w.wheel[at], f)
}

// play runs the workload for a while.
func (w *workload) play(d time.Duration) {
	for range d / turn {
		w.turns++
		w.run(turn)
		due := w.wheel[w.turns%wheelSize]
		w.wheel[w.turns%wheelSize] = nil
		for _, f := range due {
			w.use(f)
		}
		w.arrive()
		if w.turns%100 == 0 {
			w.report()
		}
	}
}

// use sends the flow's next packet.
func (w *workload) use(f *liveFlow) {
	_, known := w.oracle.upstream[f.key]
	if known && w.turns >= f.end {
		w.spray(flow.Packet{Key: f.key, Last: true})
		w.active[w.oracle.upstream[f.key]]--
		delete(w.oracle.upstream, f.key)
		return
	}
	w.spray(flow.Packet{Key: f.key, First: !known})
	to, served := w.oracle.upstream[f.key]
	switch {
	case !served:
		w.schedule(f, retransmit)
	case !known:
		w.active[to]++
		w.schedule(f, 1)
	default:
		w.schedule(f, min(f.gap, max(1, f.end-w.turns)))
	}
}

// arrive opens the short flows and the few long ones that replace those that end.
func (w *workload) arrive() {
	for i := range w.desks {
		open := float64(w.each * len(w.desks[i].Upstreams))
		w.arriveOf(i, open*(1-longShare)*float64(turn)/float64(shortLife), shortLife)
		w.arriveOf(i, open*longShare*float64(turn)/float64(longLife), longLife)
	}
}

func (w *workload) arriveOf(desk int, mean float64, life time.Duration) {
	n := int(mean)
	if w.random.Float64() < mean-float64(n) {
		n++
	}
	for range n {
		w.openNow(desk, life)
	}
}

func (w *workload) openNow(desk int, life time.Duration) {
	w.opened++
	f := &liveFlow{key: key(&w.desks[desk], w.opened), desk: desk, gap: 100 + w.random.IntN(300)}
	f.end = w.turns + 2 + int(w.random.ExpFloat64()*float64(life/turn))
	w.use(f)
}

// report gives every host the load reports of five seconds ago.
func (w *workload) report() {
	counts := make(map[netip.AddrPort]int, len(w.active))
	for a, n := range w.active {
		counts[a] = n
	}
	w.past = append(w.past, counts)
	lag := int(reportLag / time.Second)
	if len(w.past) <= lag {
		return
	}
	old := w.past[len(w.past)-1-lag]
	var v health.View
	for _, d := range w.desks {
		for _, u := range d.Upstreams {
			load := float64(old[u.PacketAddress]) / float64(u.Connections)
			if u.PacketAddress == w.liar {
				load /= 10
			}
			v.Upstreams = append(v.Upstreams, health.Upstream{
				Service: d.ID, Name: u.Name, State: health.Up, Load: load, FlowLoad: load, LoadAt: w.now.Add(-reportLag), Ramp: 1,
			})
		}
	}
	for _, n := range w.nodes {
		if n.alive {
			w.step(n, flow.UpstreamsChanged{View: v})
		}
	}
}

// imbalance returns the largest ratio of an upstream's flows for its weight to
// the service's mean, over the upstreams that take flows.
func (w *workload) imbalance() float64 {
	worst := 0.0
	for i := range w.desks {
		worst = max(worst, w.imbalanceOf(i))
	}
	return worst
}

func (w *workload) imbalanceOf(desk int) float64 {
	sum, weights, highest := 0.0, 0.0, 0.0
	for _, u := range w.desks[desk].Upstreams {
		if u.State != service.AdminActive {
			continue
		}
		n := float64(w.active[u.PacketAddress])
		sum += n
		weights += float64(u.Weight)
		highest = max(highest, n/float64(u.Weight))
	}
	return highest / (sum / weights)
}
