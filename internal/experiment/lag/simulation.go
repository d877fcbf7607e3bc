package lag

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/feed"
)

const (
	// startSpread is the time within which all hosts start.
	startSpread = 2 * time.Second
	// sampleInterval is the time between two samples.
	sampleInterval = 100 * time.Millisecond
	// settleTime is how long the simulation runs after the last change.
	settleTime = 3 * time.Second
)

// stream is a kind of changes. A host that knows one change of a stream knows all earlier
// ones.
type stream uint8

// Streams of changes.
const (
	drainStream stream = iota
	configurationStream
	streams
)

// simulation is a run.
type simulation struct {
	scheduler
	options Options
	random  *rand.Rand
	clock   clock
	store   store
	hosts   []*simulatedHost
	byName  map[string]*simulatedHost
	// faultsFrom is the time from which sources fail.
	faultsFrom time.Time
	// firstKnown holds when a measured host first knew each change of each stream.
	firstKnown [streams][]time.Time
	// written holds when the store acknowledged each configuration.
	written []time.Time
	load    load
	samples []Sample
	// operator is the longest time until a configuration was in force on a measured host.
	operator time.Duration
}

// Run simulates the feeds. The options must be valid.
func Run(options Options) Result {
	s := &simulation{options: options, random: rand.New(rand.NewPCG(options.Seed, 0)), byName: make(map[string]*simulatedHost)}
	s.now = time.Unix(1_000_000, 0)
	s.clock = clock{scheduler: &s.scheduler}
	s.store.clock = s.clock
	s.faultsFrom = s.now.Add(options.Warmup)
	s.load = load{from: s.faultsFrom, servedSecond: make(map[*simulatedHost]int)}
	s.addHosts()
	s.setFaults()
	s.planChanges()
	s.planSamples()
	s.run(s.faultsFrom.Add(options.Duration + settleTime))
	return s.result()
}

// addHosts registers all hosts, gives some of them faults, and starts their feeds.
func (s *simulation) addHosts() {
	for i := range s.options.Hosts {
		h := &simulatedHost{sim: s, dataCentre: fmt.Sprintf("dc-%d", i%s.options.DataCentres)}
		h.name = fmt.Sprintf("%s-host-%d", h.dataCentre, i/s.options.DataCentres)
		h.store = &storeSource{host: h}
		metrics, err := feed.NewMetrics(nil)
		if err != nil {
			panic(err) // metrics that are not registered cannot fail
		}
		h.feed = feed.New(feed.Options{
			Self: h.name, DataCentre: h.dataCentre, Store: h.store, Peer: func(to catalog.Host) feed.Source { return s.peer(h, to.Name) },
			Send:   func(to catalog.Host, m feed.Message) { s.sendMessage(h, s.byName[to.Name], m) },
			Timing: feed.NewTiming(s.options.Limit), OnView: h.onView, Logger: zerolog.Nop(), Metrics: metrics, Clock: clock{scheduler: &s.scheduler, host: h},
			Seed: s.options.Seed<<16 + uint64(i),
		})
		s.hosts = append(s.hosts, h)
		s.byName[h.name] = h
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
		s.store.write(catalog.Change{Host: &catalog.Host{Name: h.name, DataCentre: h.dataCentre, Peer: address, Joined: s.store.revision + 1}}, -1)
		start := s.now.Add(s.upTo(startSpread))
		h.run(start, h.feed.Run)
		h.run(start, h.feed.RunPartners)
	}
	for _, i := range s.random.Perm(len(s.hosts))[:int(s.options.FaultyHosts*float64(len(s.hosts)))] {
		s.hosts[i].serves = s.options.HostFaults[s.random.IntN(len(s.options.HostFaults))]
	}
	for _, i := range s.random.Perm(len(s.hosts))[:int(s.options.FaultyStores*float64(len(s.hosts)))] {
		s.hosts[i].stored = s.options.StoreFaults[s.random.IntN(len(s.options.StoreFaults))]
	}
}

// setFaults replaces faults of single hosts.
func (s *simulation) setFaults() {
	for name, fault := range s.options.HostFault {
		s.byName[name].serves = fault
	}
	for name, fault := range s.options.StoreFault {
		s.byName[name].stored = fault
	}
}

