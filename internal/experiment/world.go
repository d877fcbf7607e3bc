package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/flow/echo"
	"github.com/oatlatch/oatlatch/internal/standin/virtual"
)

// Epoch is when each run begins.
var epoch = time.Unix(1_000_000, 0)

const (
	serviceName = "desk"
	// beliefDelay is how long hosts take to hear of a change of an upstream.
	beliefDelay = time.Second
	// silenceNoticed is how long the registration of a dead upstream stays.
	silenceNoticed = 3 * time.Second
	// probeTick is the time between checks of suspected upstreams.
	probeTick = 100 * time.Millisecond
)

// Virtual addresses: requests that may be repeated and those that may not.
var (
	watchAddress = netip.MustParseAddrPort("198.18.0.1:443")
	orderAddress = netip.MustParseAddrPort("198.18.0.2:443")
)

// world is one run.
type world struct {
	options   Options
	policy    echo.Policy
	random    *rand.Rand
	agenda    virtual.Agenda
	now       time.Time
	hosts     []*hostNode
	upstreams []*upstreamNode
	byID      map[catalog.UpstreamID]*upstreamNode
	cut       map[int]bool
	callers   int
	rate      float64
	result    *recorder
}

// hostNode is an entry host.
type hostNode struct {
	name   string
	site   int
	engine *echo.Engine
	// told are the requests of the site's other hosts, as they last said.
	told map[catalog.UpstreamID]int
	// down is set while the host forwards nothing, out while routers leave it out.
	down, out bool
}

func newWorld(options Options, policy echo.Policy) *world {
	w := &world{
		options: options, policy: policy, random: rand.New(rand.NewPCG(options.Seed, 1)), now: epoch,
		byID: make(map[catalog.UpstreamID]*upstreamNode), cut: make(map[int]bool), rate: 1, result: newRecorder(),
	}
	for site := range options.Sites {
		for range options.UpstreamsPerSite {
			w.addUpstream(site, false)
		}
		for i := range options.HostsPerSite {
			h := &hostNode{name: fmt.Sprintf("%s-%d", siteName(site), i), site: site}
			w.hosts = append(w.hosts, h)
			w.startHost(h)
		}
	}
	return w
}

func siteName(site int) string { return fmt.Sprintf("site-%c", 'a'+rune(site)) }

// after puts a function on the agenda.
func (w *world) after(d time.Duration, run func()) { w.agenda.Add(w.now.Add(d), run) }

// at puts a function on the agenda at a time of the run.
func (w *world) at(t time.Duration, run func()) { w.agenda.Add(epoch.Add(t), run) }

// play runs until nothing more happens.
func (w *world) play() {
	until := epoch.Add(w.options.Length + 10*time.Second)
	for {
		at, run, ok := w.agenda.Next(until)
		if !ok {
			return
		}
		w.now = at
		run()
	}
}

// startHost gives the host a new engine that knows the present upstreams.
func (w *world) startHost(h *hostNode) {
	h.engine = echo.New(echo.Options{
		DataCentre: siteName(h.site), Seed: w.random.Uint64(), Policy: w.policy,
		Truth:      func(id catalog.UpstreamID) float64 { return w.truth(h, id) },
		Neighbours: func(id catalog.UpstreamID) int { return h.told[id] },
	})
	w.tell(h)
}

// truth is the real load of an upstream as the host would use it, for the bound.
func (w *world) truth(h *hostNode, id catalog.UpstreamID) float64 {
	u := w.byID[id]
	if u.dead || w.severed(h.site, u.site) {
		return math.Inf(1)
	}
	load := float64(u.running+len(u.queue)) / (float64(u.slots) / u.slowness(w.now))
	if u.site != h.site {
		load += 0.01
	}
	return load
}

// severed reports whether a partition separates two sites.
func (w *world) severed(a, b int) bool { return a != b && (w.cut[a] || w.cut[b]) }

// tell puts the hosts' present knowledge of the upstreams in force.
func (w *world) tell(h *hostNode) {
	view := catalog.View{Configuration: &catalog.Configuration{Version: 1, IdleTimeout: 15 * time.Second, Routes: []catalog.Route{
		{Name: "watch", Address: watchAddress, Shares: []catalog.Share{{Service: serviceName, Weight: 1}}, Repeatable: true, Priority: 2, Objective: objective, Timeout: deadline},
		{Name: "order", Address: orderAddress, Shares: []catalog.Share{{Service: serviceName, Weight: 1}}, Priority: 1, Objective: objective, Timeout: deadline},
	}}}
	for _, u := range w.upstreams {
		if !u.forgotten {
			view.Upstreams = append(view.Upstreams, u.entry(w.now))
		}
	}
	h.engine.SetView(w.now, view)
}

// tellAll lets all hosts hear of a change after the usual delay.
func (w *world) tellAll(delay time.Duration) {
	w.after(delay, func() {
		for _, h := range w.hosts {
			if !h.down {
				w.tell(h)
			}
		}
	})
}

// route returns the host that gets the caller's packets: a hash over the hosts
// of the caller's site in rotation, or over all others when there are none.
func (w *world) route(site int, caller netip.AddrPort) *hostNode {
	var local, remote []*hostNode
	for _, h := range w.hosts {
		switch {
		case h.out:
		case h.site == site:
			local = append(local, h)
		default:
			remote = append(remote, h)
		}
	}
	candidates := local
	if len(candidates) == 0 {
		candidates = remote
	}
	if len(candidates) == 0 {
		return nil
	}
	var best *hostNode
	var highest uint64
	for _, h := range candidates {
		if score := mix(uint64(caller.Port()), h.name); best == nil || score > highest {
			best, highest = h, score
		}
	}
	return best
}

// mix is a hash of a number and a name.
func mix(number uint64, name string) uint64 {
	h := number*0x9e3779b97f4a7c15 + 0x1234567
	for _, c := range []byte(name) {
		h = (h ^ uint64(c)) * 0x100000001b3
	}
	return h ^ h>>29
}

// probes lets hosts check suspected upstreams for the whole run.
func (w *world) probes() {
	for _, h := range w.hosts {
		for _, p := range h.engine.Probes(w.now) {
			if u := w.byID[p.Upstream]; !u.dead && !w.severed(h.site, u.site) && !h.down {
				h.engine.Reached(w.now, p.Upstream)
			}
		}
	}
	if w.now.Before(epoch.Add(w.options.Length)) {
		w.after(probeTick, w.probes)
	}
}

// share lets the hosts of each site tell each other their requests.
func (w *world) share() {
	for _, h := range w.hosts {
		h.told = make(map[catalog.UpstreamID]int)
	}
	for _, h := range w.hosts {
		if h.down {
			continue
		}
		waiting := h.engine.Waiting()
		for _, other := range w.hosts {
			if other == h || other.site != h.site {
				continue
			}
			for id, n := range waiting {
				other.told[id] += n
			}
		}
	}
	if w.now.Before(epoch.Add(w.options.Length)) {
		w.after(w.options.ShareEvery, w.share)
	}
}

// logNormal draws a time with the mean.
func (w *world) logNormal(mean time.Duration, spread float64) time.Duration {
	return time.Duration(float64(mean) * math.Exp(spread*w.random.NormFloat64()-spread*spread/2))
}

// exponential draws a time with the mean.
func (w *world) exponential(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * w.random.ExpFloat64())
}
