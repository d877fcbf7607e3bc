package soak

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"syscall"
	"time"

	"github.com/oatlatch/oatlatch/platform/standin"
)

// upstream is an upstream of the run.
type upstream struct {
	standin *standin.Upstream
	// dc is the index of the upstream's data centre.
	dc int
	// retired is set once the upstream is draining or has crashed, left once its
	// registration has been removed.
	retired, left bool
}

// drainTime is how long an upstream continues to serve after it has announced that
// it is draining.
const drainTime = applyWithin + time.Second

// addUpstream starts an upstream and registers it.
func (r *soakRun) addUpstream(dc int, service string) error {
	r.upstreamsStarted++
	u, err := standin.NewUpstream(standin.UpstreamOptions{
		Name: fmt.Sprintf("i-%08x", 0x1000+r.upstreamsStarted), Service: service, DataCentre: dataCentreName(dc),
		Address:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 20, byte(r.upstreamsStarted >> 8), byte(r.upstreamsStarted)}), r.basePort+3),
		CallerPort: r.basePort, Slots: slotsPerUpstream, ServiceTime: serviceTime, Recorder: r.recorder,
	})
	if err != nil {
		return err
	}
	r.registryMu.Lock()
	defer r.registryMu.Unlock()
	r.upstreams = append(r.upstreams, &upstream{standin: u, dc: dc})
	return r.store.Put(u.StoreKey(), u.Registration())
}

// fault is a kind of fault or of planned operation.
type fault struct {
	name   string
	inject func(*soakRun)
}

// plannedOperations are operations during which all guarantees hold.
var plannedOperations = []fault{
	{"planned-stop", func(r *soakRun) { h := r.randomHost(); r.runInBackground(h.stop) }},
	{"reload", (*soakRun).reloadSettings},
	{"settings", (*soakRun).replaceSettingsFile},
	{"configuration", (*soakRun).changeConfiguration},
	{"replace-upstream", (*soakRun).replaceUpstream},
	{"move-route", (*soakRun).moveRoute},
}

// externalFaults are faults during which some guarantees need not hold.
var externalFaults = []fault{
	{"kill", func(r *soakRun) {
		h := r.randomHost()
		h.runFault(func() { h.signal(syscall.SIGKILL) }, func() {})
	}},
	{"pause", (*soakRun).pauseHost},
	{"cut-store", (*soakRun).disruptStoreConnections},
	{"store-down", func(r *soakRun) {
		r.runStoreFault(func() { r.store.SetUnavailable(true) }, func() { r.store.SetUnavailable(false) })
	}},
	{"store-slow", func(r *soakRun) {
		r.runStoreFault(func() { r.store.SetDelay(slowStoreDelay) }, func() { r.store.SetDelay(0) })
	}},
	{"store-compact", func(r *soakRun) { r.runStoreFault(r.store.Compact, func() {}) }},
	{"crash-upstream", (*soakRun).crashUpstream},
}

// inject injects one random fault of the given kinds, or in one of six cases two.
func (r *soakRun) inject(kinds []fault) {
	for range 1 + r.random.IntN(6)/5 {
		f := kinds[r.random.IntN(len(kinds))]
		r.mu.Lock()
		r.faultCounts[f.name]++
		r.mu.Unlock()
		if r.options.Progress != nil {
			fmt.Fprintln(r.options.Progress, f.name)
		}
		f.inject(r)
	}
}

// runInBackground runs a function in a goroutine. The run waits for it before the
// final check.
func (r *soakRun) runInBackground(run func()) {
	r.pending.Add(1)
	go func() {
		defer r.pending.Done()
		run()
	}()
}

// randomHost returns a random host.
func (r *soakRun) randomHost() *hostProcess { return r.hosts[r.random.IntN(len(r.hosts))] }

// reloadSettings sends SIGHUP to a host, which reloads its settings. It skips a
// process that has just started, because SIGHUP terminates a process that does not
// catch it yet.
func (r *soakRun) reloadSettings() {
	h := r.randomHost()
	h.mu.Lock()
	starting := time.Since(h.startedAt) < signalSetupTime
	h.mu.Unlock()
	if !starting {
		h.signal(syscall.SIGHUP)
	}
}

// replaceSettingsFile writes a valid or an invalid settings file without signalling
// the host.
func (r *soakRun) replaceSettingsFile() {
	h := r.randomHost()
	linesPerSecond := 300 + r.random.IntN(300)
	if r.random.IntN(3) == 0 {
		linesPerSecond = -1
	}
	if err := h.writeSettings(linesPerSecond); err != nil {
		r.recorder.RecordViolation("%v", err)
	}
	if linesPerSecond < 0 { // a process that restarts needs valid settings
		r.afterRandomDelay(func() {
			if err := h.writeSettings(500); err != nil {
				r.recorder.RecordViolation("%v", err)
			}
		})
	}
}

// changeConfiguration adds a route, or removes the one added last. After applyWithin
// it checks that the change is in force, unless there was a fault or another change
// meanwhile.
func (r *soakRun) changeConfiguration() {
	fixedRoutes := 2*len(services) + 1 // these routes are never removed
	var changed standin.Route
	add := len(r.routes) == fixedRoutes || r.random.IntN(2) == 0
	if add {
		r.routesAdded++
		changed = standin.Route{
			Address: virtualAddress(9, r.routesAdded), Service: services[0], Repeatable: true, Priority: 2, Timeout: int(requestTimeout.Milliseconds()),
		}
		r.setRoutes(append(slices.Clone(r.routes), changed))
	} else {
		changed = r.routes[len(r.routes)-1]
		r.setRoutes(r.routes[:len(r.routes)-1])
	}
	if err := r.publish(); err != nil {
		r.recorder.RecordViolation("%v", err)
	}
	version, stable, dc := r.version.Load(), r.stable(), r.random.IntN(dataCentres)
	r.runInBackground(func() {
		time.Sleep(applyWithin)
		if stable && r.version.Load() == version {
			r.verifyRoute(changed.Address, add, dc)
		}
	})
}

