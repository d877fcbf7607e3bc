package main

import (
	"bufio"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/logquery"
	"github.com/oatlatch/oatlatch/platform/standin"
)

const (
	// awaitLimit is the maximum time for what has no bound of its own.
	awaitLimit = 20 * time.Second
	// restoredApplyLimit is the time within which changes that are written after a
	// restore of the store must be in force.
	restoredApplyLimit = 500 * time.Millisecond
	// restoredCallsPerHost is the maximum number of calls of a host to the store in the
	// restoredCallsPeriod after a restore.
	restoredCallsPerHost = 10
	restoredCallsPeriod  = 3 * time.Second
	// heartbeatInterval is the time between the records of an upstream.
	heartbeatInterval = 700 * time.Millisecond
)

// hostLog collects the lines that hosts log.
type hostLog struct {
	mu      sync.Mutex
	lines   []logquery.Line
	changed chan struct{}
}

func newHostLog() *hostLog { return &hostLog{changed: make(chan struct{})} }

func (l *hostLog) add(line logquery.Line) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, line)
	close(l.changed)
	l.changed = make(chan struct{})
}

// find returns the first line of the host with the event, and with the value of the field.
func (l *hostLog) find(host, event, field, value string) (*logquery.Line, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.lines {
		if line := &l.lines[i]; line.Host == host && line.Event == event && line.Get(field) == value {
			return line, nil
		}
	}
	return nil, l.changed
}

// await waits until all hosts have logged the event with the value of the field, and
// returns the time of the last one.
func (l *hostLog) await(t *testing.T, hosts []string, event, field, value string) time.Time {
	t.Helper()
	timeout := time.NewTimer(awaitLimit)
	defer timeout.Stop()
	var last time.Time
	for _, host := range hosts {
		line, changed := l.find(host, event, field, value)
		for line == nil {
			select {
			case <-changed:
			case <-timeout.C:
				t.Fatalf("%s did not log %s %s=%s within %s", host, event, field, value, awaitLimit)
			}
			line, changed = l.find(host, event, field, value)
		}
		if line.Time.After(last) {
			last = line.Time
		}
	}
	return last
}

// startHost starts a host of the data centre a until the test ends. listenLines and
// storeLines are added to these sections of its settings. It returns the path of the
// settings file.
func startHost(t *testing.T, daemon, name string, store netip.AddrPort, log *hostLog, listenLines, storeLines string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name+".ini")
	text := fmt.Sprintf("[host]\nid = %s\ndata_centre = a\nregion = r\n[listen]\npacket = 127.0.0.1:0\npeer = 127.0.0.1:0\n"+
		"ready = 127.0.0.1:0\n%s[store]\naddress = %s\napply_within = 3s\n%s[stop]\ntime_limit = 1s\n", name, listenLines, store, storeLines)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	command := exec.Command(daemon, "edge", "--settings", path)
	out, err := command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		scanner := bufio.NewScanner(out)
		for scanner.Scan() {
			if line, ok := logquery.Parse(scanner.Text()); ok {
				log.add(line)
			}
		}
	}()
	t.Cleanup(func() {
		_ = command.Process.Kill()
		<-done
		_ = command.Wait() // returns an error because the process was killed
	})
	return path
}

// testUpstream is an upstream of which only the records exist.
type testUpstream struct {
	options  standin.UpstreamOptions
	started  int64
	sequence int
	draining bool
}

// write writes the upstream's next record.
func (u *testUpstream) write(t *testing.T, store *standin.Store) {
	t.Helper()
	u.sequence++
	record := u.options.Registration(u.draining)
	record["born"], record["sequence"] = u.started, u.sequence
	if err := store.Put(u.options.StoreKey(), record); err != nil {
		t.Fatal(err)
	}
}

