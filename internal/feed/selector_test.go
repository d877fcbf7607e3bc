package feed

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

var start = time.Unix(1_000_000, 0)

func newTestSelector(self string, hosts ...catalog.Host) *sourceSelector {
	s := newSourceSelector(self, "a", rand.New(rand.NewPCG(1, 1)))
	s.setHosts(hosts)
	return s
}

// hostsIn returns n hosts of a data centre in join order.
func hostsIn(dataCentre string, n int) []catalog.Host {
	var hosts []catalog.Host
	for i := range n {
		hosts = append(hosts, catalog.Host{Name: fmt.Sprintf("%s-%d", dataCentre, i), DataCentre: dataCentre, Joined: uint64(i)})
	}
	return hosts
}

// sourceName returns the host's name, or that of the store if h is nil.
func sourceName(h *catalog.Host) string {
	if h == nil {
		return storeName
	}
	return h.Name
}

func TestHostsOfDataCentreFormTree(t *testing.T) {
	hosts := append(hostsIn("b", 3), hostsIn("a", 75)...)
	children := make(map[string]int)
	for i := range 75 {
		s := newTestSelector(fmt.Sprintf("a-%d", i), hosts...)
		children[sourceName(s.next(start))]++
	}
	if children[storeName] != 1 {
		t.Errorf("%d hosts read the store, want 1", children[storeName])
	}
	for name, n := range children {
		if n > fanOut {
			t.Errorf("%d hosts follow %s, want at most %d", n, name, fanOut)
		}
	}
	unregistered := newTestSelector("a-new", hosts...)
	if got := sourceName(unregistered.next(start)); got == storeName {
		t.Error("a host that is not registered yet reads the store, want a registered host")
	}
}

// TestFewHostsReadTheStore guards against calls to the store that grow with the number of data
// centres, and against a single reader, whose silent store would leave all hosts behind.
func TestFewHostsReadTheStore(t *testing.T) {
	g := NewWithT(t)
	var hosts []catalog.Host
	for _, dataCentre := range []string{"c", "a", "d", "b"} {
		hosts = append(hosts, hostsIn(dataCentre, 3)...)
	}
	sources := make(map[string]string)
	for _, h := range hosts {
		s := newSourceSelector(h.Name, h.DataCentre, nil)
		s.setHosts(hosts)
		sources[h.Name] = sourceName(s.next(start))
		g.Expect(s.first).To(Equal(strings.HasSuffix(h.Name, "-0")), h.Name)
		if s.first && sources[h.Name] != storeName {
			s.recordFailure(start, s.next(start), peerCooldown)
			g.Expect(sourceName(s.next(start))).To(Equal(storeName), "its source has failed")
		}
	}
	g.Expect(sources).To(Equal(map[string]string{
		"c-0": storeName, "c-1": "c-0", "c-2": "c-0", "a-0": storeName, "a-1": "a-0", "a-2": "a-0",
		"d-0": "c-0", "d-1": "d-0", "d-2": "d-0", "b-0": "c-0", "b-1": "b-0", "b-2": "b-0",
	}))
}

func TestHostReadsStoreWhenParentFails(t *testing.T) {
	g := NewWithT(t)
	s := newTestSelector("a-1", hostsIn("a", 3)...)
	parent := s.next(start)
	g.Expect(sourceName(parent)).To(Equal("a-0"))
	s.recordFailure(start, parent, peerCooldown)
	g.Expect(sourceName(s.next(start))).To(Equal(storeName))
	g.Expect(sourceName(s.next(start.Add(peerCooldown)))).To(Equal("a-0"))
}

func TestHostReadsPeersWhenStoreFails(t *testing.T) {
	g := NewWithT(t)
	s := newTestSelector("a-0", append(hostsIn("b", 2), hostsIn("a", 2)...)...)
	for range peerFallbackThreshold {
		g.Expect(sourceName(s.next(start))).To(Equal(storeName))
		s.recordFailure(start, nil, peerCooldown)
	}
	peer := s.next(start)
	g.Expect(sourceName(peer)).To(Equal("a-1"), "hosts in the same data centre are preferred")
	s.recordFailure(start, peer, peerCooldown)
	peer = s.next(start)
	g.Expect(sourceName(peer)).To(HavePrefix("b-"))
	s.recordSuccess(peer)
	g.Expect(sourceName(s.next(start.Add(storeRetryInterval / 2)))).To(HavePrefix("b-"))
	g.Expect(sourceName(s.next(start.Add(storeRetryInterval)))).To(Equal(storeName), "the store must be retried after the interval")
	s.recordSuccess(nil)
	g.Expect(sourceName(s.next(start.Add(storeRetryInterval)))).To(Equal(storeName))
}

func TestSingleHostAlwaysReadsStore(t *testing.T) {
	s := newTestSelector("a-0", hostsIn("a", 1)...)
	for range 2 * peerFallbackThreshold {
		if got := sourceName(s.next(start)); got != storeName {
			t.Fatalf("host reads %s, want the store", got)
		}
		s.recordFailure(start, nil, peerCooldown)
	}
}

func TestCooldownOfDepartedHostIsForgotten(t *testing.T) {
	g := NewWithT(t)
	s := newTestSelector("a-0", hostsIn("a", 3)...)
	for _, h := range hostsIn("a", 3)[1:] {
		s.recordFailure(start, &h, peerCooldown)
	}
	s.setHosts(hostsIn("a", 2))
	g.Expect(s.cooldownUntil).To(HaveLen(1))
	g.Expect(s.cooldownUntil).To(HaveKey("a-1"))
}

// TestHostThatRefusesIsReadAgainSoon guards against hosts that read the store for seconds because
// their parent started a moment later than they.
func TestHostThatRefusesIsReadAgainSoon(t *testing.T) {
	g := NewWithT(t)
	refused := errors.New("connection refused")
	g.Expect(cooldownAfter(refused, time.Millisecond)).To(Equal(refusedCooldown))
	g.Expect(cooldownAfter(refused, time.Second)).To(Equal(peerCooldown), "it is silent")
	for _, err := range []error{ErrStale, ErrIsolated, ErrLoop, ErrBehind} {
		g.Expect(cooldownAfter(err, time.Millisecond)).To(Equal(peerCooldown), "it is of no use for a while")
	}
}
