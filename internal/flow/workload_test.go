package flow_test

import (
	"net/netip"
	"time"

	"github.com/oatlatch/oatlatch/internal/flow"
	"github.com/oatlatch/oatlatch/internal/health"
	"github.com/oatlatch/oatlatch/internal/service"
)

const (
	// tickLength is the time between two ticks of a workload.
	tickLength = 10 * time.Millisecond
	// retransmitTicks is the number of ticks after which a lost first packet is
	// sent again.
	retransmitTicks = 100
	// reportLag is the age of load reports.
	reportLag = 5 * time.Second
	// wheelSize bounds the number of ticks between two packets of a flow.
	wheelSize = 4096
	// longFlowShare is the share of long-lived flows among the open ones.
	longFlowShare = 0.5
	// longFlowMean and shortFlowMean are the mean lifetimes of long-lived and
	// short-lived flows.
	longFlowMean  = 30 * time.Minute
	shortFlowMean = 6 * time.Second
)

// liveFlow is an open flow of a workload.
type liveFlow struct {
	key                 flow.Key
	endTick             int
	ticksBetweenPackets int
	serviceIndex        int
}

// workload opens, uses and closes flows in the numbers of a deployment.
type workload struct {
	*cluster
	// flowsPerUpstream is the number of open flows per upstream.
	flowsPerUpstream int
	ticks            int
	opened           int
	// wheel is a timing wheel of the next packets of all open flows.
	wheel [wheelSize][]*liveFlow
	// openFlowsByUpstream counts the open flows by upstream.
	openFlowsByUpstream map[netip.AddrPort]int
	// reports has openFlowsByUpstream as of every second so far, because load reports
	// lag.
	reports []map[netip.AddrPort]int
	// underreporter is an upstream that reports a tenth of its load.
	underreporter netip.AddrPort
}

func newWorkload(c *cluster, flowsPerUpstream int) *workload {
	w := &workload{cluster: c, flowsPerUpstream: flowsPerUpstream, openFlowsByUpstream: make(map[netip.AddrPort]int)}
	w.underreporter = c.services[0].Upstreams[1].PacketAddress
	return w
}

// fill schedules the first packets of the flows that are open from the beginning.
func (w *workload) fill() {
	for i := range w.services {
		for range len(w.services[i].Upstreams) * w.flowsPerUpstream {
			meanLife := shortFlowMean
			if w.random.Float64() < longFlowShare {
				meanLife = longFlowMean
			}
			w.open(i, meanLife)
		}
	}
}

// open schedules the first packet of a new flow.
func (w *workload) open(serviceIndex int, meanLife time.Duration) {
	w.opened++
	f := &liveFlow{key: key(&w.services[serviceIndex], w.opened), serviceIndex: serviceIndex, ticksBetweenPackets: 100 + w.random.IntN(300)}
	f.endTick = w.ticks + 2 + int(w.random.ExpFloat64()*float64(meanLife/tickLength))
	w.schedule(f, w.random.IntN(f.ticksBetweenPackets))
}

func (w *workload) schedule(f *liveFlow, ticks int) {
	at := (w.ticks + max(1, ticks)) % wheelSize
	w.wheel[at] = append(w.wheel[at], f)
}

// runLoad runs the workload for the duration.
func (w *workload) runLoad(d time.Duration) {
	for range d / tickLength {
		w.ticks++
		w.run(tickLength)
		due := w.wheel[w.ticks%wheelSize]
		w.wheel[w.ticks%wheelSize] = nil
		for _, f := range due {
			w.sendNext(f)
		}
		w.openNewFlows()
		if w.ticks%100 == 0 {
			w.report()
		}
	}
}

// sendNext sends the next packet of the flow.
func (w *workload) sendNext(f *liveFlow) {
	_, known := w.oracle.upstream[f.key]
	if known && w.ticks >= f.endTick {
		w.sendToAnyHost(flow.Packet{Key: f.key, Last: true})
		w.openFlowsByUpstream[w.oracle.upstream[f.key]]--
		delete(w.oracle.upstream, f.key)
		return
	}
	w.sendToAnyHost(flow.Packet{Key: f.key, First: !known})
	to, served := w.oracle.upstream[f.key]
	switch {
	case !served:
		w.schedule(f, retransmitTicks)
	case !known:
		w.openFlowsByUpstream[to]++
		w.schedule(f, 1)
	default:
		w.schedule(f, min(f.ticksBetweenPackets, max(1, f.endTick-w.ticks)))
	}
}

// openNewFlows opens new flows at the rate at which flows end.
func (w *workload) openNewFlows() {
	for i := range w.services {
		open := float64(w.flowsPerUpstream * len(w.services[i].Upstreams))
		w.openNewFlowsOf(i, open*(1-longFlowShare)*float64(tickLength)/float64(shortFlowMean), shortFlowMean)
		w.openNewFlowsOf(i, open*longFlowShare*float64(tickLength)/float64(longFlowMean), longFlowMean)
	}
}

func (w *workload) openNewFlowsOf(serviceIndex int, meanCount float64, meanLife time.Duration) {
	n := int(meanCount)
	if w.random.Float64() < meanCount-float64(n) {
		n++
	}
	for range n {
		w.openAndSend(serviceIndex, meanLife)
	}
}

func (w *workload) openAndSend(serviceIndex int, meanLife time.Duration) {
	w.opened++
	f := &liveFlow{key: key(&w.services[serviceIndex], w.opened), serviceIndex: serviceIndex, ticksBetweenPackets: 100 + w.random.IntN(300)}
	f.endTick = w.ticks + 2 + int(w.random.ExpFloat64()*float64(meanLife/tickLength))
	w.sendNext(f)
}

// report gives every host the load reports from reportLag ago.
func (w *workload) report() {
	counts := make(map[netip.AddrPort]int, len(w.openFlowsByUpstream))
	for a, n := range w.openFlowsByUpstream {
		counts[a] = n
	}
	w.reports = append(w.reports, counts)
	lag := int(reportLag / time.Second)
	if len(w.reports) <= lag {
		return
	}
	old := w.reports[len(w.reports)-1-lag]
	var v health.View
	for _, svc := range w.services {
		for _, u := range svc.Upstreams {
			load := float64(old[u.PacketAddress]) / float64(u.Connections)
			if u.PacketAddress == w.underreporter {
				load /= 10
			}
			v.Upstreams = append(v.Upstreams, health.Upstream{
				Service: svc.ID, Name: u.Name, State: health.Up, Load: load, FlowLoad: load, LoadAt: w.now.Add(-reportLag), Ramp: 1,
			})
		}
	}
	for _, n := range w.nodes {
		if n.alive {
			w.step(n, flow.UpstreamsChanged{View: v})
		}
	}
}

// imbalance returns the largest ratio of an upstream's open flows per unit of
// weight to the mean of its service, over all active upstreams.
func (w *workload) imbalance() float64 {
	worst := 0.0
	for i := range w.services {
		worst = max(worst, w.imbalanceOf(i))
	}
	return worst
}

func (w *workload) imbalanceOf(serviceIndex int) float64 {
	sum, weights, highest := 0.0, 0.0, 0.0
	for _, u := range w.services[serviceIndex].Upstreams {
		if u.State != service.AdminActive {
			continue
		}
		n := float64(w.openFlowsByUpstream[u.PacketAddress])
		sum += n
		weights += float64(u.Weight)
		highest = max(highest, n/float64(u.Weight))
	}
	return highest / (sum / weights)
}
