package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/callers"
	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/dispatch"
	"github.com/oatlatch/oatlatch/internal/health"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/membership"
	"github.com/oatlatch/oatlatch/internal/service"
)

// latencies is a histogram of durations in microseconds. It may be used concurrently.
type latencies struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

func newLatencies() *latencies {
	return &latencies{histogram: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
}

func (l *latencies) add(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.histogram.RecordValue(d.Microseconds())
}

func (l *latencies) report(b *testing.B, name string) (p50, p99 float64) {
	p50, p99 = float64(l.histogram.ValueAtQuantile(50)), float64(l.histogram.ValueAtQuantile(99))
	b.ReportMetric(p50, name+"-p50-µs")
	b.ReportMetric(p99, name+"-p99-µs")
	return p50, p99
}

// cpuTime returns the CPU time that the process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkOverhead compares the latency of requests through a host with that of requests
// sent directly to the same stand-in upstream. The two alternate within one run.
func BenchmarkOverhead(b *testing.B) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		for _, work := range []time.Duration{0, 5 * time.Millisecond} {
			b.Run(fmt.Sprintf("%s/work=%v", method, work), func(b *testing.B) { benchmarkOverhead(b, method, work) })
		}
	}
}

func benchmarkOverhead(b *testing.B, method string, work time.Duration) {
	c := newCluster(b, clusterOptions{hosts: 1, upstreams: 1, slots: 16, serviceTime: work, upstreamQueue: 100})
	transport := &http.Transport{MaxIdleConnsPerHost: 16}
	b.Cleanup(transport.CloseIdleConnections)
	ticket := ""
	call := func(address string, record *latencies) {
		request, _ := http.NewRequest(method, "http://"+address+"/x", nil)
		request.Host = requestHost
		request.Header.Set(dispatch.HeaderTicket, ticket)
		started := time.Now()
		resp, err := transport.RoundTrip(request)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if record != nil {
			record.add(time.Since(started))
		}
		if newTicket := resp.Header.Get(dispatch.HeaderTicket); newTicket != "" {
			ticket = newTicket
		}
	}
	viaHost, target := c.node("entry-0").address, c.upstreams[0].HTTPAddr().String()
	for range 200 {
		call(viaHost, nil)
		call(target, nil)
	}
	directTimes, viaHostTimes := newLatencies(), newLatencies()
	for b.Loop() {
		call(target, directTimes)
		call(viaHost, viaHostTimes)
	}
	direct50, direct99 := directTimes.report(b, "direct")
	viaHost50, viaHost99 := viaHostTimes.report(b, "through")
	b.ReportMetric(viaHost50/direct50, "p50-ratio")
	b.ReportMetric(viaHost99/direct99, "p99-ratio")
}

// BenchmarkThroughput reports requests per second of CPU time. The time includes that of
// the caller and the stand-in upstreams, which run in the same process.
func BenchmarkThroughput(b *testing.B) {
	c := newCluster(b, clusterOptions{hosts: 1, upstreams: 4, slots: 16, upstreamQueue: 1000})
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	b.Cleanup(transport.CloseIdleConnections)
	for name, address := range map[string]string{"direct": c.upstreams[0].HTTPAddr().String(), "through": c.node("entry-0").address} {
		b.Run(name, func(b *testing.B) {
			before := cpuTime()
			b.SetParallelism(2)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					request, _ := http.NewRequest(http.MethodGet, "http://"+address+"/x", nil)
					request.Host = requestHost
					resp, err := transport.RoundTrip(request)
					if err != nil {
						b.Error(err)
						return
					}
					_, _ = io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
			})
			b.ReportMetric(float64(b.N)/(cpuTime()-before).Seconds(), "requests/cpu-s")
		})
	}
}

