package configrunner_test

import (
	"context"
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/consul"
	"github.com/oatlatch/oatlatch/internal/consul/fake"
	"github.com/oatlatch/oatlatch/internal/standin/platform"
	"github.com/onsi/gomega"
)

const (
	hostCount = 50
	// watcherCount is the number of hosts that watch the platform: three in each of the
	// seven data centres.
	watcherCount = 21
	// callsPerWatcher bounds a watcher's platform calls for one change: the watch that
	// returns the change, the read of the page, and the next watch, which may time out once.
	callsPerWatcher = 4
)

// startPlatform starts a stand-in for the platform, which counts the calls to it.
func startPlatform(t *testing.T) *platform.Server {
	t.Helper()
	server, err := platform.New(platform.Options{})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return server
}

// TestPlatformBudgetOfFiftyHosts guards against overloading the platform: it bounds the
// calls of all hosts while they start, for a change and after an outage.
func TestPlatformBudgetOfFiftyHosts(t *testing.T) {
	g := gomega.NewWithT(t)
	server, c := startPlatform(t), newCluster()
	version := publish(t, server.Store(), 1, newService("a", 1, 1), newService("b", 2, 1), newService("c", 3, 1))
	var nodes []*node
	for i := range hostCount {
		client, err := consul.NewHTTPClient(consul.Options{
			Addresses: []string{server.URL()}, WatchWait: 5 * time.Second, Seed: uint64(i + 1),
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(client.Close)
		nodes = append(nodes, c.start(t, i, 1, client))
	}
	c.setMembers()
	awaitVersion := func(version config.Version) {
		for _, n := range nodes {
			g.Eventually(n.version, adoptionTimeout).Should(gomega.Equal(version))
		}
	}
	awaitVersion(version)
	startCalls := server.Calls()
	t.Logf("start of %d hosts: %+v", hostCount, startCalls)
	g.Expect(startCalls.Total()).To(gomega.BeNumerically("<=", 2*hostCount+5*watcherCount))

	const changes = 4
	for weight := range changes {
		awaitVersion(publish(t, server.Store(), uint64(weight+2), newService("a", 1, weight+2)))
	}
	changeCalls := server.Calls().Sub(startCalls)
	t.Logf("%d changes: %+v", changes, changeCalls)
	g.Expect(changeCalls.Total()).To(gomega.BeNumerically("<=", changes*watcherCount*callsPerWatcher))

	server.SetFaults(fake.Faults{Down: true})
	// The rank of host 0 makes it a watcher, so its reads fail during the outage.
	g.Eventually(func() int { return nodes[0].runner.Status().WatchFailures + nodes[7].runner.Status().WatchFailures }, adoptionTimeout).
		Should(gomega.BeNumerically(">", 0))
	version = publish(t, server.Store(), 20, newService("a", 1, 99))
	before := server.Calls()
	server.SetFaults(fake.Faults{})
	awaitVersion(version)
	recovery := server.Calls().Sub(before)
	t.Logf("after the outage: %+v", recovery)
	g.Expect(recovery.Total()).To(gomega.BeNumerically("<=", watcherCount*callsPerWatcher))
}
