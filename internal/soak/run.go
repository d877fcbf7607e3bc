package soak

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oatlatch/oatlatch/internal/flow/echo"
	"github.com/oatlatch/oatlatch/platform"
	"github.com/oatlatch/oatlatch/platform/standin"
)

// services are the names of the services. Routes are added and removed only for the
// first.
var services = []string{"desk", "plans"}

// soakRun is the state of one run.
type soakRun struct {
	options Options
	random  *rand.Rand
	// restoreRandom draws the restores of the store, apart from all other faults.
	restoreRandom *rand.Rand
	// evacuationRandom draws the evacuations, and restartRandom the restarts of upstreams, apart
	// from all other faults.
	evacuationRandom, restartRandom *rand.Rand
	dir                             string
	log                             *syncWriter
	readyPath                       string
	store                           *standin.Store
	recorder                        *standin.Recorder
	counters                        counters
	hosts                           []*hostProcess
	callers                         []*caller
	// basePort is the port for packets, the first of portsPerRun ports that hosts and
	// upstreams use.
	basePort uint16

	// shuttingDown is set once processes are to exit, faultsOver once the final check
	// has started.
	shuttingDown, faultsOver atomic.Bool
	// pending counts background functions that are running and faults that are to end.
	pending sync.WaitGroup

	// copied is the copy from which the store is restored next; nil if there is none.
	copied *storeCopy
	// registryMu is held while the store, and the routes, upstreams and evacuation that
	// belong in it, change together. A restore writes them again.
	registryMu sync.Mutex
	// evacuated is the name of the evacuated data centre; empty for none.
	evacuated string

	// mu guards faultCounts, lastStoreFaultEnd, activeStoreFaults, processSince and ending.
	mu sync.Mutex
	// processSince holds, by their tokens, since when the processes of upstreams run that have
	// started again. ending holds the tokens of upstreams whose processes end soon.
	processSince map[echo.Token]time.Time
	ending       map[echo.Token]bool
	// version is the version of the configuration in the store.
	version          atomic.Uint64
	routes           []standin.Route
	upstreams        []*upstream
	upstreamsStarted int
	// routesAdded is the number of routes added so far.
	routesAdded int
	faultCounts map[string]int
	// lastStoreFaultEnd is when the last fault of the store ended.
	lastStoreFaultEnd time.Time
	activeStoreFaults int
	lastRequestID     atomic.Uint64
	// movingService is the index of the service of the moving route. routeMoving is set
	// while moveRoute checks a flow of it.
	movingService int
	routeMoving   atomic.Bool
}