// TestStoreComesBackFromAnOlderCopy runs two hosts before a store that loses what it has
// acknowledged since a copy was taken: two versions of the configuration, the drain of one
// upstream and the departure of another. What is written after that must be in force as
// fast as ever although its revisions are lower than those that the hosts have seen, what
// has left must not be used again, and the hosts must not flood the store.
func TestStoreComesBackFromAnOlderCopy(t *testing.T) {
	store, err := standin.NewStore()
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	publish := func(version uint64) {
		t.Helper()
		route := standin.Route{Address: netip.MustParseAddrPort("198.18.0.1:443"), Service: "desk", Timeout: int(time.Second.Milliseconds())}
		if err := store.Put(standin.ConfigurationKey, standin.Configuration(version, []standin.Route{route}, []string{"desk"})); err != nil {
			t.Fatal(err)
		}
	}
	var upstreams []*testUpstream
	for i := range 40 {
		u := &testUpstream{started: time.Now().UnixMilli(), options: standin.UpstreamOptions{
			Name: fmt.Sprintf("i-%010x", i+1), Service: "desk", DataCentre: "a", Slots: 2,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 9, 0, byte(i)}), 8080),
		}}
		upstreams = append(upstreams, u)
		u.write(t, store)
	}
	publish(1)
	log, hosts := newHostLog(), []string{"h-1", "h-2"}
	daemon := buildDaemon(t)
	for _, host := range hosts {
		startHost(t, daemon, host, store.Address(), log, "", "")
	}
	log.await(t, hosts, "ready", "", "")
	log.await(t, hosts, "registered", "", "")
	drains, leaves, later := upstreams[0], upstreams[1], upstreams[2]

	older := store.Copy()
	for _, u := range upstreams {
		u.write(t, store)
	}
	drains.draining, leaves.draining = true, true
	drains.write(t, store)
	leaves.write(t, store)
	publish(2)
	publish(3)
	log.await(t, hosts, "configuration_adopted", "version", "3")
	log.await(t, hosts, "upstream_draining", "upstream", drains.options.Name)
	store.Remove(leaves.options.StoreKey())
	log.await(t, hosts, "upstream_departed", "upstream", leaves.options.Name)

	store.Restore(older)
	restoredAt, callsBefore := time.Now(), store.Calls()
	log.await(t, hosts, "store_restored", "epoch", "1")
	time.Sleep(heartbeatInterval) // by which upstreams have noticed the loss
	for _, u := range upstreams {
		if u != leaves {
			u.write(t, store)
		}
	}
	time.Sleep(heartbeatInterval)
	publish(5)
	acknowledged := time.Now()
	if took := log.await(t, hosts, "configuration_adopted", "version", "5").Sub(acknowledged); took > restoredApplyLimit {
		t.Errorf("version 5 was in force after %s, want at most %s", took, restoredApplyLimit)
	}
	later.draining = true
	later.write(t, store)
	acknowledged = time.Now()
	if took := log.await(t, hosts, "upstream_draining", "upstream", later.options.Name).Sub(acknowledged); took > restoredApplyLimit {
		t.Errorf("the drain was seen after %s, want at most %s", took, restoredApplyLimit)
	}
	time.Sleep(time.Until(restoredAt.Add(restoredCallsPeriod)))
	if calls := store.Calls() - callsBefore; calls > restoredCallsPerHost*len(hosts) {
		t.Errorf("%d calls to the store in the %s after the restore, want at most %d", calls, restoredCallsPeriod, restoredCallsPerHost*len(hosts))
	} else {
		t.Logf("%d calls to the store in the %s after the restore", calls, restoredCallsPeriod)
	}
	for _, host := range hosts {
		for _, event := range []string{"upstream_added", "upstream_changed", "upstream_restarted"} {
			for _, u := range []*testUpstream{drains, leaves} {
				if line, _ := log.find(host, event, "upstream", u.options.Name); line != nil {
					t.Errorf("%s uses %s again: %s", host, u.options.Name, strings.TrimSpace(fmt.Sprint(line.Event, line.Fields)))
				}
			}
		}
		if line, _ := log.find(host, "configuration_adopted", "before", "3"); line == nil || line.Get("version") != "5" {
			t.Errorf("%s did not go from version 3 to 5", host)
		}
	}
}
