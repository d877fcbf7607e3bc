package main

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// responseSize is the size of an answer.
	responseSize = 2000
	// contactTime is contact_ms, flowTime is flow_ms.
	contactTime = 4 * time.Second
	flowTime    = 2 * time.Second
	// maxFlowAge is max_flow_s.
	maxFlowAge = 60 * time.Second
	// maxViolationLines limits the lines about one kind of violation.
	maxViolationLines = 20
)

// rig is a small deployment: the daemon on some hosts, and stand-ins of all else.
type rig struct {
	daemon, dir, logDir string
	trouble             bool
	zones               []string
	region              string
	// network is the second byte of all addresses of the run.
	network    byte
	packetPort uint16
	store      *store
	hosts      []*host
	targets    []*target
	clients    []*client
	routes     []routeEntry
	version    int
	done       chan struct{}
	started    time.Time
	record     *os.File

	mu sync.Mutex
	// calm is the time before which nothing is judged.
	calm       time.Time
	flows      map[flowID]*flowHistory
	violations map[string]int
	outcomes   map[outcome]int
	runs       map[string]int
	resets     map[flowID]string
	// dead holds the labels of the processes of targets that have ended, and disturbed the time
	// until which a process counts as disturbed.
	dead      map[string]bool
	disturbed map[string]time.Time
}

// flowHistory is what targets have seen of a flow.
type flowHistory struct {
	target string
	opened time.Time
	closed bool
	// others and own are the arrivals at other targets and at the flow's own.
	others, own []time.Time
	// otherName is the last other target.
	otherName string
}

// routeEntry is a route of the configuration.
type routeEntry struct {
	name, service, kind string
	address             netip.AddrPort
	timeout, aim        int
	priority            int
}

func newRig(daemon, recordPath, logDir string, trouble bool) (*rig, error) {
	dir, err := os.MkdirTemp("", "oatlatch-review")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	r := &rig{
		daemon: daemon, dir: dir, logDir: logDir, trouble: trouble, done: make(chan struct{}), record: record, started: time.Now(),
		flows: make(map[flowID]*flowHistory), violations: make(map[string]int), outcomes: make(map[outcome]int), runs: make(map[string]int), resets: make(map[flowID]string), dead: make(map[string]bool), disturbed: make(map[string]time.Time),
	}
	if logDir == "" {
		r.logDir = dir
	}
	// A network of loopback addresses and ports that nothing else uses.
	for {
		r.network = byte(20 + rand.IntN(200))
		probe, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:0", r.network))
		if err != nil {
			return nil, err
		}
		port := probe.Addr().(*net.TCPAddr).Port
		_ = probe.Close()
		if port < 50000 {
			r.packetPort = uint16(port)
			break
		}
	}
	r.note("network 127.%d.0.0/16, trouble %t", r.network, trouble)
	r.store, err = newStore(netip.AddrPortFrom(r.ip(9, 0, 1), r.packetPort+5))
	return r, err
}

// ip returns a loopback address of the run. Kind 1 is for hosts, 2 for clients, 3 for targets.
func (r *rig) ip(kind, zone, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, r.network, byte(kind*16 + zone), byte(n)})
}

// close ends all that the run started.
func (r *rig) close() {
	close(r.done)
	var group sync.WaitGroup
	for _, h := range r.hosts {
		group.Go(func() { h.stop(3 * time.Second) })
	}
	group.Wait()
	for _, c := range r.clients {
		c.close()
	}
	for _, t := range r.targets {
		t.close()
	}
	r.store.close()
	_ = r.record.Close()
	_ = os.RemoveAll(r.dir)
}

// note writes a line to the record.
func (r *rig) note(format string, args ...any) {
	fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// violation records that a rule was broken.
func (r *rig) violation(rule, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violationLocked(rule, format, args...)
}

func (r *rig) violationLocked(rule, format string, args ...any) {
	r.violations[rule]++
	if r.violations[rule] <= maxViolationLines {
		r.note("BROKEN %s: %s", rule, fmt.Sprintf(format, args...))
	}
}

// workTime draws the time that a request takes: 22 ms in the mean, 140 ms at most.
func (r *rig) workTime() time.Duration {
	ms := min(140, 19.4*math.Exp(0.5*rand.NormFloat64()))
	return time.Duration(ms * float64(time.Millisecond))
}

// addHosts starts the hosts, count of them in each zone.
func (r *rig) addHosts(counts ...int) error {
	for zone, count := range counts {
		for i := range count {
			h, err := newHost(r, fmt.Sprintf("front-%s-%d", r.zones[zone], i+1), zone, r.ip(1, zone, i+1))
			if err != nil {
				return err
			}
			r.hosts = append(r.hosts, h)
		}
	}
	for _, h := range r.hosts {
		if err := h.start(); err != nil {
			return err
		}
		go h.checkReadiness(r.done)
	}
	for end := time.Now().Add(8 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, h := range r.hosts {
			if h.inRotation() {
				ready++
			}
		}
		if ready == len(r.hosts) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d hosts are ready", ready, len(r.hosts))
		}
	}
}

