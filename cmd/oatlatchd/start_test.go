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

// readyLine finds the figures of a host that has become ready.
var readyLine = regexp.MustCompile(`event=ready .*processor_ms=([0-9.]+) took_ms=([0-9.]+)`)

// build builds the daemon as it is deployed.
func build(tb testing.TB) string {
	tb.Helper()
	daemon := filepath.Join(tb.TempDir(), "oatlatchd")
	command := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", daemon, ".")
	if out, err := command.CombinedOutput(); err != nil {
		tb.Fatalf("build: %v\n%s", err, out)
	}
	return daemon
}

// writeStartSettings writes settings of a host of the store and returns their path.
func writeStartSettings(tb testing.TB, store netip.AddrPort) string {
	tb.Helper()
	path := filepath.Join(tb.TempDir(), "host.ini")
	text := fmt.Sprintf("[host]\nid = h\ndata_centre = a\nregion = r\n[listen]\npacket = 127.0.0.1:0\npeer = 127.0.0.1:0\n"+
		"ready = 127.0.0.1:0\nmetrics = 127.0.0.1:0\n[store]\naddress = %s\napply_within = 3s\n[stop]\ntime_limit = 5s\n", store)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		tb.Fatal(err)
	}
	return path
}

// start starts the daemon, waits until it is ready, kills it and returns the
// processor time and the time that it took.
func start(tb testing.TB, daemon, settings string) (processor, took float64) {
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
		_ = command.Wait() // killed
	}()
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		figures := readyLine.FindStringSubmatch(lines.Text())
		if figures == nil {
			continue
		}
		if processor, err = strconv.ParseFloat(figures[1], 64); err != nil {
			tb.Fatal(err)
		}
		if took, err = strconv.ParseFloat(figures[2], 64); err != nil {
			tb.Fatal(err)
		}
		return processor, took
	}
	tb.Fatalf("the host ended before it was ready: %v", lines.Err())
	return 0, 0
}

// startUpstreams is the number of upstreams that a starting host hears of.
const startUpstreams = 90

// BenchmarkStart measures what a start costs until the host is ready: after a
// loss of power all hosts pay it at once, at their part of a core.
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
	for i := range startUpstreams {
		u := standin.UpstreamOptions{
			Name: fmt.Sprintf("i-%010x", i), Service: "desk", DataCentre: "a", Slots: 2,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 8080),
		}
		if err := store.Put(u.Key(), u.Registration(false)); err != nil {
			b.Fatal(err)
		}
	}
	daemon, settings := build(b), writeStartSettings(b, store.Address())
	var processor, took float64
	for b.Loop() {
		p, t := start(b, daemon, settings)
		processor, took = processor+p, took+t
	}
	b.ReportMetric(processor/float64(b.N), "processor-ms/start")
	b.ReportMetric(took/float64(b.N), "ms/start")
}

// maxInitBytes is what the variables of one package may allocate before main: all
// packages of a start together must stay below the first garbage collection.
const maxInitBytes = 64 << 10

// initLine finds the figures of a package of this module.
var initLine = regexp.MustCompile(`(?m)^init (github\.com/oatlatch/\S+) .* ms clock, ([0-9]+) bytes`)

// TestPackagesStartWithoutWork looks for package variables that every start pays
// for, whether they are used or not.
func TestPackagesStartWithoutWork(t *testing.T) {
	command := exec.Command(build(t), "settings")
	command.Env = append(os.Environ(), "GODEBUG=inittrace=1")
	var trace bytes.Buffer
	command.Stderr = &trace
	if err := command.Run(); err != nil {
		t.Fatalf("%v\n%s", err, trace.String())
	}
	packages := initLine.FindAllStringSubmatch(trace.String(), -1)
	if len(packages) == 0 {
		t.Fatalf("no package of this module in the trace:\n%s", trace.String())
	}
	for _, p := range packages {
		if n, err := strconv.Atoi(p[2]); err != nil || n > maxInitBytes {
			t.Errorf("%s allocates %s bytes before main, want %d at most; error %v", p[1], p[2], maxInitBytes, err)
		}
	}
}
