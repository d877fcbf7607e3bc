package edge_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/oatlatch/oatlatch/platform/standin"
)

// movedDeployment is a deployment with a route to service desk, of which two callers have
// open flows that were opened through the first host.
type movedDeployment struct {
	g        *WithT
	t        *testing.T
	store    *standin.Store
	recorder *standin.Recorder
	port     uint16
	// host is the address of the host to which routers send all packets.
	host   netip.AddrPort
	first  *startedHost
	kept   *standin.Caller
	ended  *standin.Caller
	leaves *standin.Upstream
}

// movedRoute is the virtual address of the route.
var movedRoute = netip.MustParseAddrPort("198.18.0.1:443")

// address returns an address of the deployment; port 0 is the port for packets.
func (d *movedDeployment) address(a, b byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, a, 0, b}), d.port+port)
}

func (d *movedDeployment) startHost(number byte, name string, withSnapshot bool) *startedHost {
	d.t.Helper()
	h := startHostAt(d.t, d.store.Address(), name, [3]netip.AddrPort{d.address(50, number, 0), d.address(50, number, 1), d.address(50, number, 2)}, withSnapshot)
	d.g.Eventually(func() bool { return h.log.contains("ready") }, 10*time.Second).Should(BeTrue())
	d.host = d.address(50, number, 0)
	return h
}

func (d *movedDeployment) configure(version uint64, service string) {
	d.t.Helper()
	routes := []standin.Route{{Address: movedRoute, Service: service, Priority: 1, Timeout: 2500}}
	d.g.Expect(d.store.Put(standin.ConfigurationKey, standin.Configuration(version, routes, []string{"desk", "plans"}))).To(Succeed())
}

func (d *movedDeployment) addUpstream(number byte, service string) *standin.Upstream {
	d.t.Helper()
	u, err := standin.NewUpstream(standin.UpstreamOptions{
		Name: "i-0000000" + string('0'+rune(number)), Service: service, DataCentre: "quay", Address: d.address(51, number, 3), CallerPort: d.port,
		Slots: 2, ServiceTime: time.Millisecond, Recorder: d.recorder,
	})
	d.g.Expect(err).NotTo(HaveOccurred())
	d.t.Cleanup(u.Close)
	d.g.Expect(d.store.Put(u.StoreKey(), u.Registration())).To(Succeed())
	return u
}

func (d *movedDeployment) addCaller(number byte) *standin.Caller {
	d.t.Helper()
	c, err := standin.NewCaller(d.address(52, number, 0), func(netip.AddrPort) netip.AddrPort { return d.host }, d.recorder)
	d.g.Expect(err).NotTo(HaveOccurred())
	d.t.Cleanup(c.Close)
	return c
}

// send sends a request to service desk on the caller's flow.
func (d *movedDeployment) send(c *standin.Caller, id uint64) error {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return c.SendRequest(ctx, movedRoute, "desk", id, true, 100)
}

// newMovedDeployment opens both flows, removes the upstream of the second one after a drain,
// and moves the route to service plans.
func newMovedDeployment(t *testing.T) *movedDeployment {
	t.Helper()
	g := NewWithT(t)
	free, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	store, err := standin.NewStore()
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(store.Close)
	d := &movedDeployment{g: g, t: t, store: store, recorder: standin.NewRecorder(), port: uint16(min(free.Addr().(*net.TCPAddr).Port, 60000))}
	g.Expect(free.Close()).To(Succeed())
	d.configure(1, "desk")
	d.addUpstream(3, "plans")
	d.leaves = d.addUpstream(1, "desk")
	d.first = d.startHost(1, "quay-1", true)
	d.ended, d.kept = d.addCaller(1), d.addCaller(2)
	g.Expect(d.send(d.ended, 1)).To(Succeed())
	d.leaves.Drain()
	g.Expect(store.Put(d.leaves.StoreKey(), d.leaves.Registration())).To(Succeed())
	g.Eventually(func() bool { return d.first.log.contains("upstream_draining") }, 10*time.Second).Should(BeTrue())
	d.addUpstream(2, "desk")
	g.Eventually(func() bool { return d.first.log.contains("upstream_added") }, 10*time.Second).Should(BeTrue())
	g.Expect(d.send(d.kept, 2)).To(Succeed())
	store.Remove(d.leaves.StoreKey())
	g.Eventually(func() bool { return d.first.log.contains("upstream_departed") }, 10*time.Second).Should(BeTrue())
	d.configure(2, "plans")
	return d
}

// TestHostThatStartsAfterAChange starts a host after a route has moved and an upstream has
// left, in each way in which it can learn of both. Open flows must go on, and those of the
// upstream that has left must be reset at once.
func TestHostThatStartsAfterAChange(t *testing.T) {
	t.Run("from the snapshot, after all others have lost power", func(t *testing.T) {
		d := newMovedDeployment(t)
		d.g.Eventually(func() string { return d.first.log.String() }, 10*time.Second).Should(MatchRegexp(`"version":2,.*"message":"snapshot_written"`))
		d.first.stop()
		second := d.startHost(2, "quay-2", true)
		d.g.Expect(second.log.contains("snapshot_read")).To(BeTrue())
		d.g.Expect(d.send(d.kept, 3)).To(Succeed())
		d.g.Expect(d.send(d.ended, 4)).To(MatchError(standin.ErrReset))
		d.g.Expect(d.recorder.Violations()).To(BeEmpty())
	})
	t.Run("from another host, after a listing", func(t *testing.T) {
		d := newMovedDeployment(t)
		d.g.Eventually(func() string { return d.first.log.String() }, 10*time.Second).Should(And(ContainSubstring(`"version":2,"before":1`), ContainSubstring(`"message":"registered"`)))
		second := d.startHost(2, "quay-2", false)
		d.g.Expect(second.log.contains("page_listed")).To(BeTrue())
		started := time.Now()
		d.g.Expect(d.send(d.kept, 3)).To(Succeed(), "the packet is held until the first host has been read")
		d.g.Expect(time.Since(started)).To(BeNumerically("<", time.Second), "a packet is held for 1.6 s at most")
		d.g.Expect(d.send(d.ended, 4)).To(MatchError(standin.ErrReset))
		d.g.Expect(d.recorder.Violations()).To(BeEmpty())
	})
}