// Run runs a deployment and injects faults. An error means that the run could not be
// set up; violations of guarantees are in the report.
func Run(ctx context.Context, options Options) (*Report, error) {
	dir, err := os.MkdirTemp("", "oatlatch-soak")
	if err != nil {
		return nil, fmt.Errorf("create the directory of the run: %w", err)
	}
	defer os.RemoveAll(dir)
	store, err := standin.NewStore()
	if err != nil {
		return nil, err
	}
	defer store.Close()
	ports, basePort, err := reservePorts()
	if err != nil {
		return nil, err
	}
	defer ports.Close()
	r := &soakRun{
		options: options, random: rand.New(rand.NewPCG(options.Seed, 7)), restoreRandom: rand.New(rand.NewPCG(options.Seed, 11)),
		evacuationRandom: rand.New(rand.NewPCG(options.Seed, 13)), restartRandom: rand.New(rand.NewPCG(options.Seed, 17)),
		processSince: make(map[echo.Token]time.Time), ending: make(map[echo.Token]bool), dir: dir, basePort: basePort, log: &syncWriter{w: options.Log},
		readyPath: platform.ReadyPath, store: store, recorder: standin.NewRecorder(), faultCounts: make(map[string]int),
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := r.setUp(ctx); err != nil {
		r.tearDown()
		return nil, err
	}
	r.execute(ctx)
	r.tearDown()
	return r.report(), nil
}

// setUp publishes the configuration and starts upstreams, hosts and callers.
func (r *soakRun) setUp(ctx context.Context) error {
	for i, service := range services {
		r.routes = append(r.routes,
			standin.Route{Address: virtualAddress(i, 1), Service: service, Repeatable: true, Priority: 2, Timeout: int(requestTimeout.Milliseconds())},
			standin.Route{Address: virtualAddress(i, 2), Service: service, Priority: 1, Timeout: int(requestTimeout.Milliseconds())})
	}
	r.routes = append(r.routes, standin.Route{Address: movingAddress, Service: services[0], Repeatable: true, Priority: 2, Timeout: int(requestTimeout.Milliseconds())})
	for dc := range dataCentres {
		for range upstreamsPerDataCentre {
			for _, service := range services {
				if err := r.addUpstream(dc, service); err != nil {
					return err
				}
			}
		}
	}
	if err := r.publish(); err != nil {
		return err
	}
	if err := r.startHosts(ctx); err != nil {
		return err
	}
	if err := r.startCallers(ctx); err != nil {
		return err
	}
	return r.startIdleCallers(ctx)
}

// startHosts starts all hosts and waits until they are ready.
func (r *soakRun) startHosts(ctx context.Context) error {
	for dc := range dataCentres {
		for i := range r.options.Hosts {
			address := netip.AddrFrom4([4]byte{127, 10, byte(dc), byte(i + 1)})
			h := &hostProcess{
				run: r, earlier: r.options.Earlier != "", name: fmt.Sprintf("%s-%d", dataCentreName(dc), i), dataCentre: dataCentreName(dc),
				failedChecks: maxFailedChecks, withdrawn: true, // until the first check succeeds
				packetAddress: netip.AddrPortFrom(address, r.basePort), readyAddress: netip.AddrPortFrom(address, r.basePort+1), peerAddress: netip.AddrPortFrom(address, r.basePort+2),
			}
			h.settingsFile = settingsPath(r.dir, h.name)
			var err error
			if h.storeProxy, err = newProxy(r.store.Address()); err != nil {
				return err
			}
			r.hosts = append(r.hosts, h)
			if err := h.writeSettings(500); err != nil {
				return fmt.Errorf("start the hosts: %w", err)
			}
			if err := h.start(); err != nil {
				return err
			}
			go h.monitorReadiness(ctx)
		}
	}
	return r.awaitReady(ctx)
}

// awaitReady waits until all hosts are ready.
func (r *soakRun) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(2 * stopTimeout)
	for _, h := range r.hosts {
		for {
			h.mu.Lock()
			ready := h.failedChecks == 0
			h.mu.Unlock()
			if ready && h.inRotation() {
				break
			}
			if ctx.Err() != nil || time.Now().After(deadline) {
				return fmt.Errorf("host %s is not ready after %s", h.name, 2*stopTimeout)
			}
			time.Sleep(checkInterval / 5)
		}
	}
	return nil
}

// dataCentreName returns the name of the data centre with the index.
func dataCentreName(dc int) string { return fmt.Sprintf("dc-%c", 'a'+rune(dc)) }

// virtualAddress returns the address of a route. Each service, given by its index in
// services, has route 1 for requests that may be repeated and route 2 for others. The
// index 9 belongs to no service: under it, route numbers the routes that the run adds.
func virtualAddress(service, route int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(service), byte(route)}), 443)
}

// portsPerRun is the number of ports of a run, from basePort on.
const portsPerRun = 4

// reservePorts returns the first of portsPerRun ports that no other run uses until the
// listener is closed. All runs bind the same loopback addresses, so their ports must not
// overlap. The listener is on an address that runs do not bind.
func reservePorts() (net.Listener, uint16, error) {
	const attempts = 100
	var lastErr error
	for range attempts {
		probe, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, 0, fmt.Errorf("find free ports: %w", err)
		}
		port := uint16(probe.Addr().(*net.TCPAddr).Port)
		first := port - port%portsPerRun
		if first == port {
			return probe, port, nil
		}
		if err := probe.Close(); err != nil {
			return nil, 0, fmt.Errorf("find free ports: %w", err)
		}
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first))
		if err == nil {
			return listener, first, nil
		}
		lastErr = err
	}
	return nil, 0, fmt.Errorf("find free ports: %w", lastErr)
}

// publish writes the configuration to the store, with a higher version.
func (r *soakRun) publish() error {
	r.registryMu.Lock()
	defer r.registryMu.Unlock()
	version := r.version.Add(1 + uint64(r.random.IntN(3)))
	return r.store.Put(standin.ConfigurationKey, standin.Configuration(version, r.routes, services))
}

