package demo

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/wait"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
)

const (
	// warmupTime is the wait before a measurement, so that it excludes the cost of starting.
	warmupTime = 5 * time.Second
	// measureTime is the duration of a measurement.
	measureTime = 20 * time.Second
)

// usage is the resource usage of a host's process. Except for memoryBytes, the values are
// totals since the process started.
type usage struct {
	cpuSeconds float64
	// memoryBytes is the current resident memory.
	memoryBytes  float64
	peerBytesIn  float64
	peerBytesOut float64
}

// readUsage reads the usage from the metrics of the host.
func readUsage(n *processNode) (usage, error) {
	n.mu.Lock()
	admin := n.adminAddress
	n.mu.Unlock()
	response, err := http.Get("http://" + admin + "/metrics")
	if err != nil {
		return usage{}, err
	}
	defer response.Body.Close()
	var u usage
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		name, text, _ := strings.Cut(lines.Text(), " ")
		value, err := strconv.ParseFloat(text, 64)
		switch {
		case err != nil:
		case name == "process_cpu_seconds_total":
			u.cpuSeconds = value
		case name == "process_resident_memory_bytes":
			u.memoryBytes = value
		case strings.HasPrefix(name, "oatlatch_peer_") && strings.HasSuffix(name, `bytes_total{direction="in"}`):
			u.peerBytesIn += value
		case strings.HasPrefix(name, "oatlatch_peer_") && strings.HasSuffix(name, `bytes_total{direction="out"}`):
			u.peerBytesOut += value
		}
	}
	return u, lines.Err()
}

// benchmarkUsage reports the average resource usage of the hosts' processes under a load
// of flows without requests.
func benchmarkUsage(b *testing.B, options Options) {
	b.Helper()
	options.User, options.Seed, options.Logger, options.launch = "amarres", 1, zerolog.Nop(), launchProcess
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, groupCtx := errgroup.WithContext(ctx)
	d, err := newDeployment(groupCtx, group, options)
	defer d.close()
	if err != nil {
		b.Fatal(err)
	}
	flows := flowLoad{fabric: d.fabric, answered: d.answered, closeTimes: make(map[flowID]time.Time), flowsPerSecond: options.flowsPerSecond}
	group.Go(func() error { flows.run(groupCtx, d.services); return nil })
	_ = wait.Sleep(ctx, warmupTime)
	before := readUsages(b, d)
	_ = wait.Sleep(ctx, measureTime)
	after := readUsages(b, d)
	var sum usage
	for i := range after {
		sum.cpuSeconds += after[i].cpuSeconds - before[i].cpuSeconds
		sum.memoryBytes += after[i].memoryBytes
		sum.peerBytesIn += after[i].peerBytesIn - before[i].peerBytesIn
		sum.peerBytesOut += after[i].peerBytesOut - before[i].peerBytesOut
	}
	hosts, seconds := float64(len(after)), measureTime.Seconds()
	b.ReportMetric(100*sum.cpuSeconds/hosts/seconds, "%core/host")
	b.ReportMetric(sum.memoryBytes/hosts/1e6, "MB/host")
	b.ReportMetric(sum.peerBytesIn/hosts/seconds, "B/s-in/host")
	b.ReportMetric(sum.peerBytesOut/hosts/seconds, "B/s-out/host")
	b.ReportMetric(0, "ns/op")
}

// readUsages reads the usage of all hosts.
func readUsages(b *testing.B, d *deployment) []usage {
	var all []usage
	for _, e := range d.hosts() {
		u, err := readUsage(e.node.(*processNode))
		if err != nil {
			b.Fatal(err)
		}
		all = append(all, u)
	}
	return all
}

// BenchmarkScalingHosts measures how the resource usage of a host without load grows with
// the number of hosts.
func BenchmarkScalingHosts(b *testing.B) {
	for _, hosts := range []int{2, 4, 8, 16} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) { benchmarkUsage(b, Options{hosts: hosts}) })
	}
}

// BenchmarkScalingFlows measures how the resource usage of each of four hosts grows with the
// rate of new flows. Each established flow also carries one packet per second.
func BenchmarkScalingFlows(b *testing.B) {
	for _, perSecond := range []int{250, 500, 1000} {
		b.Run(fmt.Sprintf("flows/s/host=%d", perSecond/2), func(b *testing.B) { benchmarkUsage(b, Options{flowsPerSecond: perSecond}) })
	}
}
