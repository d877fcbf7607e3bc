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
	// maxQueuedLines limits the number of queued lines.
	maxQueuedLines = 1024
	// warningReserve is the share of the rates and of the queue that is reserved for
	// warnings and errors.
	warningReserve = 0.3
	// reportInterval is the shortest time between reports of suppressed lines.
	reportInterval = 5 * time.Second
	// flushTimeout limits how long Close waits for queued lines to be written.
	flushTimeout = 300 * time.Millisecond
)

// Limits are the rate limits of a RateLimitedWriter.
type Limits struct {
	// LinesPerSecond and BytesPerSecond limit the rates. A burst may have as much as
	// one second allows.
	LinesPerSecond, BytesPerSecond float64
}

// RateLimitedWriter is a writer for zerolog that never blocks: it queues lines
// for a goroutine that writes them. Lines over the limits are suppressed, and their
// number is reported for each event. Warnings and errors take precedence over lines
// of lower levels.
type RateLimitedWriter struct {
	out    zerolog.ConsoleWriter
	limits Limits
	now    func() time.Time
	done   chan struct{}

	mu       sync.Mutex
	notEmpty sync.Cond
	queue    [][]byte
	// lineBudget and byteBudget are the number of lines and bytes that the rate limits
	// allow at present.
	lineBudget, byteBudget float64
	lastRefill             time.Time
	// suppressed is the number of suppressed lines by event since the last report.
	suppressed map[string]uint64
	lastReport time.Time
	closed     bool
}

// NewRateLimitedWriter returns a RateLimitedWriter that writes to w. It must be closed after use.
func NewRateLimitedWriter(w io.Writer, limits Limits, now func() time.Time) *RateLimitedWriter {
	b := &RateLimitedWriter{
		out: newConsoleWriter(w), limits: limits, now: now, done: make(chan struct{}),
		lineBudget: limits.LinesPerSecond, byteBudget: limits.BytesPerSecond, lastRefill: now(), lastReport: now(),
		suppressed: make(map[string]uint64),
	}
	b.notEmpty.L = &b.mu
	go b.writeQueued()
	return b
}

// SetLimits replaces the limits.
func (b *RateLimitedWriter) SetLimits(limits Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = limits
}

// Write handles a line without a level like one of level info.
func (b *RateLimitedWriter) Write(line []byte) (int, error) {
	return b.WriteLevel(zerolog.InfoLevel, line)
}

// WriteLevel queues a line, or counts it as suppressed.
func (b *RateLimitedWriter) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.refill(now)
	if b.admit(level, len(line)) {
		b.enqueue(bytes.Clone(line))
	} else {
		b.suppressed[eventName(line)]++
	}
	if len(b.suppressed) > 0 && now.Sub(b.lastReport) >= reportInterval {
		b.reportSuppressed(now)
	}
	return len(line), nil
}

func (b *RateLimitedWriter) enqueue(line []byte) {
	b.queue = append(b.queue, line)
	b.notEmpty.Signal()
}

// refill adds to the budgets what the rates allow for the time since the last
// refill.
func (b *RateLimitedWriter) refill(now time.Time) {
	seconds := max(0, now.Sub(b.lastRefill).Seconds())
	b.lastRefill = now
	b.lineBudget = min(b.limits.LinesPerSecond, b.lineBudget+seconds*b.limits.LinesPerSecond)
	b.byteBudget = min(b.limits.BytesPerSecond, b.byteBudget+seconds*b.limits.BytesPerSecond)
}

// admit reports whether a line may be queued, and deducts it from the budgets if so.
func (b *RateLimitedWriter) admit(level zerolog.Level, size int) bool {
	reserve := 0.0
	if level < zerolog.WarnLevel {
		reserve = warningReserve
	}
	fits := len(b.queue) < int((1-reserve)*maxQueuedLines) &&
		b.lineBudget-1 >= reserve*b.limits.LinesPerSecond &&
		b.byteBudget-float64(size) >= reserve*b.limits.BytesPerSecond
	if fits && !b.closed {
		b.lineBudget--
		b.byteBudget -= float64(size)
	}
	return fits && !b.closed
}

// reportSuppressed queues one line for each event with suppressed lines.
func (b *RateLimitedWriter) reportSuppressed(now time.Time) {
	b.lastReport = now
	var line bytes.Buffer
	logger := zerolog.New(&line).With().Timestamp().Logger()
	for event, count := range b.suppressed {
		logger.Warn().Str("suppressed", event).Uint64("lines", count).Msg("log_lines_suppressed")
		b.enqueue(bytes.Clone(line.Bytes()))
		line.Reset()
	}
	clear(b.suppressed)
}

// eventName returns the event of a JSON line of zerolog.
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

// writeQueued writes queued lines until Close. Lines that cannot be written are
// lost: there is no other place to report them.
func (b *RateLimitedWriter) writeQueued() {
	defer close(b.done)
	for {
		b.mu.Lock()
		for len(b.queue) == 0 && !b.closed {
			b.notEmpty.Wait()
		}
		lines := b.queue
		b.queue = nil
		b.mu.Unlock()
		if len(lines) == 0 {
			return
		}
		for _, line := range lines {
			_, _ = b.out.Write(line)
		}
	}
}

// Close suppresses further lines and writes the queued ones, within flushTimeout.
func (b *RateLimitedWriter) Close() {
	b.mu.Lock()
	b.closed = true
	if len(b.suppressed) > 0 {
		b.reportSuppressed(b.now())
	}
	b.notEmpty.Signal()
	b.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	select {
	case <-b.done:
	case <-ctx.Done():
	}
}
