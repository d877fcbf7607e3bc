package forward

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/flow/echo"
)

// TestEvacuationMetrics guards against gauges that do not tell when a data centre is empty.
func TestEvacuationMetrics(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_000_000, 0)
	engine := echo.New(echo.Options{DataCentre: "quay-a"})
	registry := prometheus.NewRegistry()
	_, err := newEchoMetrics(registry, engine, func() time.Time { return now })
	g.Expect(err).NotTo(HaveOccurred())
	route := catalog.Route{Address: routeAddress, Shares: []catalog.Share{{Service: "desk", Weight: 1}}}
	view := catalog.View{
		Configuration: &catalog.Configuration{Version: 1, Routes: []catalog.Route{route}},
		Upstreams:     []catalog.Entry{{Presence: catalog.Registered, Upstream: catalog.Upstream{ID: 7, Name: "i-7", Service: "desk", DataCentre: "quay-b", Slots: 2}}},
	}
	engine.SetView(now, view)
	syn := echo.Segment{SYN: true, Caller: routeAddress, VirtualAddress: routeAddress, Seq: 1}
	d := engine.Decide(now, &syn)
	engine.Decide(now, &echo.Segment{ACK: true, Caller: routeAddress, VirtualAddress: routeAddress, Seq: 2, Token: d.Token, Length: 10})
	view.Evacuations = []catalog.Evacuation{{DataCentre: "quay-b"}}
	engine.SetView(now, view)
	g.Expect(testutil.GatherAndCompare(registry, strings.NewReader(`
# HELP oatlatch_echo_evacuated_data_centres Data centres whose upstreams get no new flows because they are evacuated.
# TYPE oatlatch_echo_evacuated_data_centres gauge
oatlatch_echo_evacuated_data_centres 1
# HELP oatlatch_echo_evacuated_open_flows This host's open flows at upstreams of an evacuated data centre.
# TYPE oatlatch_echo_evacuated_open_flows gauge
oatlatch_echo_evacuated_open_flows{data_centre="quay-b"} 1
# HELP oatlatch_echo_evacuated_requests This host's requests without an answer at upstreams of an evacuated data centre.
# TYPE oatlatch_echo_evacuated_requests gauge
oatlatch_echo_evacuated_requests{data_centre="quay-b"} 1
`), "oatlatch_echo_evacuated_data_centres", "oatlatch_echo_evacuated_open_flows", "oatlatch_echo_evacuated_requests")).To(Succeed())
}