// selectHost returns the address of the host to which routers send a flow that
// enters in a data centre. They use rendezvous hashing over the local hosts in
// rotation. If these are less than half of the local hosts, but not none, routers
// ignore readiness and use all local ones. If there are none, they use the hosts in
// rotation of the other data centre.
func (r *soakRun) selectHost(dc int, flow netip.AddrPort) netip.AddrPort {
	var best *hostProcess
	var highest uint64
	localReady, local := 0, 0
	for _, h := range r.hosts {
		if h.dataCentre == dataCentreName(dc) {
			local++
			if h.inRotation() {
				localReady++
			}
		}
	}
	for _, h := range r.hosts {
		isLocal := h.dataCentre == dataCentreName(dc)
		eligible := isLocal && (h.inRotation() || localReady > 0 && 2*localReady < local) || localReady == 0 && !isLocal && h.inRotation()
		if !eligible {
			continue
		}
		hash := fnv.New64a()
		fmt.Fprintf(hash, "%s %s", h.name, flow)
		if score := hash.Sum64(); best == nil || score > highest {
			best, highest = h, score
		}
	}
	if best == nil {
		return netip.AddrPort{}
	}
	return best.packetAddress
}

// afterRandomDelay calls the function that ends a fault after a random time. The run
// waits for it before the final check.
func (r *soakRun) afterRandomDelay(end func()) {
	r.mu.Lock()
	after := time.Duration(200+r.random.IntN(2500)) * time.Millisecond
	r.mu.Unlock()
	r.pending.Add(1)
	time.AfterFunc(after, func() {
		defer r.pending.Done()
		end()
	})
}

// execute injects faults, and waits until they have ended and the hosts have had
// settleTime to recover. Then it keeps callers running for the final check.
func (r *soakRun) execute(ctx context.Context) {
	started := time.Now()
	if r.options.Earlier != "" {
		r.runInBackground(r.upgradeAndGoBack)
	}
	for time.Since(started) < r.options.Duration && ctx.Err() == nil {
		time.Sleep(time.Duration(100+r.random.IntN(700)) * time.Millisecond)
		kinds := plannedOperations
		if time.Since(started)%(plannedPhase+faultPhase) > plannedPhase {
			kinds = append(slices.Clone(plannedOperations), externalFaults...)
			r.restoreStoreAtRandom()
			r.restartUpstreamAtRandom()
		}
		r.evacuateAtRandom()
		r.inject(kinds)
	}
	r.pending.Wait()
	time.Sleep(settleTime)
	r.faultsOver.Store(true)
	time.Sleep(settleTime / 2)
}

// tearDown stops callers, hosts and upstreams.
func (r *soakRun) tearDown() {
	for _, c := range r.callers {
		c.stop()
	}
	r.shuttingDown.Store(true)
	for _, h := range r.hosts {
		h.mu.Lock()
		cmd, exited := h.cmd, h.exited
		h.mu.Unlock()
		if cmd != nil {
			h.stop()
			<-exited
		}
		h.storeProxy.close()
	}
	for _, u := range r.upstreams {
		u.standin.Close()
	}
}

// report returns the report of the run.
func (r *soakRun) report() *Report {
	c := &r.counters
	report := &Report{
		Seed: r.options.Seed, Requests: c.requests.Load(), Served: c.served.Load(), NotOpened: c.notOpened.Load(),
		Reset: c.reset.Load(), Unanswered: c.unanswered.Load(), Faults: r.faultCounts, Violations: r.recorder.Violations(), ServedAfterFaults: 1,
	}
	if n := c.requestsAfterFaults.Load(); n > 0 {
		report.ServedAfterFaults = float64(c.servedAfterFaults.Load()) / float64(n)
	}
	if report.ServedAfterFaults < minServedAfterFaults {
		report.Violations = append(report.Violations, fmt.Sprintf("only %.4f of the requests were served after the last fault", report.ServedAfterFaults))
	}
	return report
}

// errViolations is wrapped by the error of a report with violations.
var errViolations = errors.New("promises were broken")

// Err returns an error if there are violations.
func (r *Report) Err() error {
	if len(r.Violations) == 0 {
		return nil
	}
	return fmt.Errorf("seed %d: %w: %d, the first: %s", r.Seed, errViolations, len(r.Violations), r.Violations[0])
}