// setRoutes replaces the routes of the next configuration.
func (r *soakRun) setRoutes(routes []standin.Route) {
	r.registryMu.Lock()
	defer r.registryMu.Unlock()
	r.routes = routes
}

// verifyRoute sends a request to the address of a route. It records a violation if
// the request is served although the route was removed, or is not served although
// the route was added.
func (r *soakRun) verifyRoute(destination netip.AddrPort, wantServed bool, dc int) {
	requestID := r.lastRequestID.Add(1)
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 31, byte(requestID >> 8), byte(requestID)}), r.basePort)
	c, err := standin.NewCaller(address, func(flow netip.AddrPort) netip.AddrPort { return r.selectHost(dc, flow) }, r.recorder)
	if err != nil {
		r.recorder.RecordViolation("%v", err)
		return
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	err = c.SendRequest(ctx, destination, services[0], requestID, false, 10)
	if r.stable() && (err == nil) != wantServed {
		r.recorder.RecordViolation("route %s %s, but a request %s later ended with error %v", destination, map[bool]string{true: "was added", false: "was removed"}[wantServed], applyWithin, err)
	}
}

// randomReplaceableUpstream picks a random upstream and returns it, or nil if it is
// retired or too few others serve its service in its data centre.
func (r *soakRun) randomReplaceableUpstream() *upstream {
	u := r.upstreams[r.random.IntN(len(r.upstreams))]
	others := 0
	for _, other := range r.upstreams {
		if other != u && !other.retired && other.dc == u.dc && other.standin.Service() == u.standin.Service() {
			others++
		}
	}
	if u.retired || others < upstreamsPerDataCentre-1 {
		return nil
	}
	return u
}

// startReplacement retires a random upstream and starts another in its place. It
// returns the retired one, which still runs, or nil if the replacement was not
// started.
func (r *soakRun) startReplacement() *upstream {
	u := r.randomReplaceableUpstream()
	if u == nil {
		return nil
	}
	r.retire(u)
	if err := r.addUpstream(u.dc, u.standin.Service()); err != nil {
		r.recorder.RecordViolation("%v", err)
		return nil
	}
	return u
}

// replaceUpstream starts a new upstream and drains an old one, which stops after
// drainTime. It records a violation if the old one gets a new flow later than
// applyWithin after it announced that it was draining.
func (r *soakRun) replaceUpstream() {
	u := r.startReplacement()
	if u == nil {
		return
	}
	u.standin.Drain()
	if err := r.store.Put(u.standin.StoreKey(), u.standin.Registration()); err != nil {
		r.recorder.RecordViolation("%v", err)
	}
	announcedAt := time.Now()
	stable := r.stable()
	r.runInBackground(func() {
		time.Sleep(drainTime)
		if lastFlowOpened := r.recorder.LastFlowOpened(u.standin.Name()); stable && r.stable() && lastFlowOpened.Sub(announcedAt) > applyWithin {
			r.recorder.RecordViolation("%s got a new flow %s after announcing that it was draining", u.standin.Name(), lastFlowOpened.Sub(announcedAt).Round(time.Millisecond))
		}
		r.unregister(u)
		u.standin.Close()
	})
}

// crashUpstream starts a new upstream and stops an old one without draining it. The
// registration of the old one is removed after a random time.
func (r *soakRun) crashUpstream() {
	u := r.startReplacement()
	if u == nil {
		return
	}
	r.runStoreFault(u.standin.Close, func() { r.unregister(u) })
}

// unregister removes the registration of an upstream that has left.
func (r *soakRun) unregister(u *upstream) {
	r.registryMu.Lock()
	defer r.registryMu.Unlock()
	u.left = true
	r.store.Remove(u.standin.StoreKey())
}

// pauseHost stops the process of a host with SIGSTOP and continues it later.
func (r *soakRun) pauseHost() {
	h := r.randomHost()
	h.mu.Lock()
	alreadyPaused := h.paused
	h.paused = true
	h.mu.Unlock()
	if alreadyPaused {
		return
	}
	h.runFault(func() { h.signal(syscall.SIGSTOP) }, func() {
		h.signal(syscall.SIGCONT)
		h.mu.Lock()
		h.paused = false
		h.mu.Unlock()
	})
}

// disruptStoreConnections delays, resets or blocks the connections between a host
// and the store, by any mode of the proxy but modeForward.
func (r *soakRun) disruptStoreConnections() {
	h := r.randomHost()
	m := proxyMode(1 + r.random.IntN(int(modeDiscard)))
	h.runFault(func() { h.storeProxy.setMode(m) }, func() { h.storeProxy.setMode(modeForward) })
}

// runStoreFault calls begin to start a fault that affects all hosts, and end after a
// random time to end it. The run isn't stable meanwhile.
func (r *soakRun) runStoreFault(begin, end func()) {
	r.mu.Lock()
	r.activeStoreFaults++
	r.mu.Unlock()
	begin()
	r.afterRandomDelay(func() {
		end()
		r.mu.Lock()
		r.activeStoreFaults--
		r.lastStoreFaultEnd = time.Now()
		r.mu.Unlock()
	})
}

// stable reports whether neither the store nor any host has had a fault for at least
// recoveryTime.
func (r *soakRun) stable() bool {
	r.mu.Lock()
	stable := r.activeStoreFaults == 0 && time.Since(r.lastStoreFaultEnd) > recoveryTime
	r.mu.Unlock()
	for _, h := range r.hosts {
		stable = stable && h.stable()
	}
	return stable
}
