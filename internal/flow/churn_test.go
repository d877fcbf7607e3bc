package flow_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/service"
)

// user is a deployment of the brief.
type user struct {
	name        string
	dataCentres []string
	prefer      service.Preference
}

var users = []user{
	{"amarres", []string{"tanger-quay", "tanger-quay", "casa-quay", "casa-quay", "kenitra-quay"}, service.PreferBalance},
	{"kowhai-lane", []string{"akl-a", "akl-b", "ham-a", "tga-a", "akl-a"}, service.PreferFlows},
}

// flowsEach is the number of flows of an upstream in the brief.
const flowsEach = 2000

// deploy starts a user's hosts and services with all their flows open.
func deploy(u user, f faults, build func(host.Host, uint64) balancer) *workload {
	c := newCluster(1, f, desk(1, 14, u.prefer), desk(2, 4, u.prefer))
	for i := range c.desks {
		c.desks[i].IdleTimeout = 2 * time.Minute
	}
	if build != nil {
		c.build = build
	}
	c.start(u.dataCentres...)
	w := newWorkload(c, flowsEach)
	w.fill()
	return w
}

// setState publishes another state of an upstream.
func (w *workload) setState(desk, i int, state service.AdminState) {
	d := &w.desks[desk]
	d.Upstreams = slices.Clone(d.Upstreams)
	d.Upstreams[i].State = state
	w.publish(w.uneven)
}

func (w *workload) setWeight(desk, i int, weight uint32) {
	d := &w.desks[desk]
	d.Upstreams = slices.Clone(d.Upstreams)
	d.Upstreams[i].Weight = weight
	w.publish(w.uneven)
}

func (w *workload) addUpstream(desk int) {
	d := &w.desks[desk]
	d.Upstreams = append(slices.Clone(d.Upstreams), upstreamOf(d.ID, len(d.Upstreams)))
	w.publish(w.uneven)
}

// churn is the schedule that every strategy goes through.
var churn = []struct {
	after time.Duration
	do    func(*workload)
}{
	{15 * time.Second, func(w *workload) { w.setState(0, 3, service.AdminDraining) }},
	{2 * time.Second, func(w *workload) { w.setWeight(0, 5, 2) }},
	{8 * time.Second, func(w *workload) { w.join("casa-quay") }},
	{10 * time.Second, func(w *workload) { w.leave(w.nodes[1]) }},
	{10 * time.Second, func(w *workload) { w.addUpstream(0) }},
	{3 * time.Second, func(w *workload) { w.setState(1, 1, service.AdminDraining) }},
	{12 * time.Second, func(w *workload) { w.crash(w.nodes[0]) }},
	{10 * time.Second, func(w *workload) { w.setState(0, 3, service.AdminActive); w.setWeight(0, 5, 1) }},
	{30 * time.Second, func(*workload) {}},
}

var strategies = []struct {
	name  string
	build func(host.Host, uint64) balancer
}{
	{"modulo", func(host.Host, uint64) balancer { return newBaseline(true) }},
	{"table-and-cache", func(host.Host, uint64) balancer { return newBaseline(false) }},
	{"owners", buildEngine},
}

// BenchmarkChurn runs the same changes of upstreams, hosts and configuration
// under the brief's load for each user and strategy. One op is the whole schedule.
func BenchmarkChurn(b *testing.B) {
	for _, u := range users {
		for _, s := range strategies {
			b.Run(u.name+"/"+s.name, func(b *testing.B) {
				for b.Loop() {
					runChurn(b, u, s.build)
				}
			})
		}
	}
}

func runChurn(b *testing.B, u user, build func(host.Host, uint64) balancer) {
	w := deploy(u, lossy, build)
	w.faults.relayDelay = 0
	w.measure = true
	window := newControlWindow(w.cluster)
	imbalance := 0.0
	for i, c := range churn {
		for range c.after / time.Second {
			w.play(time.Second)
			window.sample()
			steady := w.now.Sub(epoch) > 10*time.Second && (i == 0 || i == len(churn)-1 && w.now.Sub(epoch) > 95*time.Second)
			if steady {
				imbalance = max(imbalance, w.imbalance())
			}
		}
		c.do(w)
	}
	b.ReportMetric(float64(len(w.oracle.broken)), "broken/op")
	b.ReportMetric(float64(w.oracle.wrong), "misdelivered/op")
	b.ReportMetric(imbalance, "imbalance")
	b.ReportMetric(window.worst(), "ctrl-B/s/host")
	b.ReportMetric(float64(w.relays)/float64(w.packets-w.relays), "relays/packet")
	b.ReportMetric(float64(w.lostPackets())/float64(w.packets), "drops/packet")
	b.ReportMetric(float64(w.opened), "flows/op")
}

func (c *cluster) lostPackets() int {
	n := 0
	for _, count := range c.drops {
		n += count
	}
	return n
}

// controlWindow finds the busiest minute of control traffic of any host.
type controlWindow struct {
	cluster *cluster
	totals  [][]int
}

func newControlWindow(c *cluster) *controlWindow {
	return &controlWindow{cluster: c}
}

// sample notes each host's bytes in and out once a second.
func (w *controlWindow) sample() {
	row := make([]int, len(w.cluster.nodes))
	for i, n := range w.cluster.nodes {
		row[i] = n.in + n.out
	}
	w.totals = append(w.totals, row)
}

// worst returns the bytes a second, in and out, of the busiest host and minute.
func (w *controlWindow) worst() float64 {
	const minute = 60
	highest := 0
	for end, row := range w.totals {
		for i, total := range row {
			before := 0
			if start := end - minute; start >= 0 && i < len(w.totals[start]) {
				before = w.totals[start][i]
			}
			highest = max(highest, total-before)
		}
	}
	return float64(highest) / minute
}

// BenchmarkSlopeControl reports the control bytes that the drain of one of 14
// upstreams costs the busiest host, by number of hosts. One op is one drain.
func BenchmarkSlopeControl(b *testing.B) {
	for _, hosts := range []int{4, 8, 16, 32} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			for b.Loop() {
				c := newCluster(6, faults{delay: 20 * time.Millisecond, unevenness: time.Second}, desk(1, 14, service.PreferFlows))
				c.start(slices.Repeat([]string{"akl-a", "akl-b", "ham-a", "tga-a"}, hosts/4)...)
				c.run(15 * time.Second)
				c.openFlows(&c.desks[0], 0, 1000)
				c.measure = true
				c.drain(0, 3)
				c.run(10 * time.Second)
				worst := 0
				for _, n := range c.nodes {
					worst = max(worst, n.in+n.out)
				}
				b.ReportMetric(float64(worst), "ctrl-B/host")
			}
		})
	}
}
