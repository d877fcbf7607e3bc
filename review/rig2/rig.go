package main

import (
	"bufio"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports of a host, as offsets from the ports of a run. They are the same on all machines.
const (
	readyOffset = iota + 1
	peerOffset
	seedOffset
	metricsOffset
	storeOffset
	targetOffset
	portsUsed
)

// rig is one run of a case.
type rig struct {
	packetPort uint16
	store      *store
	dir        string
	started    time.Time
	closers    []func() error

	logMu  sync.Mutex
	record *bufio.Writer

	mu    sync.Mutex
	hosts []*host
	// runs are the numbers of runs by target and route.
	runs map[string]map[netip.AddrPort]int
	// sent is when the client sent an opening packet.
	sent map[openingKey]time.Time
}

// host is an entry host: a process of oatlatchd.
type host struct {
	name, zone string
	ip         netip.Addr
	cmd        *exec.Cmd
	exited     chan struct{}
	// inRotation and misses are what the router knows.
	inRotation bool
	misses     int
}

func newRig(recordPath string) (*rig, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	r := &rig{started: time.Now(), record: bufio.NewWriter(file), runs: map[string]map[netip.AddrPort]int{}, sent: map[openingKey]time.Time{}}
	r.closers = append(r.closers, file.Close)
	if r.dir, err = os.MkdirTemp("", "oatlatch-review-"); err != nil {
		return nil, err
	}
	if r.packetPort, err = freePorts(); err != nil {
		return nil, err
	}
	storeAddress := netip.AddrPortFrom(netip.MustParseAddr("127.0.4.1"), r.packetPort+storeOffset)
	if r.store, err = newStore(storeAddress.String(), r.logf); err != nil {
		return nil, err
	}
	return r, nil
}

// freePorts returns the first of portsUsed ports that are free on all addresses of a run.
func freePorts() (uint16, error) {
	for range 50 {
		base := uint16(20000 + rand.IntN(12000))
		free := true
		for offset := range uint16(portsUsed) {
			udp, err := net.ListenPacket("udp", fmt.Sprintf("0.0.0.0:%d", base+offset))
			if err != nil {
				free = false
				break
			}
			tcp, err := net.Listen("tcp", fmt.Sprintf("0.0.0.0:%d", base+offset))
			if err == nil {
				err = tcp.Close()
			}
			free = errors.Join(err, udp.Close()) == nil && free
		}
		if free {
			return base, nil
		}
	}
	return 0, errors.New("no free ports")
}

// logf writes a line to the record.
func (r *rig) logf(format string, args ...any) {
	r.logMu.Lock()
	defer r.logMu.Unlock()
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and closes the record.
func (r *rig) close() error {
	var err error
	for _, h := range r.hosts {
		err = errors.Join(err, h.kill())
	}
	_ = r.store.server.Close()
	r.logMu.Lock()
	err = errors.Join(err, r.record.Flush())
	r.logMu.Unlock()
	for i := range r.closers {
		err = errors.Join(err, r.closers[len(r.closers)-1-i]())
	}
	return errors.Join(err, os.RemoveAll(r.dir))
}

// startHost starts an entry host with the settings of the deploy file's template.
func (r *rig) startHost(name, zone string, number int) (*host, error) {
	h := &host{name: name, zone: zone, ip: netip.AddrFrom4([4]byte{127, 0, 1, byte(number)}), exited: make(chan struct{})}
	settings := filepath.Join(r.dir, name+".ini")
	text := fmt.Sprintf(`[host]
id = %s
data_centre = %s
region = region-1

[listen]
packet = %s:%d
peer = %s:%d
ready = %s:%d
metrics = %s:%d
seed = %s:%d

[store]
address = %s
apply_within = 3000ms,3000ms
history = 20s

[limits]
bandwidth = 1500.0
memory = 414
flow_age = 60s

[zones]
zone-a = region-1
zone-b = region-1

[stop]
time_limit = 6s

[warmup]
overage = 1.5
slack = 5
`, name, zone, h.ip, r.packetPort, h.ip, r.packetPort+peerOffset, h.ip, r.packetPort+readyOffset, h.ip, r.packetPort+metricsOffset, h.ip, r.packetPort+seedOffset, r.store.listener.Addr())
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	// As in the deploy file, but for the path of the settings.
	h.cmd = exec.Command("target/oatlatchd", "edge", "--settings="+settings)
	out, err := h.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	h.cmd.Stderr = h.cmd.Stdout
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		return nil, err
	}
	r.logf("host %s starts as process %d", name, h.cmd.Process.Pid)
	go func() {
		for lines := bufio.NewScanner(out); lines.Scan(); {
			r.logf("host %s: %s", name, lines.Text())
		}
		_ = h.cmd.Wait() // hosts are killed
		close(h.exited)
	}()
	r.mu.Lock()
	r.hosts = append(r.hosts, h)
	r.mu.Unlock()
	go r.probe(h)
	return h, nil
}

func (h *host) kill() error {
	select {
	case <-h.exited:
		return nil
	default:
	}
	err := h.cmd.Process.Kill()
	<-h.exited
	return err
}

// probe checks the readiness of the host twice a second, as routers do.
func (r *rig) probe(h *host) {
	httpClient := &http.Client{Timeout: 450 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		response, err := httpClient.Get(fmt.Sprintf("http://%s:%d/readiness", h.ip, r.packetPort+readyOffset))
		ready := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		r.mu.Lock()
		if ready {
			h.inRotation, h.misses = true, 0
		} else if h.misses++; h.misses >= 2 {
			h.inRotation = false
		}
		r.mu.Unlock()
		select {
		case <-h.exited:
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
}

// awaitReady waits until all hosts are in rotation.
func (r *rig) awaitReady() error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r.mu.Lock()
		ready := 0
		for _, h := range r.hosts {
			if h.inRotation {
				ready++
			}
		}
		all := ready == len(r.hosts)
		r.mu.Unlock()
		if all {
			return nil
		}
	}
	return errors.New("the hosts are not ready after 15 s")
}

// route returns the packet address of the host that gets the flow's packets: the one with the
// highest hash among those of the zone in rotation.
func (r *rig) route(zone string, local, route netip.AddrPort) (netip.AddrPort, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best *host
	var highest uint64
	for _, h := range r.hosts {
		if !h.inRotation || h.zone != zone {
			continue
		}
		sum := fnv.New64a()
		_, _ = fmt.Fprint(sum, h.name, local, route) // a hash takes all bytes
		if v := sum.Sum64() * 0x9e3779b97f4a7c15; best == nil || v > highest {
			best, highest = h, v
		}
	}
	if best == nil {
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(best.ip, r.packetPort), true
}

func (r *rig) isHost(ip netip.Addr) bool { return ip.Unmap().As4()[2] == 1 }

// openingKey names an opening packet by its flow and the number of earlier copies.
type openingKey struct {
	flow   netip.AddrPort
	copies uint32
}

func (r *rig) noteSent(flow netip.AddrPort, copies uint32, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[openingKey{flow, copies}] = at
}

func (r *rig) sentAt(flow netip.AddrPort, copies uint32) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sent[openingKey{flow, copies}]
}

// recordRun records that a target began to work on a request that came in by the route.
func (r *rig) recordRun(id string, route netip.AddrPort, t *target) {
	r.mu.Lock()
	if r.runs[t.name] == nil {
		r.runs[t.name] = map[netip.AddrPort]int{}
	}
	r.runs[t.name][route]++
	r.mu.Unlock()
	r.logf("target %s of %s runs %s, which came by %s", t.name, t.service, id, route)
}

// runsBy returns how many requests that came in by the route the target has run.
func (r *rig) runsBy(t *target, route string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[t.name][netip.MustParseAddrPort(route)]
}

// targetAddress returns the address of the target with the number.
func (r *rig) targetAddress(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 3, byte(number)}), r.packetPort+targetOffset)
}

// route of the configuration.
type routeSpec struct {
	address  string
	kind     string
	service  string
	timeout  int
	priority int
}

// configure writes a configuration as the operator does. perSecond is what a cold target of any
// service bears, or 0.
func (r *rig) configure(version int, routes []routeSpec, services []string, warmup time.Duration, perSecond float64) error {
	encoded := []map[string]any{}
	for i, route := range routes {
		address := netip.MustParseAddrPort(route.address)
		encoded = append(encoded, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "hostname": address.Addr().String(), "prefix": fmt.Sprintf("/%d/", address.Port()), "type": route.kind,
			"timeout_ms": route.timeout, "aim_ms": 500, "priority": route.priority, "service": route.service, "max_attempts": 2,
		})
	}
	list := []map[string]any{}
	for _, s := range services {
		list = append(list, map[string]any{
			"name": s, "health_path": "/health", "max_flows": 2000, "protocol": "h1", "tls": false, "warmup_s": warmup.Seconds(), "warmup_per_s": perSecond,
		})
	}
	return r.store.put("op/config", map[string]any{
		"version": version, "routes": encoded, "services": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}
