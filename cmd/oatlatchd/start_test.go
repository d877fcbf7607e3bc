package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/platform/standin"
)

// readyPattern matches the log line of a host that has become ready, with its
// processor time and elapsed time since the start.
var readyPattern = regexp.MustCompile(`event=ready .*processor_ms=([0-9.]+) took_ms=([0-9.]+)`)

// buildDaemon builds the daemon with external linking, as it is deployed, and
// returns its path.
func buildDaemon(tb testing.TB) string {
	tb.Helper()
	daemon := filepath.Join(tb.TempDir(), "oatlatchd")
	command := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", daemon, ".")
	if out, err := command.CombinedOutput(); err != nil {
		tb.Fatalf("build: %v\n%s", err, out)
	}
	return daemon
}

// writeSettings writes the settings of a host that reads the store, and returns
// the path of the file.
func writeSettings(tb testing.TB, store netip.AddrPort) string {
	tb.Helper()
	path := filepath.Join(tb.TempDir(), "host.ini")
	text := fmt.Sprintf("[host]\nid = h\ndata_centre = a\nregion = r\n[listen]\npacket = 127.0.0.1:0\npeer = 127.0.0.1:0\n"+
		"ready = 127.0.0.1:0\nmetrics = 127.0.0.1:0\n[store]\naddress = %s\napply_within = 3s\n[stop]\ntime_limit = 5s\n", store)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		tb.Fatal(err)
	}
	return path
}

// startUntilReady starts the daemon, waits until it is ready and kills it. It
// returns the processor time and the elapsed time until the daemon was ready.
func startUntilReady(tb testing.TB, daemon, settings string) (processorMs, tookMs float64) {
	tb.Helper()
	command := exec.Command(daemon, "edge", "--settings", settings)
	out, err := command.StdoutPipe()
	if err != nil {
		tb.Fatal(err)
	}
	if err := command.Start(); err != nil {
		tb.Fatal(err)
	}
	defer func() {
		_ = command.Process.Kill()
		_ = command.Wait() // returns an error because the process was killed
	}()
	scanner := bufio.NewScanner(out)
	for scanner.Scan() {
		match := readyPattern.FindStringSubmatch(scanner.Text())
		if match == nil {
			continue
		}
		if processorMs, err = strconv.ParseFloat(match[1], 64); err != nil {
			tb.Fatal(err)
		}
		if tookMs, err = strconv.ParseFloat(match[2], 64); err != nil {
			tb.Fatal(err)
		}
		return processorMs, tookMs
	}
	tb.Fatalf("the host exited before it was ready: %v", scanner.Err())
	return 0, 0
}

// registeredUpstreams is the number of upstreams in the store when a host starts.
const registeredUpstreams = 90

// BenchmarkStart measures the processor time and elapsed time until a host is
// ready. The processor time matters after a power failure, when all hosts start at
// once, each with a share of a core.
func BenchmarkStart(b *testing.B) {
	store, err := standin.NewStore()
	if err != nil {
		b.Fatal(err)
	}
	defer store.Close()
	route := standin.Route{Address: netip.MustParseAddrPort("198.18.0.1:443"), Service: "desk", Timeout: int(time.Second.Milliseconds())}
	if err := store.Put(standin.ConfigurationKey, standin.Configuration(1, []standin.Route{route}, []string{"desk"})); err != nil {
		b.Fatal(err)
	}
	for i := range registeredUpstreams {
		u := standin.UpstreamOptions{
			Name: fmt.Sprintf("i-%010x", i), Service: "desk", DataCentre: "a", Slots: 2,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 8080),
		}
		if err := store.Put(u.StoreKey(), u.Registration(false)); err != nil {
			b.Fatal(err)
		}
	}
	daemon, settings := buildDaemon(b), writeSettings(b, store.Address())
	var processorMs, tookMs float64
	for b.Loop() {
		processor, took := startUntilReady(b, daemon, settings)
		processorMs, tookMs = processorMs+processor, tookMs+took
	}
	b.ReportMetric(processorMs/float64(b.N), "processor-ms/start")
	b.ReportMetric(tookMs/float64(b.N), "ms/start")
}

// maxInitBytes is the limit on the memory that a package's variables allocate
// before main. Together, all packages must stay below the heap size of the first
// garbage collection.
const maxInitBytes = 64 << 10

// initTracePattern matches a package of this module in the output of inittrace,
// with the bytes that it allocated.
var initTracePattern = regexp.MustCompile(`(?m)^init (github\.com/oatlatch/\S+) .* ms clock, ([0-9]+) bytes`)

// TestPackageVariablesAllocateLittle checks the memory that package variables
// allocate at each start of the daemon, whether or not they are used.
func TestPackageVariablesAllocateLittle(t *testing.T) {
	command := exec.Command(buildDaemon(t), "settings")
	command.Env = append(os.Environ(), "GODEBUG=inittrace=1")
	var trace bytes.Buffer
	command.Stderr = &trace
	if err := command.Run(); err != nil {
		t.Fatalf("%v\n%s", err, trace.String())
	}
	matches := initTracePattern.FindAllStringSubmatch(trace.String(), -1)
	if len(matches) == 0 {
		t.Fatalf("no package of this module in the trace:\n%s", trace.String())
	}
	for _, match := range matches {
		if n, err := strconv.Atoi(match[2]); err != nil || n > maxInitBytes {
			t.Errorf("%s allocates %s bytes before main, want at most %d; error %v", match[1], match[2], maxInitBytes, err)
		}
	}
}