// addTargets starts targets of a service, count of them in each zone.
func (r *rig) addTargets(service string, concurrency, offset int, counts ...int) error {
	for zone, count := range counts {
		for i := range count {
			t, err := startTarget(r, service, r.zones[zone], netip.AddrPortFrom(r.ip(3, zone, offset+i+1), r.packetPort+6), concurrency)
			if err != nil {
				return err
			}
			r.targets = append(r.targets, t)
		}
	}
	return nil
}

// addClients starts clients, count addresses in each zone.
func (r *rig) addClients(count int) error {
	for zone := range r.zones {
		for i := range count {
			c, err := newClient(r, zone, r.ip(2, zone, i+1))
			if err != nil {
				return err
			}
			r.clients = append(r.clients, c)
		}
	}
	return nil
}

// publish writes the configuration with the routes and returns the time of the acknowledgement.
func (r *rig) publish(services ...map[string]any) time.Time {
	r.version += 1 + rand.IntN(3)
	var routes []map[string]any
	for _, e := range r.routes {
		routes = append(routes, map[string]any{
			"name": e.name, "hostname": e.address.Addr().String(), "prefix": fmt.Sprintf("/%d/", e.address.Port()), "type": e.kind,
			"timeout_ms": e.timeout, "aim_ms": e.aim, "priority": e.priority, "service": e.service, "max_attempts": 2,
		})
	}
	return r.store.put("op/config", map[string]any{
		"version": r.version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// service returns a service of the configuration.
func service(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "max_flows": 2000, "protocol": "h1", "tls": false}
}

// opened notes that a flow is open at the target.
func (r *rig) opened(id flowID, t *target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.historyLocked(id)
	h.target, h.opened = t.label, time.Now()
}

// closed notes that a flow has ended at its target.
func (r *rig) closed(id flowID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.historyLocked(id).closed = true
}

func (r *rig) historyLocked(id flowID) *flowHistory {
	h := r.flows[id]
	if h == nil {
		h = &flowHistory{}
		r.flows[id] = h
	}
	return h
}

// arrived notes that a packet of a flow has reached a target.
func (r *rig) arrived(id flowID, name string, flags byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.historyLocked(id)
	if h.target == "" || h.closed || flags&flagSYN != 0 {
		return
	}
	if name == h.target {
		h.own = append(h.own, time.Now())
		return
	}
	h.others, h.otherName = append(h.others, time.Now()), name
}

// targetReset notes that a target resets a flow that it does not hold.
func (r *rig) targetReset(id flowID, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resets[id] = name
}

// clientReset judges a reset that a client has taken on an open flow.
func (r *rig) clientReset(id flowID, p *packet) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.historyLocked(id)
	if h.target == "" || h.closed || time.Now().Before(r.calm) {
		return
	}
	if time.Since(h.opened) > maxFlowAge {
		h.closed = true
		return
	}
	sender := "the system"
	if p.sum != 0 {
		sender = r.resets[id]
	}
	if sender == h.target || r.targetDeadLocked(h.target) {
		h.closed = true
		return
	}
	h.closed = true
	if time.Now().Before(r.disturbed[h.target]) {
		return
	}
	r.violationLocked("FLOW", "(a) flow %s open at %s since %.3f got a reset from %s", id.client, h.target, h.opened.Sub(r.started).Seconds(), sender)
}

// targetDeadLocked reports whether the process of a target with the label has ended. r.mu must
// be held.
func (r *rig) targetDeadLocked(label string) bool { return r.dead[label] }

// targetEnded notes that a process of a target has ended.
func (r *rig) targetEnded(t *target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dead[t.label] = true
}

// ran notes that a target has begun to work on a request.
func (r *rig) ran(request string, t *target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[request]++
	r.note("%s: run by %s", request, t.label)
	if r.runs[request] > 1 && strings.HasPrefix(request, submitPrefix) {
		r.violationLocked("run once at most", "%s ran %d times", request, r.runs[request])
	}
}

// ended notes how a request ended.
func (r *rig) ended(text string, o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[o]++
	r.note("%s: %s", text, o)
}

// judge looks for flows whose packets went to other targets, and reports whether all rules held.
func (r *rig) judge() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, h := range r.flows {
		for i := 0; i+2 < len(h.others); i++ {
			from, to := h.others[i], h.others[i].Add(flowTime)
			if from.Before(r.disturbed[h.target]) || r.dead[h.target] || h.others[i+2].After(to) || from.Before(r.calm) || from.Sub(h.opened) > maxFlowAge || h.ownBetween(from, to) {
				continue
			}
			r.violationLocked("FLOW", "(b) flow %s open at %s: from %.3f on, three packets within %s went to %s and none to its target", id.client, h.target, from.Sub(r.started).Seconds(), flowTime, h.otherName)
			break
		}
	}
	total := 0
	for rule, n := range r.violations {
		r.note("broken: %s %d times", rule, n)
		total += n
	}
	r.note("requests by outcome: %v; flows seen by targets: %d; requests run: %d", r.outcomes, len(r.flows), len(r.runs))
	return total == 0
}

func (h *flowHistory) ownBetween(from, to time.Time) bool {
	for _, at := range h.own {
		if !at.Before(from) && !at.After(to) {
			return true
		}
	}
	return false
}

// contextUntil returns a context that ends after the time.
func contextUntil(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}
