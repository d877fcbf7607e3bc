package settings

import (
	"math"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// validEdge returns settings that Check accepts.
func validEdge() Edge {
	address := netip.MustParseAddrPort("10.0.0.1:7001")
	return Edge{
		Host: Host{ID: "quay-1", DataCentre: "quay"}, Listen: EdgeListen{Packet: address, Peer: address, Ready: address},
		Store: Store{Address: address, ApplyWithin: []time.Duration{3 * time.Second}, History: 20 * time.Second}, Limits: EdgeLimits{Flows: 1 << 17, FlowAge: time.Minute},
		Stop: EdgeStop{TimeLimit: 6 * time.Second}, Log: EdgeLog{LinesPerSecond: 200, BytesPerSecond: 65536},
	}
}

func TestEdgeSettingsOutOfRange(t *testing.T) {
	g := NewWithT(t)
	valid := validEdge()
	g.Expect(valid.Check()).To(Succeed())
	tests := []struct {
		name string
		edit func(*Edge)
		want string
	}{
		{"negative bandwidth", func(s *Edge) { s.Limits.Bandwidth = -1 }, "limits.bandwidth"},
		{"bandwidth that is no number", func(s *Edge) { s.Limits.Bandwidth = math.NaN() }, "limits.bandwidth"},
		{"infinite bandwidth", func(s *Edge) { s.Limits.Bandwidth = math.Inf(1) }, "limits.bandwidth"},
		{"infinite log rate", func(s *Edge) { s.Log.LinesPerSecond = math.Inf(1) }, "log.lines_per_second"},
		{"address without a port", func(s *Edge) { s.Listen.Packet = netip.MustParseAddrPort("10.0.0.1:0") }, "listen.packet"},
		{"store without a port", func(s *Edge) { s.Store.Address = netip.MustParseAddrPort("127.0.0.1:0") }, "store.address"},
		{"no flow age", func(s *Edge) { s.Limits.FlowAge = 0 }, "limits.flow_age"},
		{"flow age of two days", func(s *Edge) { s.Limits.FlowAge = 48 * time.Hour }, "limits.flow_age"},
		{"negative warm-up overage", func(s *Edge) { s.Warmup.Overage = -1 }, "warmup.overage"},
		{"warm-up slack that is no number", func(s *Edge) { s.Warmup.Slack = math.NaN() }, "warmup.slack"},
		{"no history", func(s *Edge) { s.Store.History = 0 }, "store.history"},
		{"no time to apply", func(s *Edge) { s.Store.ApplyWithin = nil }, "store.apply_within"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := validEdge()
			test.edit(&s)
			NewWithT(t).Expect(s.Check()).To(MatchError(ContainSubstring(test.want)))
		})
	}
}
