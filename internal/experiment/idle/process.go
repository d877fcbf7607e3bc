package idle

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

const (
	// firstPort is the port of the first address of each host, which has a loopback address
	// of its own. It is below the ports that the system gives to connections.
	firstPort = 21480
	// readyTimeout is the time within which a host must be ready.
	readyTimeout = 10 * time.Second
	// ticksPerSecond is the unit of processor times in /proc.
	ticksPerSecond = 100
)

// process is a host that runs as a process.
type process struct {
	name    string
	metrics netip.AddrPort
	cmd     *exec.Cmd
	ready   chan struct{}
}

// dataCentre returns the name of the data centre with the index.
func dataCentre(i int) string { return fmt.Sprintf("dc-%c", 'a'+rune(i)) }

// start starts the host with the index.
func start(ctx context.Context, options Options, dir string, store netip.AddrPort, index int) (*process, error) {
	dc := index % options.DataCentres
	h := &process{name: fmt.Sprintf("%s-%d", dataCentre(dc), index), ready: make(chan struct{})}
	address := netip.AddrFrom4([4]byte{127, 11, byte(dc), byte(index + 1)})
	port := func(n uint16) netip.AddrPort { return netip.AddrPortFrom(address, firstPort+n) }
	h.metrics = port(3)
	path := filepath.Join(dir, h.name+".ini")
	text := fmt.Sprintf("[host]\nid = %s\ndata_centre = %s\n[listen]\npacket = %s\npeer = %s\nready = %s\nmetrics = %s\nseed = %s\n[store]\naddress = %s\napply_within = 5s\n",
		h.name, dataCentre(dc), port(0), port(1), port(2), h.metrics, port(4), store)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("write the settings of %s: %w", h.name, err)
	}
	h.cmd = exec.CommandContext(ctx, options.Daemon, "edge", "--settings", path)
	h.cmd.Env = append(os.Environ(), "GOMAXPROCS=1") // as on hosts with one core
	out, err := h.cmd.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("start %s: %w", h.name, err)
	}
	if err := h.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", h.name, err)
	}
	go func() {
		seen := false
		for lines := bufio.NewScanner(out); lines.Scan(); {
			if !seen && strings.Contains(lines.Text(), "event=ready ") {
				seen = true
				close(h.ready)
			}
		}
	}()
	return h, nil
}

func (h *process) awaitReady(ctx context.Context) error {
	timer := time.NewTimer(readyTimeout)
	defer timer.Stop()
	select {
	case <-h.ready:
		return nil
	case <-timer.C:
		return fmt.Errorf("%s is not ready after %s: run it by hand to see why", h.name, readyTimeout)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// kill ends the process.
func (h *process) kill() {
	_ = h.cmd.Process.Kill() // it may have exited
	_ = h.cmd.Wait()         // returns an error because the process was killed
}

// sample is the use of a process at one time.
type sample struct {
	host string
	at   time.Time
	// processor is the processor time used so far, and wakeups the number of times that a
	// thread has waited.
	processor time.Duration
	wakeups   uint64
	// peakKB is the peak of the resident memory in KiB.
	peakKB uint64
	files  int
	// calls are the calls made and served so far by method, and bytes those of their messages.
	calls, bytes map[string]float64
	// connections are those to and from other hosts.
	connections float64
}

// sample reads what the process has used so far.
func (h *process) sample(ctx context.Context) (sample, error) {
	s := sample{host: h.name, at: time.Now(), calls: make(map[string]float64), bytes: make(map[string]float64)}
	if err := s.readProc(h.cmd.Process.Pid); err != nil {
		return sample{}, fmt.Errorf("measure %s: %w", h.name, err)
	}
	if err := s.readMetrics(ctx, h.metrics); err != nil {
		return sample{}, fmt.Errorf("metrics of %s: %w", h.name, err)
	}
	return s, nil
}

// Patterns of fields in /proc/PID/status.
var (
	peakPattern    = regexp.MustCompile(`(?m)^VmHWM:\s+([0-9]+) kB$`)
	wakeupsPattern = regexp.MustCompile(`(?m)^voluntary_ctxt_switches:\s+([0-9]+)$`)
)

// errProcFormat means that a file in /proc lacks an expected field.
var errProcFormat = errors.New("unexpected format in /proc: this program needs Linux")

// readProc reads the processor time, memory, wake-ups and files of the process.
func (s *sample) readProc(pid int) error {
	dir := fmt.Sprintf("/proc/%d/", pid)
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return fmt.Errorf("read the processor time: %w", err)
	}
	// The name in parentheses may contain spaces. User and system time are the 12th and 13th
	// field after it.
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return errProcFormat
	}
	for _, field := range fields[11:13] {
		ticks, err := strconv.ParseUint(field, 10, 64)
		if err != nil {
			return errProcFormat
		}
		s.processor += time.Duration(ticks) * (time.Second / ticksPerSecond)
	}
	status, err := os.ReadFile(dir + "status")
	if err != nil {
		return fmt.Errorf("read the memory: %w", err)
	}
	if s.peakKB, err = matchNumber(peakPattern, status); err != nil {
		return err
	}
	tasks, err := os.ReadDir(dir + "task")
	if err != nil {
		return fmt.Errorf("read the threads: %w", err)
	}
	for _, task := range tasks {
		status, err := os.ReadFile(dir + "task/" + task.Name() + "/status")
		if err != nil {
			continue // the thread has ended
		}
		n, err := matchNumber(wakeupsPattern, status)
		if err != nil {
			return err
		}
		s.wakeups += n
	}
	files, err := os.ReadDir(dir + "fd")
	if err != nil {
		return fmt.Errorf("read the files: %w", err)
	}
	s.files = len(files)
	return nil
}

// matchNumber returns the number that the pattern's group matches.
func matchNumber(pattern *regexp.Regexp, text []byte) (uint64, error) {
	match := pattern.FindSubmatch(text)
	if match == nil {
		return 0, errProcFormat
	}
	n, err := strconv.ParseUint(string(match[1]), 10, 64)
	if err != nil {
		return 0, errProcFormat
	}
	return n, nil
}

// readMetrics reads the numbers of calls, bytes and connections.
func (s *sample) readMetrics(ctx context.Context, address netip.AddrPort) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/metrics", nil)
	if err != nil {
		return fmt.Errorf("request: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("request: %w", err)
	}
	defer response.Body.Close()
	return s.addMetrics(response.Body)
}

// addMetrics adds the numbers of calls, bytes and connections of metrics in text format.
func (s *sample) addMetrics(text io.Reader) error {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(text)
	if err != nil {
		return fmt.Errorf("parse: %w", err)
	}
	for _, side := range []string{"client", "server"} {
		addByLabel(s.calls, families["oatlatch_peer_"+side+"_method_calls_total"], side)
		addByLabel(s.bytes, families["oatlatch_peer_"+side+"_method_bytes_total"], side)
		for _, m := range families["oatlatch_peer_"+side+"_connections"].GetMetric() {
			s.connections += m.GetGauge().GetValue()
		}
	}
	return nil
}

// addByLabel adds the counters of a family by the side and the value of the label method.
func addByLabel(sums map[string]float64, family *dto.MetricFamily, side string) {
	for _, m := range family.GetMetric() {
		for _, label := range m.GetLabel() {
			if label.GetName() == "method" {
				sums[side+" "+label.GetValue()] += m.GetCounter().GetValue()
			}
		}
	}
}
