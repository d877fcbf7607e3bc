package adopt_test

import (
	"strings"
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/platform/fake"
	"github.com/onsi/gomega"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// inForce bounds the time from a publication to its adoption by every host.
const inForce = 3 * time.Second

func (n *node) version() config.Version { return n.runner.Snapshot().Version() }

func TestPublicationIsInForceWithABrokenWatch(t *testing.T) {
	g := gomega.NewWithT(t)
	store, f := fake.NewStore(), newFleet()
	first := publish(t, store, 1, svc("a", 1, 1))
	var nodes []*node
	for i := range 5 {
		port := fake.NewPort(store)
		if i == 0 {
			port.SetFaults(fake.Faults{DeafWatches: true})
		}
		nodes = append(nodes, f.start(t, i, 1, port))
	}
	f.shareMembers()
	for _, n := range nodes {
		g.Eventually(n.version, inForce).Should(gomega.Equal(first))
	}
	second := publish(t, store, 2, svc("a", 1, 2))
	for _, n := range nodes {
		g.Eventually(n.version, inForce).Should(gomega.Equal(second))
	}
}

func TestStartWithoutThePlatform(t *testing.T) {
	for name, faults := range map[string]fake.Faults{
		"down": {Down: true},
		"slow": {Delay: time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			store, f := fake.NewStore(), newFleet()
			version := publish(t, store, 1, svc("a", 1, 1))
			running := f.start(t, 0, 1, fake.NewPort(store))
			g.Eventually(running.version, inForce).Should(gomega.Equal(version))
			port := fake.NewPort(store)
			port.SetFaults(faults)
			fresh := f.start(t, 1, 1, port)
			f.shareMembers()
			g.Eventually(fresh.version, 2*time.Second).Should(gomega.Equal(version))
		})
	}
}

func TestStartWithNeitherRefusesAndRecovers(t *testing.T) {
	g := gomega.NewWithT(t)
	store, f := fake.NewStore(), newFleet()
	version := publish(t, store, 1, svc("a", 1, 1))
	port := fake.NewPort(store)
	port.SetFaults(fake.Faults{Down: true})
	alone := f.start(t, 0, 1, port)
	g.Eventually(func() string { return alone.runner.Status().Reason }, inForce).
		Should(gomega.ContainSubstring("the platform cannot be read"))
	if alone.runner.Snapshot() != nil {
		t.Fatal("serves without a configuration")
	}
	port.SetFaults(fake.Faults{})
	g.Eventually(alone.version, 2*joiningBackoffCap).Should(gomega.Equal(version))
	if reason := alone.runner.Status().Reason; strings.TrimSpace(reason) != "" {
		t.Fatalf("reason stays: %q", reason)
	}
}

// joiningBackoffCap bounds the time between platform reads of a joining host.
const joiningBackoffCap = 4 * time.Second

func TestEmptiedPlatformGetsTheConfigurationBack(t *testing.T) {
	g := gomega.NewWithT(t)
	store, f := fake.NewStore(), newFleet()
	version := publish(t, store, 1, svc("a", 1, 1), svc("b", 2, 1))
	var nodes []*node
	for i := range 5 {
		nodes = append(nodes, f.start(t, i, 1, fake.NewPort(store)))
	}
	f.shareMembers()
	for _, n := range nodes {
		g.Eventually(n.version, inForce).Should(gomega.Equal(version))
	}
	head := store.Get(config.HeadKey).Data
	store.Restore(fake.NewStore())
	g.Eventually(func() []byte { return store.Get(config.HeadKey).Data }, 15*time.Second).Should(gomega.Equal(head))
	if pages := store.List(config.PagePrefix); len(pages) != 2 {
		t.Fatalf("%d pages were written back", len(pages))
	}
}
