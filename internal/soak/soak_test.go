package soak

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/release/releasetest"
)

// seeds are the seeds that CI runs: all that have ever failed, with the cause. A
// harness fault is a fault of this package and not of the daemon.
var seeds = []struct {
	seed  uint64
	cause string
}{
	{1, "SIGHUP arrived while the command line was being parsed and terminated the process"},
	{2012, "harness fault: the settings were invalid when a process started and valid when its exit was noticed"},
	{1033, "harness fault: a process that restarted after a kill read its settings file while it was being written"},
	{1007, "a process restarted after a kill while its settings file was invalid, in which case it may exit"},
}

// TestSoak does a short run with real processes for each seed and expects no
// violations.
func TestSoak(t *testing.T) {
	daemon := buildDaemon(t)
	for _, c := range seeds {
		t.Run(fmt.Sprint(c.seed), func(t *testing.T) {
			t.Parallel()
			runSeed(t, daemon, "", c.seed)
		})
	}
}

// TestUpgradeAndGoBack runs the build in production and this one side by side: hosts are upgraded
// one after the other and go back, with flows open and the faults of TestSoak meanwhile.
func TestUpgradeAndGoBack(t *testing.T) {
	earlier := releasetest.Production(t)
	runSeed(t, buildDaemon(t), earlier, 2101)
}

// buildDaemon builds the daemon and returns its path.
func buildDaemon(t *testing.T) string {
	t.Helper()
	daemon := filepath.Join(t.TempDir(), "oatlatchd")
	build := exec.Command("go", "build", "-o", daemon, "../../cmd/oatlatchd")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return daemon
}

// runSeed does one run and reports its violations as test errors. If earlier is set, it is the
// daemon that hosts are upgraded from.
func runSeed(t *testing.T, daemon, earlier string, seed uint64) {
	log, err := os.Create(filepath.Join(t.TempDir(), "hosts.log"))
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	report, err := Run(context.Background(), Options{
		Daemon: daemon, Earlier: earlier, Seed: seed, Duration: 14 * time.Second, Hosts: 2, Callers: 16, Log: log,
	})
	if err != nil {
		t.Fatal(err)
	}
	if report.Requests == 0 || report.Served == 0 {
		t.Errorf("no requests were sent or served: %+v", report)
	}
	for _, violation := range report.Violations {
		t.Error(violation)
	}
	if t.Failed() {
		logLines(t, log.Name())
	}
}

// logLines prints the hosts' lines that tell why flows were reset.
func logLines(t *testing.T, path string) {
	text, err := os.ReadFile(path)
	if err != nil {
		t.Error(err)
	}
	for line := range strings.Lines(string(text)) {
		for _, event := range []string{"flow_reset", "upstream_suspected", "host_stalled"} {
			if strings.Contains(line, "event="+event+" ") {
				t.Log(strings.TrimSpace(line))
			}
		}
	}
}
