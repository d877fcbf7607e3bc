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

// Time of one measurement, and before it for the start to settle.
const (
	settleTime  = 5 * time.Second
	measureTime = 20 * time.Second
)

// usage is what a host's process has used since it started.
type usage struct {
	cpuSeconds  float64
	memoryBytes float64
	peerIn      float64
	peerOut     float64
}

// usageOf reads a process's own metrics.
func usageOf(n *processNode) (usage, error) {
	n.mu.Lock()
	admin := n.admin
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
			u.peerIn += value
		case strings.HasPrefix(name, "oatlatch_peer_") && strings.HasSuffix(name, `bytes_total{direction="out"}`):
			u.peerOut += value
		}
	}
	return u, lines.Err()
}

// measure reports what the hosts' processes use on average while the load runs.
func measure(b *testing.B, options Options) {
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
	flows := flowLoad{fabric: d.fabric, answers: d.answers, ends: make(map[flowID]time.Time), perSecond: options.flowsPerSecond}
	group.Go(func() error { flows.run(groupCtx, d.services); return nil })
	_ = wait.For(ctx, settleTime)
	before := usages(b, d)
	_ = wait.For(ctx, measureTime)
	after := usages(b, d)
	var sum usage
	for i := range after {
		sum.cpuSeconds += after[i].cpuSeconds - before[i].cpuSeconds
		sum.memoryBytes += after[i].memoryBytes
		sum.peerIn += after[i].peerIn - before[i].peerIn
		sum.peerOut += after[i].peerOut - before[i].peerOut
	}
	hosts, seconds := float64(len(after)), measureTime.Seconds()
	b.ReportMetric(100*sum.cpuSeconds/hosts/seconds, "%core/host")
	b.ReportMetric(sum.memoryBytes/hosts/1e6, "MB/host")
	b.ReportMetric(sum.peerIn/hosts/seconds, "B/s-in/host")
	b.ReportMetric(sum.peerOut/hosts/seconds, "B/s-out/host")
	b.ReportMetric(0, "ns/op")
}

func usages(b *testing.B, d *deployment) []usage {
	var all []usage
	for _, e := range d.hosts() {
		u, err := usageOf(e.node.(*processNode))
		if err != nil {
			b.Fatal(err)
		}
		all = append(all, u)
	}
	return all
}

// BenchmarkSlopeHosts measures what idle hosts spend on each other.
func BenchmarkSlopeHosts(b *testing.B) {
	for _, hosts := range []int{2, 4, 8, 16} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) { measure(b, Options{hosts: hosts}) })
	}
}

// BenchmarkSlopeFlows measures what four hosts spend on new flows, each of
// which also carries a packet a second.
func BenchmarkSlopeFlows(b *testing.B) {
	for _, perSecond := range []int{250, 500, 1000} {
		b.Run(fmt.Sprintf("flows/s/host=%d", perSecond/2), func(b *testing.B) { measure(b, Options{flowsPerSecond: perSecond}) })
	}
}