// BenchmarkOverload sends requests in an open loop at 0.7, 1 and 2 times the capacity and
// reports the goodput as a fraction of the capacity. The skew is the fraction of requests
// that go to the first host; the others go to hosts at random.
func BenchmarkOverload(b *testing.B) {
	for _, load := range []float64{0.7, 1, 2} {
		for _, skew := range []float64{0, 0.3} {
			b.Run(fmt.Sprintf("load=%.1f/skew=%.1f", load, skew), func(b *testing.B) { benchmarkOverload(b, load, skew) })
		}
	}
}

func benchmarkOverload(b *testing.B, load, skew float64) {
	const (
		work     = 20 * time.Millisecond
		slots    = 3 * 4
		deadline = 250 * time.Millisecond
		length   = 4 * time.Second
	)
	c := newCluster(b, clusterOptions{hosts: 5, upstreams: 4, slots: 3, serviceTime: work, upstreamQueue: 1000})
	clients := make([]*callers.Client, 5)
	for i, address := range c.addresses() {
		clients[i] = callers.New(callers.Options{Hosts: []string{address}, RequestHost: requestHost})
	}
	random := rand.New(rand.NewPCG(1, 2))
	capacity := float64(slots) / work.Seconds()
	answered, refused := newLatencies(), newLatencies()
	var pending sync.WaitGroup
	for b.Loop() {
		started := time.Now()
		for next := time.Duration(0); next < length; next += time.Duration(random.ExpFloat64() / (load * capacity) * float64(time.Second)) {
			time.Sleep(time.Until(started.Add(next)))
			client := clients[random.IntN(len(clients))]
			if random.Float64() < skew {
				client = clients[0]
			}
			pending.Go(func() {
				sent := time.Now()
				_, err := client.Do(context.Background(), callers.Request{Method: http.MethodGet, Path: "/plan", Deadline: deadline})
				if err == nil {
					answered.add(time.Since(sent))
				} else {
					refused.add(time.Since(sent))
				}
			})
		}
		pending.Wait()
	}
	total := capacity * length.Seconds() * float64(b.N)
	b.ReportMetric(float64(answered.histogram.TotalCount())/total, "goodput")
	b.ReportMetric(float64(refused.histogram.TotalCount())/total, "refused")
	answered.report(b, "answered")
	refused.report(b, "refused")
	peak := 0
	for _, u := range c.upstreams {
		peak = max(peak, u.PeakInFlight())
	}
	b.ReportMetric(float64(peak), "peak-at-upstream")
}

// BenchmarkScalingUpstreams measures how the time to process a health view grows with the
// number of services. A service has 2.5 upstreams on average, and there are 60 hosts.
func BenchmarkScalingUpstreams(b *testing.B) {
	for _, services := range []int{300, 600, 1200} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) { benchmarkSetUpstreams(b, services) })
	}
}

func benchmarkSetUpstreams(b *testing.B, services int) {
	d := dispatch.New(dispatch.Options{Self: host.Host{ID: "entry-00", Incarnation: 1}, Logger: zerolog.Nop(), Now: time.Now})
	snapshot := &config.Snapshot{Manifest: config.Manifest{Version: 1}}
	var view health.View
	for id := range services {
		s := service.Service{Name: fmt.Sprintf("service-%d", id), ID: service.ID(id), RequestHost: fmt.Sprintf("s%d.test", id)}
		for n := range 2 + id%4/2*3/2 {
			u := service.Upstream{Name: fmt.Sprintf("target-%d", n), Slots: 3, Weight: 1, State: service.AdminActive}
			s.Upstreams = append(s.Upstreams, u)
			view.Upstreams = append(view.Upstreams, health.Upstream{Service: s.ID, Name: u.Name, State: health.Up})
		}
		snapshot.Services = append(snapshot.Services, s)
	}
	d.Adopt(snapshot)
	var members membership.View
	for n := range 60 {
		members.Members = append(members.Members, membership.Member{Host: host.Host{ID: host.ID(fmt.Sprintf("entry-%02d", n))}, State: membership.Live})
	}
	d.SetMembers(members)
	for b.Loop() {
		d.SetUpstreams(view)
	}
	b.ReportMetric(float64(len(view.Upstreams)), "upstreams")
}
