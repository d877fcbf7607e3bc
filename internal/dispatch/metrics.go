package dispatch

import (
	"maps"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/oatlatch/oatlatch/internal/admission"
)

// outcomeKey labels one outcome counter.
type outcomeKey struct {
	outcome admission.Outcome
	reason  admission.Reason
}

// metrics counts outcomes and retries for Prometheus and for status.
type metrics struct {
	outcomes *prometheus.CounterVec
	retries  *prometheus.CounterVec
	// retryRefused counts retries that the budget did not allow.
	retryRefused prometheus.Counter
	relays       *prometheus.CounterVec
	loans        *prometheus.CounterVec
	inProgress   prometheus.Gauge
	seconds      *prometheus.HistogramVec

	mu            sync.Mutex
	outcomeCounts map[outcomeKey]uint64
	retryCounts   map[admission.Reason]uint64
	running       int
	begun         time.Time
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oatlatch_request_outcomes_total",
			Help: "Requests by the outcome and reason told to the caller.",
		}, []string{"outcome", "reason"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oatlatch_request_retries_total",
			Help: "Attempts after the first, by the reason of the attempt before.",
		}, []string{"reason"}),
		retryRefused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "oatlatch_request_retries_refused_total",
			Help: "Retries that the retry budget did not allow.",
		}),
		relays: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oatlatch_request_relays_total",
			Help: "Requests relayed to the host that holds their ticket, by result.",
		}, []string{"result"}),
		loans: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oatlatch_request_slot_loans_total",
			Help: "Slots of other hosts asked for, by result.",
		}, []string{"result"}),
		inProgress: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "oatlatch_requests_in_progress",
			Help: "Requests that callers of this host wait for.",
		}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "oatlatch_request_duration_seconds",
			Help:    "Time from a request's headers to the end of its answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}, []string{"outcome"}),
		outcomeCounts: make(map[outcomeKey]uint64),
		retryCounts:   make(map[admission.Reason]uint64),
	}
	if registerer != nil {
		registerer.MustRegister(m.outcomes, m.retries, m.retryRefused, m.relays, m.loans, m.inProgress, m.seconds)
	}
	return m
}

func (m *metrics) begin(now time.Time) {
	m.inProgress.Inc()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.begun = now
	m.running++
}

// lastBegun returns when the last request arrived.
func (m *metrics) lastBegun() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.begun
}

func (m *metrics) end() {
	m.inProgress.Dec()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running--
}

func (m *metrics) outcome(outcome admission.Outcome, reason admission.Reason, seconds float64) {
	m.outcomes.WithLabelValues(string(outcome), string(reason)).Inc()
	m.seconds.WithLabelValues(string(outcome)).Observe(seconds)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.outcomeCounts[outcomeKey{outcome, reason}]++
}

func (m *metrics) retry(reason admission.Reason) {
	m.retries.WithLabelValues(string(reason)).Inc()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.retryCounts[reason]++
}

func (m *metrics) snapshot() (map[outcomeKey]uint64, map[admission.Reason]uint64, int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.outcomeCounts), maps.Clone(m.retryCounts), m.running
}
