package logging

import (
	"bytes"
	"context"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// maxQueuedLines is the maximum number of queued lines, not counting reports of
	// suppressed lines.
	maxQueuedLines = 1024
	// warningReserve is the fraction of the rate limits and of the queue that is
	// reserved for warnings and errors.
	warningReserve = 0.3
	// reportInterval is the minimum time between reports of suppressed lines.
	reportInterval = 5 * time.Second
	// flushTimeout limits how long Close waits for queued lines to be written.
	flushTimeout = 300 * time.Millisecond
)

// Limits are the rate limits of a RateLimitedWriter.
type Limits struct {
	// LinesPerSecond and BytesPerSecond limit the average rates. A burst may use up what
	// is allowed in one second.
	LinesPerSecond, BytesPerSecond float64
}

// RateLimitedWriter is a writer for zerolog that never blocks: it queues lines for a
// goroutine that writes them. Lines that exceed the limits are suppressed, and their
// number is reported for each event. A part of the limits is reserved for warnings and
// errors.
type RateLimitedWriter struct {
	out    zerolog.ConsoleWriter
	limits Limits
	now    func() time.Time
	// done is closed when writeQueued has returned.
	done chan struct{}

	mu sync.Mutex
	// notEmpty is signalled when a line is queued and when the writer is closed.
	notEmpty sync.Cond
	queue    [][]byte
	// lineBudget and byteBudget are the numbers of lines and bytes that the rate limits
	// allow now.
	lineBudget, byteBudget float64
	lastRefill             time.Time
	// suppressed counts the suppressed lines of each event since the last report.
	suppressed map[string]uint64
	lastReport time.Time
	closed     bool
}

// NewRateLimitedWriter returns a RateLimitedWriter that writes to w and takes the time
// from now. It must be closed after use.
func NewRateLimitedWriter(w io.Writer, limits Limits, now func() time.Time) *RateLimitedWriter {
	r := &RateLimitedWriter{
		out: newConsoleWriter(w), limits: limits, now: now, done: make(chan struct{}),
		lineBudget: limits.LinesPerSecond, byteBudget: limits.BytesPerSecond, lastRefill: now(), lastReport: now(),
		suppressed: make(map[string]uint64),
	}
	r.notEmpty.L = &r.mu
	go r.writeQueued()
	return r
}

// SetLimits replaces the limits.
func (r *RateLimitedWriter) SetLimits(limits Limits) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limits = limits
}

// Write queues a line without a level as one of level info.
func (r *RateLimitedWriter) Write(line []byte) (int, error) {
	return r.WriteLevel(zerolog.InfoLevel, line)
}

// WriteLevel queues a line, or suppresses and counts it if it exceeds the limits.
func (r *RateLimitedWriter) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.refill(now)
	if r.admit(level, len(line)) {
		r.enqueue(bytes.Clone(line))
	} else {
		r.suppressed[eventName(line)]++
	}
	if len(r.suppressed) > 0 && now.Sub(r.lastReport) >= reportInterval {
		r.reportSuppressed(now)
	}
	return len(line), nil
}

// enqueue adds a line to the queue. r.mu must be held.
func (r *RateLimitedWriter) enqueue(line []byte) {
	r.queue = append(r.queue, line)
	r.notEmpty.Signal()
}

// refill adds to the budgets what the limits allow for the time since the last
// refill. r.mu must be held.
func (r *RateLimitedWriter) refill(now time.Time) {
	seconds := max(0, now.Sub(r.lastRefill).Seconds())
	r.lastRefill = now
	r.lineBudget = min(r.limits.LinesPerSecond, r.lineBudget+seconds*r.limits.LinesPerSecond)
	r.byteBudget = min(r.limits.BytesPerSecond, r.byteBudget+seconds*r.limits.BytesPerSecond)
}

// admit reports whether a line may be queued, and deducts it from the budgets if so.
// r.mu must be held.
func (r *RateLimitedWriter) admit(level zerolog.Level, size int) bool {
	reserve := 0.0
	if level < zerolog.WarnLevel {
		reserve = warningReserve
	}
	fits := len(r.queue) < int((1-reserve)*maxQueuedLines) &&
		r.lineBudget-1 >= reserve*r.limits.LinesPerSecond &&
		r.byteBudget-float64(size) >= reserve*r.limits.BytesPerSecond
	if fits && !r.closed {
		r.lineBudget--
		r.byteBudget -= float64(size)
	}
	return fits && !r.closed
}

// reportSuppressed queues a line for each event with suppressed lines, regardless of
// the limits. r.mu must be held.
func (r *RateLimitedWriter) reportSuppressed(now time.Time) {
	r.lastReport = now
	var line bytes.Buffer
	logger := zerolog.New(&line).With().Timestamp().Logger()
	for event, count := range r.suppressed {
		logger.Warn().Str("suppressed", event).Uint64("lines", count).Msg("log_lines_suppressed")
		r.enqueue(bytes.Clone(line.Bytes()))
		line.Reset()
	}
	clear(r.suppressed)
}

// eventName returns the name of the event in a JSON line of zerolog, or "unknown".
func eventName(line []byte) string {
	prefix := []byte(`"` + zerolog.MessageFieldName + `":"`)
	start := bytes.LastIndex(line, prefix)
	if start < 0 {
		return "unknown"
	}
	name := line[start+len(prefix):]
	end := bytes.IndexByte(name, '"')
	if end < 0 {
		return "unknown"
	}
	return string(name[:end])
}

// writeQueued writes queued lines until the writer is closed and the queue is empty. It
// drops lines that cannot be written, because there is nowhere to report the error.
func (r *RateLimitedWriter) writeQueued() {
	defer close(r.done)
	for {
		r.mu.Lock()
		for len(r.queue) == 0 && !r.closed {
			r.notEmpty.Wait()
		}
		lines := r.queue
		r.queue = nil
		r.mu.Unlock()
		if len(lines) == 0 {
			return
		}
		for _, line := range lines {
			_, _ = r.out.Write(line)
		}
	}
}

// Close suppresses further lines and waits until the queued lines are written, but no
// longer than flushTimeout.
func (r *RateLimitedWriter) Close() {
	r.mu.Lock()
	r.closed = true
	if len(r.suppressed) > 0 {
		r.reportSuppressed(r.now())
	}
	r.notEmpty.Signal()
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	select {
	case <-r.done:
	case <-ctx.Done():
	}
}