// peer returns the named host as a source of another one.
func (s *simulation) peer(from *simulatedHost, name string) feed.Source {
	to := s.byName[name]
	if to == nil {
		return nil
	}
	return &peerSource{from: from, to: to}
}

// upTo returns a random duration of less than d.
func (s *simulation) upTo(d time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(d)))
}

// planChanges writes the first configuration and plans all later changes.
func (s *simulation) planChanges() {
	configuration := s.store.write(catalog.Change{Configuration: &catalog.Configuration{Version: 1}}, -1)
	version := uint64(1)
	s.firstKnown[configurationStream], s.written = []time.Time{{}}, []time.Time{{}}
	s.plan(s.options.Configurations, func() {
		version++
		s.firstKnown[configurationStream] = append(s.firstKnown[configurationStream], time.Time{})
		s.written = append(s.written, s.now)
		s.store.write(catalog.Change{Configuration: &catalog.Configuration{Version: version}}, configuration)
	})
	s.plan(s.options.Drains, func() {
		n := len(s.firstKnown[drainStream])
		s.firstKnown[drainStream] = append(s.firstKnown[drainStream], time.Time{})
		s.store.write(catalog.Change{Upstream: newUpstream(n, true)}, -1)
	})
}

// newUpstream returns the record of the upstream with the number.
func newUpstream(n int, draining bool) *catalog.Upstream {
	return &catalog.Upstream{
		ID: catalog.UpstreamID(n + 1), Name: fmt.Sprintf("i-%08x", n+1), Service: "desk", Slots: 3, Draining: draining,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 80),
	}
}

// plan plans the calls of f, with the mean time between two of them.
func (s *simulation) plan(mean time.Duration, f func()) {
	if mean == 0 {
		return
	}
	end := s.faultsFrom.Add(s.options.Duration)
	for t := s.faultsFrom.Add(s.upTo(2 * mean)); t.Before(end); t = t.Add(s.upTo(2 * mean)) {
		s.at(t, f)
	}
}

// planSamples plans a sample of the lag in each interval.
func (s *simulation) planSamples() {
	lags := make([]time.Duration, 0, len(s.hosts))
	for at := time.Duration(0); at < s.options.Duration+settleTime; at += sampleInterval {
		s.at(s.faultsFrom.Add(at), func() {
			lags = lags[:0]
			for _, h := range s.hosts {
				if h.measured() {
					lags = append(lags, h.lag())
				}
			}
			s.samples = append(s.samples, newSample(at, lags))
		})
	}
}

// travel carries a message one way.
func (s *simulation) travel(ctx context.Context, latency time.Duration, fault Fault) error {
	if fault == Slow {
		latency *= slowFactor
	}
	return s.clock.waitUntil(ctx, s.now.Add(latency))
}

// lose waits until the caller of a lost call gives up.
func (s *simulation) lose(ctx context.Context) error {
	return s.clock.waitUntil(ctx, s.now.Add(time.Hour))
}

// result evaluates the run.
func (s *simulation) result() Result {
	r := Result{Hosts: len(s.hosts), Operator: s.operator, Samples: s.samples, ServedPeak: s.load.servedPeak, StorePeak: s.load.storePeak}
	for _, h := range s.hosts {
		if !h.measured() {
			continue
		}
		r.Measured++
		if lag := h.lag(); lag > h.worst {
			h.worst, h.worstAt = lag, s.now
		}
		if h.worst > r.Worst {
			r.Worst, r.WorstHost, r.WorstSource = h.worst, h.name, h.stored
			r.WorstAt = h.worstAt.Sub(s.faultsFrom)
		}
	}
	seconds := (s.options.Duration + settleTime).Seconds()
	perHost := seconds * float64(len(s.hosts))
	r.Calls, r.RemoteCalls = float64(s.load.calls)/perHost, float64(s.load.remoteCalls)/perHost
	r.Bytes, r.RemoteBytes, r.PartnerBytes = float64(s.load.bytes)/perHost, float64(s.load.remoteBytes)/perHost, float64(s.load.partners)/perHost
	r.Messages = float64(s.load.messages) / perHost
	r.StoreCalls = float64(s.load.storeCalls) / seconds
	return r
}
