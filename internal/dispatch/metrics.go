package dispatch

import (
	"maps"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/oatlatch/oatlatch/internal/admission"
)

// outcomeKey holds the labels of an outcome counter.
type outcomeKey struct {
	outcome admission.Outcome
	reason  admission.Reason
}

// metrics holds the Prometheus metrics. Outcomes and retries are also counted for Status.
type metrics struct {
	outcomes *prometheus.CounterVec
	retries  *prometheus.CounterVec
	// retriesRefused counts the retries for which the retry budget was used up.
	retriesRefused prometheus.Counter
	relays         *prometheus.CounterVec
	loans          *prometheus.CounterVec
	inProgress     prometheus.Gauge
	durations      *prometheus.HistogramVec

	mu              sync.Mutex
	outcomeCounts   map[outcomeKey]uint64
	retryCounts     map[admission.Reason]uint64
	inProgressCount int
	lastArrivedAt   time.Time
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
		retriesRefused: prometheus.NewCounter(prometheus.CounterOpts{
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
		durations: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "oatlatch_request_duration_seconds",
			Help:    "Time from a request's headers to the end of its answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}, []string{"outcome"}),
		outcomeCounts: make(map[outcomeKey]uint64),
		retryCounts:   make(map[admission.Reason]uint64),
	}
	if registerer != nil {
		registerer.MustRegister(m.outcomes, m.retries, m.retriesRefused, m.relays, m.loans, m.inProgress, m.durations)
	}
	return m
}

func (m *metrics) requestStarted(now time.Time) {
	m.inProgress.Inc()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastArrivedAt = now
	m.inProgressCount++
}

// lastArrival returns the time at which the last request arrived.
func (m *metrics) lastArrival() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastArrivedAt
}

func (m *metrics) requestFinished() {
	m.inProgress.Dec()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inProgressCount--
}

func (m *metrics) recordOutcome(outcome admission.Outcome, reason admission.Reason, seconds float64) {
	m.outcomes.WithLabelValues(string(outcome), string(reason)).Inc()
	m.durations.WithLabelValues(string(outcome)).Observe(seconds)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.outcomeCounts[outcomeKey{outcome, reason}]++
}

func (m *metrics) recordRetry(reason admission.Reason) {
	m.retries.WithLabelValues(string(reason)).Inc()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.retryCounts[reason]++
}

// counts returns the numbers of requests by outcome, of retries by reason, and of requests
// in progress.
func (m *metrics) counts() (map[outcomeKey]uint64, map[admission.Reason]uint64, int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.outcomeCounts), maps.Clone(m.retryCounts), m.inProgressCount
}
