package flow

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/membership"
	"github.com/oatlatch/oatlatch/internal/service"
)

var testStart = time.Unix(1_000_000, 0)

// largeSnapshot returns a configuration with a service of n upstreams.
func largeSnapshot(version config.Version, n int, state service.AdminState) *config.Snapshot {
	svc := service.Service{
		Name: "desk", ID: 1, Protocol: service.TCP, Prefer: service.PreferFlows, DeviationThreshold: 0.01, IdleTimeout: time.Minute,
		Address: netip.MustParseAddrPort("198.51.100.1:443"),
	}
	for i := range n {
		svc.Upstreams = append(svc.Upstreams, service.Upstream{
			Name: fmt.Sprint("u-", i), Weight: 1, Connections: 2000, Slots: 2, State: state,
			PacketAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 6081),
		})
	}
	return &config.Snapshot{Manifest: config.Manifest{Version: version, FlowKey: [16]byte{7}}, Services: []service.Service{svc}}
}

// newLargeEngine returns an engine that serves n upstreams with another host as a member.
func newLargeEngine(n int) *Engine {
	e := New(Options{Self: "a-1", DataCentre: "a", Seed: 1, MaxFlows: 1000})
	e.Step(testStart, Adopted{Snapshot: largeSnapshot(1, n, service.AdminActive)})
	e.Step(testStart, MembersChanged{View: membership.View{Members: []membership.Member{{Host: host.Host{ID: "a-2"}, State: membership.Live}}}})
	return e
}

// TestMessagesHaveRoomForAllUpstreams covers services of more upstreams than a message had
// room for: a state reply gave the receiver defaults without an upstream, and a drain
// notice left upstreams out.
func TestMessagesHaveRoomForAllUpstreams(t *testing.T) {
	g := gomega.NewWithT(t)
	const upstreams = 3000
	e := newLargeEngine(upstreams)
	replies := 0
	for _, action := range e.Step(testStart, Received{From: "a-2", Message: Message{Kind: StateRequest, Service: 1, Version: 1}}) {
		if m := action.(Send).Message; m.Kind == StateReply {
			replies++
			g.Expect(m.valid()).To(gomega.BeTrue())
			for _, d := range m.Defaults {
				g.Expect(d.Upstream).NotTo(gomega.Equal(uint16(noUpstream)))
			}
		}
	}
	g.Expect(replies).To(gomega.Equal(1))
	drained := 0
	for _, action := range e.Step(testStart, Adopted{Snapshot: largeSnapshot(2, upstreams, service.AdminDraining)}) {
		if send, ok := action.(Send); ok && send.Message.Kind == DrainNotice {
			g.Expect(send.Message.valid()).To(gomega.BeTrue())
			drained += len(send.Message.Upstreams)
		}
	}
	g.Expect(drained).To(gomega.Equal(upstreams))
}

// TestRecordsNewerThanTheStepAreCollected covers a packet that a worker handles in the second
// after the last step: its record seemed to be 136 years old and was not sent.
func TestRecordsNewerThanTheStepAreCollected(t *testing.T) {
	g := gomega.NewWithT(t)
	e := newLargeEngine(4)
	svc := e.service(1)
	id := ID(1) << 40
	e.records.shard(id).addConfirmed(id, record{service: 1, upstream: 3, lastSeen: e.nowSeconds() + 1, ownerSeen: e.nowSeconds() + 1})
	slots := allSlots()
	g.Expect(e.collectRecords(svc, &slots, false)).To(gomega.HaveLen(1))
}

// TestAgesDoNotWrap guards against an age of a time that is later than now.
func TestAgesDoNotWrap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, then := seconds(rapid.Uint32().Draw(t, "now")), seconds(rapid.Uint32().Draw(t, "then"))
		if age, want := now.since(then), max(0, int64(now)-int64(then)); int64(age) != want {
			t.Fatalf("age %d, want %d", age, want)
		}
	})
}

// TestExplainNamesTheRecordedUpstream covers a flow in an untracked slot whose record names
// another upstream than the default: Decide follows the record.
func TestExplainNamesTheRecordedUpstream(t *testing.T) {
	g := gomega.NewWithT(t)
	e := newLargeEngine(4)
	e.Step(testStart, MembersChanged{}) // without other members, the service is ready
	k := Key{Source: netip.MustParseAddrPort("203.0.113.9:4000"), Destination: netip.MustParseAddrPort("198.51.100.1:443"), Protocol: service.TCP}
	svc := e.service(1)
	id := e.serviceView.Load().key.sum(&k, svc.id)
	table := svc.table.Load()
	recorded := (table.defaults[int(id&slotMask)] + 1) % 4
	e.records.shard(id).addConfirmed(id, record{service: 1, upstream: recorded, tcp: true, lastSeen: e.nowSeconds() + 1})
	x := e.Explain(k)
	g.Expect(x.Steps).To(gomega.ContainElement(gomega.ContainSubstring("last packet 0 s ago")))
	g.Expect(x.Upstream).To(gomega.Equal(table.upstreamName(recorded)))
	g.Expect(e.Decide(testStart, &Packet{Key: k}).Target).To(gomega.Equal(table.address(recorded)))
}
