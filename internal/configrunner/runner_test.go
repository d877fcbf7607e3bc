package configrunner_test

import (
	"strings"
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/consul/fake"
	"github.com/onsi/gomega"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// adoptionTimeout bounds the time from a publication to its adoption by every host.
const adoptionTimeout = 3 * time.Second

func (n *node) version() config.Version { return n.runner.Snapshot().Version() }

// TestPublicationIsAdoptedDespiteABrokenWatch checks that a host whose watch of the platform
// never reports a change learns of new versions from its peers.
func TestPublicationIsAdoptedDespiteABrokenWatch(t *testing.T) {
	g := gomega.NewWithT(t)
	store, c := fake.NewStore(), newCluster()
	first := publish(t, store, 1, newService("a", 1, 1))
	var nodes []*node
	for i := range 5 {
		client := fake.NewClient(store)
		if i == 0 {
			client.SetFaults(fake.Faults{MissChanges: true})
		}
		nodes = append(nodes, c.start(t, i, 1, client))
	}
	c.setMembers()
	for _, n := range nodes {
		g.Eventually(n.version, adoptionTimeout).Should(gomega.Equal(first))
	}
	second := publish(t, store, 2, newService("a", 1, 2))
	for _, n := range nodes {
		g.Eventually(n.version, adoptionTimeout).Should(gomega.Equal(second))
	}
}

// TestStartWithoutThePlatform checks that a host that cannot read the platform gets the
// configuration from a peer.
func TestStartWithoutThePlatform(t *testing.T) {
	for name, faults := range map[string]fake.Faults{
		"down": {Down: true},
		"slow": {Delay: time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			store, c := fake.NewStore(), newCluster()
			version := publish(t, store, 1, newService("a", 1, 1))
			running := c.start(t, 0, 1, fake.NewClient(store))
			g.Eventually(running.version, adoptionTimeout).Should(gomega.Equal(version))
			client := fake.NewClient(store)
			client.SetFaults(faults)
			fresh := c.start(t, 1, 1, client)
			c.setMembers()
			g.Eventually(fresh.version, 2*time.Second).Should(gomega.Equal(version))
		})
	}
}

// TestStartWithoutPlatformOrPeers checks that a host without any source reports why it has no
// configuration, and adopts one once the platform can be read.
func TestStartWithoutPlatformOrPeers(t *testing.T) {
	g := gomega.NewWithT(t)
	store, c := fake.NewStore(), newCluster()
	version := publish(t, store, 1, newService("a", 1, 1))
	client := fake.NewClient(store)
	client.SetFaults(fake.Faults{Down: true})
	joining := c.start(t, 0, 1, client)
	g.Eventually(func() string { return joining.runner.Status().Reason }, adoptionTimeout).
		Should(gomega.ContainSubstring("the platform cannot be read"))
	if joining.runner.Snapshot() != nil {
		t.Fatal("the host has a configuration without any source")
	}
	client.SetFaults(fake.Faults{})
	g.Eventually(joining.version, 2*maxJoiningBackoff).Should(gomega.Equal(version))
	if reason := joining.runner.Status().Reason; strings.TrimSpace(reason) != "" {
		t.Fatalf("the status still has a reason: %q", reason)
	}
}

// maxJoiningBackoff bounds the time between platform reads of a joining host.
const maxJoiningBackoff = 4 * time.Second

// TestEmptiedPlatformIsRestored checks that hosts write the head and the pages back to a
// platform that has lost its data.
func TestEmptiedPlatformIsRestored(t *testing.T) {
	g := gomega.NewWithT(t)
	store, c := fake.NewStore(), newCluster()
	version := publish(t, store, 1, newService("a", 1, 1), newService("b", 2, 1))
	var nodes []*node
	for i := range 5 {
		nodes = append(nodes, c.start(t, i, 1, fake.NewClient(store)))
	}
	c.setMembers()
	for _, n := range nodes {
		g.Eventually(n.version, adoptionTimeout).Should(gomega.Equal(version))
	}
	head := store.Get(config.HeadKey).Data
	store.Restore(fake.NewStore())
	g.Eventually(func() []byte { return store.Get(config.HeadKey).Data }, 15*time.Second).Should(gomega.Equal(head))
	if pages := store.List(config.PagePrefix); len(pages) != 2 {
		t.Fatalf("%d pages were written back", len(pages))
	}
}
