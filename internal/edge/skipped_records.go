package edge

import (
	"fmt"
	"strings"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// maxSkippedKeys is the maximum number of keys whose last error is kept. At the limit
// all are forgotten, so their errors are logged again.
const maxSkippedKeys = 1024

// skippedRecords counts the records of the store that cannot be used. It logs a
// record's error unless it equals the previous error of that record.
type skippedRecords struct {
	logger  zerolog.Logger
	counter *prometheus.CounterVec

	mu sync.Mutex
	// lastErrors holds the last error of each record by key.
	lastErrors map[string]string
}

func newSkippedRecords(logger zerolog.Logger, registerer prometheus.Registerer) (*skippedRecords, error) {
	s := &skippedRecords{logger: logger, lastErrors: make(map[string]string), counter: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "oatlatch_store_records_skipped_total", Help: "Records of the store that cannot be used, by kind of key.",
	}, []string{"kind"})}
	if err := registerer.Register(s.counter); err != nil {
		return nil, fmt.Errorf("register store metrics, which a registry accepts only once: %w", err)
	}
	return s, nil
}

// add counts a skipped record and logs its error unless it is repeated.
func (s *skippedRecords) add(key string, err error) {
	kind, _, _ := strings.Cut(key, "/")
	s.counter.WithLabelValues(kind).Inc()
	s.mu.Lock()
	repeated := s.lastErrors[key] == err.Error()
	if !repeated {
		if len(s.lastErrors) >= maxSkippedKeys {
			clear(s.lastErrors)
		}
		s.lastErrors[key] = err.Error()
	}
	s.mu.Unlock()
	if !repeated {
		s.logger.Warn().Str("key", key).Err(err).Msg("record_skipped")
	}
}
