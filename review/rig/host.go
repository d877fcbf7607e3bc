package main

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// host is a machine that runs the daemon as a process of its own.
type host struct {
	rig      *rig
	name     string
	zone     int
	ip       netip.Addr
	settings string

	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
	stopping bool
	misses   int
}

// newHost writes the settings of a host, as deploy/edge.ini.tmpl gives them.
func newHost(r *rig, name string, zone int, ip netip.Addr) (*host, error) {
	h := &host{rig: r, name: name, zone: zone, ip: ip, settings: filepath.Join(r.dir, name+".ini"), misses: 2}
	var zones strings.Builder
	for _, z := range r.zones {
		fmt.Fprintf(&zones, "%s = %s\n", z, r.region)
	}
	p := int(r.packetPort)
	text := fmt.Sprintf(`[host]
id = %s
data_centre = %s
region = %s

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
%s
[stop]
time_limit = 6s

[warmup]
`, name, r.zones[zone], r.region, ip, p, ip, p+1, ip, p+2, ip, p+3, ip, p+4, r.store.address, zones.String())
	return h, os.WriteFile(h.settings, []byte(text), 0o600)
}

func (h *host) packetAddress() netip.AddrPort { return netip.AddrPortFrom(h.ip, h.rig.packetPort) }

// start starts the daemon with the command of the deploy file.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(h.rig.logDir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(h.rig.daemon, "edge", "--settings="+h.settings)
	cmd.Stdout, cmd.Stderr, cmd.Env = log, log, []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	if err := cmd.Start(); err != nil {
		return err
	}
	h.cmd, h.exited, h.stopping = cmd, make(chan struct{}), false
	exited := h.exited
	go func() {
		err := cmd.Wait()
		h.mu.Lock()
		expected := h.stopping
		h.mu.Unlock()
		if !expected {
			h.rig.violation("Fault", "%s ended by itself: %v", h.name, err)
		}
		close(exited)
	}()
	return nil
}

// stop sends SIGTERM, and SIGKILL after grace, and waits for the end of the process.
func (h *host) stop(grace time.Duration) {
	h.mu.Lock()
	h.stopping = true
	cmd, exited := h.cmd, h.exited
	h.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT) // it may be stopped
	_ = cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(grace):
		_ = cmd.Process.Kill()
		<-exited
	}
}

// signal sends a signal to the process.
func (h *host) signal(s syscall.Signal) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cmd.Process.Signal(s)
}

// checkReadiness checks the host twice a second, as the routers do.
func (h *host) checkReadiness(done <-chan struct{}) {
	client := &http.Client{Timeout: 450 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		response, err := client.Get(fmt.Sprintf("http://%s:%d/readiness", h.ip, h.rig.packetPort+2))
		ok := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		h.mu.Lock()
		if h.misses++; ok {
			h.misses = 0
		}
		h.mu.Unlock()
		select {
		case <-done:
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
}

// inRotation reports whether the routers have the host in rotation.
func (h *host) inRotation() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.misses < 2
}

// selectHost returns the packet address of the host that the routers select for a packet of a
// client in the zone: by a steady hash over the hosts in rotation.
func (r *rig) selectHost(zone int, src, dst netip.AddrPort) netip.AddrPort {
	var local, ready, others []*host
	for _, h := range r.hosts {
		in := h.inRotation()
		if h.zone == zone {
			local = append(local, h)
			if in {
				ready = append(ready, h)
			}
		} else if in {
			others = append(others, h)
		}
	}
	eligible := ready
	switch {
	case len(ready) == 0 && len(others) > 0:
		eligible = others
	case 2*len(ready) < len(local):
		eligible = local
	}
	var best *host
	var highest uint64
	for _, h := range eligible {
		hash := fnv.New64a()
		fmt.Fprintf(hash, "%s %s %s", src, dst, h.name)
		// Mixes the bits, so that similar names give unrelated scores.
		score := hash.Sum64()
		score ^= score >> 31
		score *= 0x9e3779b97f4a7c15
		score ^= score >> 29
		if best == nil || score > highest {
			best, highest = h, score
		}
	}
	if best == nil {
		return netip.AddrPort{}
	}
	return best.packetAddress()
}
