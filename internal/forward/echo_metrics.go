package forward

import (
	"fmt"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/oatlatch/oatlatch/internal/flow/echo"
)

// responseTimeBuckets are the upper bounds of the response time histogram in
// seconds. They range from the response time of an idle upstream to the longest
// request deadline.
var responseTimeBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 1, 2, 5}

// echoMetrics counts decisions by verdict and reason and records response times. The
// counters are looked up once at the start so that counting a packet does not
// allocate.
type echoMetrics struct {
	// decisions is indexed by verdict and reason. Reasons start at 1.
	decisions     [][]prometheus.Counter
	responseTimes prometheus.Histogram
}

func newEchoMetrics(registerer prometheus.Registerer, engine *echo.Engine, now func() time.Time) (*echoMetrics, error) {
	packets := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "oatlatch_echo_packets_total", Help: "Packets of callers, by verdict and reason.",
	}, []string{"verdict", "reason"})
	m := &echoMetrics{
		decisions: make([][]prometheus.Counter, len(echo.Verdicts())),
		responseTimes: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "oatlatch_echo_answer_seconds", Buckets: responseTimeBuckets,
			Help: "Time from a request, or a SYN, to the caller's acknowledgement of the answer.",
		}),
	}
	reasons := echo.Reasons()
	for _, verdict := range echo.Verdicts() {
		m.decisions[verdict] = make([]prometheus.Counter, len(reasons)+1)
		for _, r := range reasons {
			m.decisions[verdict][r] = packets.WithLabelValues(verdict.String(), r.String())
		}
	}
	if registerer == nil {
		return m, nil
	}
	for _, c := range []prometheus.Collector{packets, m.responseTimes, &echoCollector{engine: engine, now: now}} {
		if err := registerer.Register(c); err != nil {
			return nil, fmt.Errorf("register packet metrics, which a registry accepts only once: %w", err)
		}
	}
	return m, nil
}

func (m *echoMetrics) countDecision(d *echo.Decision) {
	m.decisions[d.Verdict][d.Reason].Inc()
	if d.ResponseTime > 0 {
		m.responseTimes.Observe(d.ResponseTime.Seconds())
	}
}

func (m *echoMetrics) countDrop(r echo.Reason) {
	m.decisions[echo.Drop][r].Inc()
}

// echoCollector exports the engine's statistics when metrics are scraped.
type echoCollector struct {
	engine *echo.Engine
	now    func() time.Time
}

var (
	versionDesc              = prometheus.NewDesc("oatlatch_echo_configuration_version", "Version of the configuration in force.", nil, nil)
	flowsDesc                = prometheus.NewDesc("oatlatch_echo_flow_records", "Flow records held.", nil, nil)
	flowLimitDesc            = prometheus.NewDesc("oatlatch_echo_flow_records_limit", "Most flow records held.", nil, nil)
	evictedDesc              = prometheus.NewDesc("oatlatch_echo_evicted_flow_records_total", "Flow records evicted because the table was full, by state.", []string{"state"}, nil)
	largestCallerDesc        = prometheus.NewDesc("oatlatch_echo_largest_caller_flow_records", "Flow records of the caller with the most while the table is full, else 0.", nil, nil)
	waitingDesc              = prometheus.NewDesc("oatlatch_echo_waiting_flows", "New flows that wait for a slot.", nil, nil)
	evacuatedDataCentresDesc = prometheus.NewDesc("oatlatch_echo_evacuated_data_centres", "Data centres whose upstreams get no new flows because they are evacuated.", nil, nil)
	evacuatedFlowsDesc       = prometheus.NewDesc("oatlatch_echo_evacuated_open_flows", "This host's open flows at upstreams of an evacuated data centre.", []string{"data_centre"}, nil)
	evacuatedRequestsDesc    = prometheus.NewDesc("oatlatch_echo_evacuated_requests", "This host's requests without an answer at upstreams of an evacuated data centre.", []string{"data_centre"}, nil)
	upstreamsDesc            = prometheus.NewDesc("oatlatch_echo_upstreams", "Upstreams, by what new flows may do with them.", []string{"state"}, nil)
	busiestDesc              = prometheus.NewDesc("oatlatch_echo_busiest_ratio", "This host's recent requests per slot at the busiest upstream of its data centre, divided by the mean of the service; the largest of all services, 0 with few requests.", nil, nil)
)

// Describe implements prometheus.Collector.
func (c *echoCollector) Describe(out chan<- *prometheus.Desc) {
	out <- versionDesc
	out <- flowsDesc
	out <- flowLimitDesc
	out <- evictedDesc
	out <- largestCallerDesc
	out <- waitingDesc
	out <- upstreamsDesc
	out <- evacuatedDataCentresDesc
	out <- evacuatedFlowsDesc
	out <- evacuatedRequestsDesc
	out <- busiestDesc
}

// Collect implements prometheus.Collector.
func (c *echoCollector) Collect(out chan<- prometheus.Metric) {
	s := c.engine.Stats(c.now())
	gauge := func(desc *prometheus.Desc, value int, labels ...string) {
		out <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, float64(value), labels...)
	}
	gauge(versionDesc, int(s.Version))
	gauge(flowsDesc, s.Flows)
	gauge(flowLimitDesc, s.MaxFlows)
	for state, n := range s.EvictedRecords {
		out <- prometheus.MustNewConstMetric(evictedDesc, prometheus.CounterValue, float64(n), echo.RecordState(state).String())
	}
	gauge(largestCallerDesc, s.LargestCallerRecords)
	gauge(waitingDesc, c.engine.WaitingFlows())
	gauge(upstreamsDesc, s.Usable, "usable")
	gauge(upstreamsDesc, s.Draining, "draining")
	gauge(upstreamsDesc, s.Suspected, "suspected")
	gauge(upstreamsDesc, s.Ejected, "ejected")
	gauge(upstreamsDesc, s.Departed, "departed")
	gauge(upstreamsDesc, s.Evacuated, "evacuated")
	evacuations := c.engine.Evacuations()
	gauge(evacuatedDataCentresDesc, len(evacuations))
	for i := range evacuations {
		gauge(evacuatedFlowsDesc, evacuations[i].OpenFlows, evacuations[i].DataCentre)
		gauge(evacuatedRequestsDesc, evacuations[i].Outstanding, evacuations[i].DataCentre)
	}
	out <- prometheus.MustNewConstMetric(busiestDesc, prometheus.GaugeValue, s.BusiestRatio)
}

// malformedLogInterval is the minimum time between log lines about malformed
// packets.
const malformedLogInterval = time.Second
