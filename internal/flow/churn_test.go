package flow_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/service"
)

// deployment is a user's deployment as the requirements describe it.
type deployment struct {
	name        string
	dataCentres []string
	prefer      service.Preference
}

var deployments = []deployment{
	{"amarres", []string{"tanger-quay", "tanger-quay", "casa-quay", "casa-quay", "kenitra-quay"}, service.PreferBalance},
	{"kowhai-lane", []string{"akl-a", "akl-b", "ham-a", "tga-a", "akl-a"}, service.PreferFlows},
}

// flowsPerUpstream is the number of open flows per upstream in the requirements.
const flowsPerUpstream = 2000

// startDeployment starts the hosts and services of a deployment and opens all flows.
func startDeployment(d deployment, f faults, build func(host.Host, uint64) balancer) *workload {
	c := newCluster(1, f, testService(1, 14, d.prefer), testService(2, 4, d.prefer))
	for i := range c.services {
		c.services[i].IdleTimeout = 2 * time.Minute
	}
	if build != nil {
		c.build = build
	}
	c.start(d.dataCentres...)
	w := newWorkload(c, flowsPerUpstream)
	w.fill()
	return w
}

// setUpstreamState publishes a configuration with another state of the upstream.
func (w *workload) setUpstreamState(serviceIndex, i int, state service.AdminState) {
	s := &w.services[serviceIndex]
	s.Upstreams = slices.Clone(s.Upstreams)
	s.Upstreams[i].State = state
	w.publish(w.randomLag)
}

func (w *workload) setUpstreamWeight(serviceIndex, i int, weight uint32) {
	s := &w.services[serviceIndex]
	s.Upstreams = slices.Clone(s.Upstreams)
	s.Upstreams[i].Weight = weight
	w.publish(w.randomLag)
}

func (w *workload) addUpstream(serviceIndex int) {
	s := &w.services[serviceIndex]
	s.Upstreams = append(slices.Clone(s.Upstreams), testUpstream(s.ID, len(s.Upstreams)))
	w.publish(w.randomLag)
}

// churnSchedule lists the changes that BenchmarkChurn applies to every balancer,
// each after a period of load.
var churnSchedule = []struct {
	after time.Duration
	do    func(*workload)
}{
	{15 * time.Second, func(w *workload) { w.setUpstreamState(0, 3, service.AdminDraining) }},
	{2 * time.Second, func(w *workload) { w.setUpstreamWeight(0, 5, 2) }},
	{8 * time.Second, func(w *workload) { w.join("casa-quay") }},
	{10 * time.Second, func(w *workload) { w.leave(w.nodes[1]) }},
	{10 * time.Second, func(w *workload) { w.addUpstream(0) }},
	{3 * time.Second, func(w *workload) { w.setUpstreamState(1, 1, service.AdminDraining) }},
	{12 * time.Second, func(w *workload) { w.crash(w.nodes[0]) }},
	{10 * time.Second, func(w *workload) { w.setUpstreamState(0, 3, service.AdminActive); w.setUpstreamWeight(0, 5, 1) }},
	{30 * time.Second, func(*workload) {}},
}

var balancers = []struct {
	name  string
	build func(host.Host, uint64) balancer
}{
	{"modulo", func(host.Host, uint64) balancer { return newBaseline(true) }},
	{"table-and-cache", func(host.Host, uint64) balancer { return newBaseline(false) }},
	{"owners", buildEngine},
}

// BenchmarkChurn applies the same changes of upstreams, hosts and configuration
// under full load to each deployment and balancer. One op is the whole schedule.
func BenchmarkChurn(b *testing.B) {
	for _, d := range deployments {
		for _, strategy := range balancers {
			b.Run(d.name+"/"+strategy.name, func(b *testing.B) {
				for b.Loop() {
					runChurn(b, d, strategy.build)
				}
			})
		}
	}
}

func runChurn(b *testing.B, d deployment, build func(host.Host, uint64) balancer) {
	w := startDeployment(d, lossy, build)
	w.faults.relayDelay = 0
	w.measure = true
	traffic := newControlTraffic(w.cluster)
	imbalance := 0.0
	for i, change := range churnSchedule {
		for range change.after / time.Second {
			w.runLoad(time.Second)
			traffic.sample()
			// The imbalance counts before the first change and at the end of the last
			// period, when the cluster has settled.
			steady := w.now.Sub(epoch) > 10*time.Second && (i == 0 || i == len(churnSchedule)-1 && w.now.Sub(epoch) > 95*time.Second)
			if steady {
				imbalance = max(imbalance, w.imbalance())
			}
		}
		change.do(w)
	}
	b.ReportMetric(float64(len(w.oracle.broken)), "broken/op")
	b.ReportMetric(float64(w.oracle.misdelivered), "misdelivered/op")
	b.ReportMetric(imbalance, "imbalance")
	b.ReportMetric(traffic.busiestMinute(), "ctrl-B/s/host")
	b.ReportMetric(float64(w.relays)/float64(w.packets-w.relays), "relays/packet")
	b.ReportMetric(float64(w.droppedPackets())/float64(w.packets), "drops/packet")
	b.ReportMetric(float64(w.opened), "flows/op")
}

func (c *cluster) droppedPackets() int {
	n := 0
	for _, count := range c.drops {
		n += count
	}
	return n
}

// controlTraffic samples the control traffic of all hosts to find the busiest
// minute of any of them.
type controlTraffic struct {
	cluster *cluster
	samples [][]int
}

func newControlTraffic(c *cluster) *controlTraffic {
	return &controlTraffic{cluster: c}
}

// sample records each host's total of control bytes; call it once a second.
func (t *controlTraffic) sample() {
	row := make([]int, len(t.cluster.nodes))
	for i, n := range t.cluster.nodes {
		row[i] = n.in + n.out
	}
	t.samples = append(t.samples, row)
}

// busiestMinute returns the control bytes per second, in and out, of the host
// with the most in any minute.
func (t *controlTraffic) busiestMinute() float64 {
	const minute = 60
	highest := 0
	for end, row := range t.samples {
		for i, total := range row {
			before := 0
			if start := end - minute; start >= 0 && i < len(t.samples[start]) {
				before = t.samples[start][i]
			}
			highest = max(highest, total-before)
		}
	}
	return float64(highest) / minute
}

// BenchmarkScalingControl reports the control bytes of the busiest host when one of
// 14 upstreams is drained, by number of hosts. One op is one drain.
func BenchmarkScalingControl(b *testing.B) {
	for _, hosts := range []int{4, 8, 16, 32} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			for b.Loop() {
				c := newCluster(6, faults{delay: 20 * time.Millisecond, maxLag: time.Second}, testService(1, 14, service.PreferFlows))
				c.start(slices.Repeat([]string{"akl-a", "akl-b", "ham-a", "tga-a"}, hosts/4)...)
				c.run(15 * time.Second)
				c.openFlows(&c.services[0], 0, 1000)
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
