package forward

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/oatlatch/oatlatch/internal/flow"
)

// engineCollector exports the engine's status when metrics are scraped.
type engineCollector struct {
	engine       *flow.Engine
	records      *prometheus.Desc
	evicted      *prometheus.Desc
	rounds       *prometheus.Desc
	trackedSlots *prometheus.Desc
	activeFlows  *prometheus.Desc
}

func newEngineCollector(engine *flow.Engine) *engineCollector {
	return &engineCollector{
		engine:       engine,
		records:      prometheus.NewDesc("oatlatch_flow_records", "Flow records, by state.", []string{"state"}, nil),
		evicted:      prometheus.NewDesc("oatlatch_flow_evicted_records_total", "Flow records evicted for want of room.", nil, nil),
		rounds:       prometheus.NewDesc("oatlatch_flow_rounds_total", "Agreements that this host started as a slot owner.", nil, nil),
		trackedSlots: prometheus.NewDesc("oatlatch_flow_tracked_slots", "Tracked slots, by service and role of this host.", []string{"service", "role"}, nil),
		activeFlows:  prometheus.NewDesc("oatlatch_flow_active_flows", "Flows seen lately, by service and upstream.", []string{"service", "upstream"}, nil),
	}
}

// Describe implements prometheus.Collector.
func (c *engineCollector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{c.records, c.evicted, c.rounds, c.trackedSlots, c.activeFlows} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (c *engineCollector) Collect(out chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, v int, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, float64(v), labels...)
	}
	s := c.engine.Status()
	gauge(c.records, s.Confirmed, "confirmed")
	gauge(c.records, s.Unconfirmed, "unconfirmed")
	out <- prometheus.MustNewConstMetric(c.evicted, prometheus.CounterValue, float64(s.Evicted))
	out <- prometheus.MustNewConstMetric(c.rounds, prometheus.CounterValue, float64(s.Stats.Rounds))
	for _, svc := range s.Services {
		gauge(c.trackedSlots, svc.OwnedSlots, svc.Name, "owner")
		gauge(c.trackedSlots, svc.TrackedSlots-svc.OwnedSlots, svc.Name, "member")
		for _, u := range svc.Upstreams {
			gauge(c.activeFlows, u.ActiveFlows, svc.Name, u.Name)
		}
	}
}
