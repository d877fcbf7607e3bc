package soak

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// hostProcess is an edge host that runs as a process of its own.
type hostProcess struct {
	run        *soakRun
	name       string
	dataCentre string
	// The listen addresses of the host for packets, readiness checks and calls of
	// other hosts.
	packetAddress netip.AddrPort
	readyAddress  netip.AddrPort
	peerAddress   netip.AddrPort
	// settingsFile is the path of the settings file.
	settingsFile string
	// storeProxy relays the connections of the host to the store.
	storeProxy *proxy

	mu  sync.Mutex
	cmd *exec.Cmd
	// stopRequested is set when the run sends SIGTERM or SIGKILL, until the process
	// exits.
	stopRequested bool
	// lastFaultEnd is when the last fault of the host ended.
	lastFaultEnd time.Time
	// activeFaults is the number of faults of the host in progress.
	activeFaults int
	paused       bool
	// earlier is set while the process that starts next is of the earlier build.
	earlier bool
	// badSettings is set while the settings file is invalid. A process that starts
	// then logs the error and exits.
	badSettings bool
	startedAt   time.Time
	// startedWithBadSettings is the value of badSettings when the process started.
	startedWithBadSettings bool
	// withdrawn is set while routers have taken the host out of rotation, because
	// it failed maxFailedChecks readiness checks in a row.
	withdrawn    bool
	failedChecks int
	// exited is closed when the process has exited.
	exited chan struct{}
}

// writeSettings replaces the settings file. linesPerSecond is the limit on log lines;
// if it is less than 1, the settings are invalid.
func (h *hostProcess) writeSettings(linesPerSecond int) error {
	h.mu.Lock()
	h.badSettings = linesPerSecond < 1
	h.mu.Unlock()
	text := fmt.Sprintf("[host]\nid = %s\ndata_centre = %s\nregion = region\n[listen]\npacket = %s\npeer = %s\nready = %s\nmetrics =\n[store]\naddress = %s\napply_within = %s\n[stop]\ntime_limit = %s\n[log]\nlines_per_second = %d\n",
		h.name, h.dataCentre, h.packetAddress, h.peerAddress, h.readyAddress, h.storeProxy.address(), applyWithin, stopTimeout, linesPerSecond)
	// Replace the file atomically, because a process that starts meanwhile must not
	// read an incomplete file.
	if err := os.WriteFile(h.settingsFile+".new", []byte(text), 0o600); err != nil {
		return fmt.Errorf("write the settings of %s: %w", h.name, err)
	}
	if err := os.Rename(h.settingsFile+".new", h.settingsFile); err != nil {
		return fmt.Errorf("write the settings of %s: %w", h.name, err)
	}
	return nil
}

// start starts the process, unless the run is shutting down. Whenever the process exits,
// handleExit starts it again.
func (h *hostProcess) start() error {
	// tearDown sets shuttingDown before it locks mu, so that it sees each process started.
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.run.shuttingDown.Load() {
		return nil
	}
	daemon := h.run.options.Daemon
	if h.earlier {
		daemon = h.run.options.Earlier
	}
	cmd := exec.Command(daemon, "edge", "--settings", h.settingsFile)
	cmd.Stdout, cmd.Stderr = h.run.log, h.run.log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", h.name, err)
	}
	h.cmd = cmd
	h.startedAt = time.Now()
	h.startedWithBadSettings = h.badSettings
	h.stopRequested = false // of a signal that found no process
	exited := make(chan struct{})
	h.exited = exited
	go func() {
		err := cmd.Wait()
		h.handleExit(err)
		close(exited)
	}()
	return nil
}

// handleExit handles the exit of the process. It schedules a restart, unless the run
// is shutting down. An exit that was neither requested nor caused by invalid settings
// is a violation.
func (h *hostProcess) handleExit(err error) {
	h.mu.Lock()
	expected := h.stopRequested || h.startedWithBadSettings || h.badSettings
	h.stopRequested = false
	h.mu.Unlock()
	if !expected && !h.run.shuttingDown.Load() {
		h.run.recorder.RecordViolation("%s exited unexpectedly: %v", h.name, err)
	}
	if h.run.shuttingDown.Load() {
		return
	}
	time.AfterFunc(restartDelay, func() {
		if err := h.start(); err != nil {
			h.run.recorder.RecordViolation("%v", err)
		}
	})
}

// signal sends a signal to the process.
func (h *hostProcess) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		h.stopRequested = true
	}
	if err := h.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		h.run.recorder.RecordViolation("send signal %s to %s: %v", s, h.name, err)
	}
}

// stop stops the process gracefully. If it does not exit within stopTimeout, stop
// records a violation and kills it.
func (h *hostProcess) stop() {
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	h.signal(syscall.SIGTERM)
	timer := time.NewTimer(stopTimeout)
	defer timer.Stop()
	select {
	case <-exited:
	case <-timer.C:
		h.run.recorder.RecordViolation("%s did not stop within %s", h.name, stopTimeout)
		h.signal(syscall.SIGKILL)
	}
}

// runFault calls begin to start a fault of the host, and end after a random time to
// end it. The host isn't stable meanwhile.
func (h *hostProcess) runFault(begin, end func()) {
	h.mu.Lock()
	h.activeFaults++
	h.mu.Unlock()
	begin()
	h.run.afterRandomDelay(func() {
		end()
		h.mu.Lock()
		h.activeFaults--
		h.lastFaultEnd = time.Now()
		h.mu.Unlock()
	})
}

// stable reports whether the host has had no fault for at least recoveryTime.
func (h *hostProcess) stable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.activeFaults == 0 && time.Since(h.lastFaultEnd) > recoveryTime
}

// monitorReadiness checks the readiness of the host as routers do, until ctx is
// cancelled.
func (h *hostProcess) monitorReadiness(ctx context.Context) {
	client := &http.Client{Timeout: checkInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		ok := h.isReady(ctx, client)
		h.mu.Lock()
		if h.failedChecks++; ok {
			h.failedChecks = 0
		}
		h.withdrawn = h.failedChecks >= maxFailedChecks
		h.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// isReady runs one readiness check.
func (h *hostProcess) isReady(ctx context.Context, client *http.Client) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.readyAddress.String()+h.run.readyPath, nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close() // only the status counts
	return response.StatusCode == http.StatusOK
}

// inRotation reports whether routers have the host in rotation.
func (h *hostProcess) inRotation() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.withdrawn
}

// settingsPath returns the path of the host's settings file.
func settingsPath(dir, name string) string { return filepath.Join(dir, name+".ini") }
