package adopt_test

import (
	"context"
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/platform"
	"github.com/oatlatch/oatlatch/internal/platform/fake"
	standin "github.com/oatlatch/oatlatch/internal/standin/platform"
	"github.com/onsi/gomega"
)

const (
	budgetHosts = 50
	// budgetWatchers is the number of hosts with the duty to watch: three in each of
	// the seven data centres.
	budgetWatchers = 21
	// callsPerWatcher bounds a watcher's calls for one change: the watch that answers,
	// the page, and the next watch, which may time out once.
	callsPerWatcher = 4
)

// startStandin returns a running counting stand-in.
func startStandin(t *testing.T) *standin.Server {
	t.Helper()
	server, err := standin.New(standin.Options{})
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

func TestPlatformBudgetOfFiftyHosts(t *testing.T) {
	g := gomega.NewWithT(t)
	server, f := startStandin(t), newFleet()
	version := publish(t, server.Store(), 1, svc("a", 1, 1), svc("b", 2, 1), svc("c", 3, 1))
	var nodes []*node
	for i := range budgetHosts {
		port, err := platform.NewHTTP(platform.Options{
			Addresses: []string{server.URL()}, WatchWait: 5 * time.Second, Seed: uint64(i + 1),
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(port.Close)
		nodes = append(nodes, f.start(t, i, 1, port))
	}
	f.shareMembers()
	all := func(version config.Version) {
		for _, n := range nodes {
			g.Eventually(n.version, inForce).Should(gomega.Equal(version))
		}
	}
	all(version)
	start := server.Calls()
	t.Logf("start of %d hosts: %+v", budgetHosts, start)
	g.Expect(start.Total()).To(gomega.BeNumerically("<=", 2*budgetHosts+5*budgetWatchers))

	const changes = 4
	for weight := range changes {
		all(publish(t, server.Store(), uint64(weight+2), svc("a", 1, weight+2)))
	}
	changed := server.Calls().Sub(start)
	t.Logf("%d changes: %+v", changes, changed)
	g.Expect(changed.Total()).To(gomega.BeNumerically("<=", changes*budgetWatchers*callsPerWatcher))

	server.SetFaults(fake.Faults{Down: true})
	g.Eventually(func() int { return nodes[0].runner.Status().WatchFailures + nodes[7].runner.Status().WatchFailures }, inForce).
		Should(gomega.BeNumerically(">", 0))
	version = publish(t, server.Store(), 20, svc("a", 1, 99))
	before := server.Calls()
	server.SetFaults(fake.Faults{})
	all(version)
	healed := server.Calls().Sub(before)
	t.Logf("after the outage: %+v", healed)
	g.Expect(healed.Total()).To(gomega.BeNumerically("<=", budgetWatchers*callsPerWatcher))
}
