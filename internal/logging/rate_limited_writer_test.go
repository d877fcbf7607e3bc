package logging_test

import (
	"bytes"
	"io"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/internal/logging"
)

// fakeClock is a clock that a test advances.
type fakeClock struct {
	mu  sync.Mutex
	now time.Time
}

func newFakeClock() *fakeClock { return &fakeClock{now: time.Unix(1_000_000, 0)} }

func (c *fakeClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *fakeClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// newRateLimitedWriter returns a RateLimitedWriter with the given line rate limit, a
// logger that writes to it, and its clock.
func newRateLimitedWriter(t *testing.T, w io.Writer, linesPerSecond float64) (*logging.RateLimitedWriter, zerolog.Logger, *fakeClock) {
	t.Helper()
	c := newFakeClock()
	limited := logging.NewRateLimitedWriter(w, logging.Limits{LinesPerSecond: linesPerSecond, BytesPerSecond: 1 << 20}, c.Now)
	logger, err := logging.NewRateLimited(limited, "info")
	if err != nil {
		t.Fatal(err)
	}
	return limited, logger, c
}

func countOccurrences(text, substring string) int { return strings.Count(text, substring) }

func TestWarningsTakePrecedence(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	limited, logger, _ := newRateLimitedWriter(t, &out, 100)
	for range 500 {
		logger.Info().Msg("flow_opened")
	}
	for range 30 {
		logger.Warn().Msg("flow_reset")
	}
	limited.Close()
	g.Expect(countOccurrences(out.String(), "event=flow_opened")).To(Equal(70))
	g.Expect(countOccurrences(out.String(), "event=flow_reset")).To(Equal(30))
	g.Expect(out.String()).To(ContainSubstring("event=log_lines_suppressed lines=430 suppressed=flow_opened"))
}

func TestLineRateLimit(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	limited, logger, c := newRateLimitedWriter(t, &out, 10)
	for range 60 {
		for range 100 {
			logger.Warn().Msg("flow_reset")
		}
		c.advance(time.Second)
	}
	limited.Close()
	g.Expect(countOccurrences(out.String(), "event=flow_reset")).To(Equal(600))
	g.Expect(countOccurrences(out.String(), "event=log_lines_suppressed")).To(BeNumerically("~", 12, 1), "suppressed lines are reported every five seconds")
}

func TestByteRateLimit(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	c := newFakeClock()
	limited := logging.NewRateLimitedWriter(&out, logging.Limits{LinesPerSecond: 1000, BytesPerSecond: 10_000}, c.Now)
	logger, err := logging.NewRateLimited(limited, "info")
	g.Expect(err).NotTo(HaveOccurred())
	for range 100 {
		logger.Warn().Str("text", strings.Repeat("x", 1000)).Msg("long")
	}
	limited.Close()
	g.Expect(countOccurrences(out.String(), "event=long")).To(BeNumerically("<=", 10))
}

// TestFullPipeDoesNotBlock guards against a logger that blocks the process when it
// writes to a pipe that nobody reads.
func TestFullPipeDoesNotBlock(t *testing.T) {
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	limited, logger, _ := newRateLimitedWriter(t, writer, 1e6)
	for range 20_000 {
		logger.Info().Str("text", strings.Repeat("x", 100)).Msg("flow_opened")
	}
	closed := make(chan struct{})
	go func() { limited.Close(); close(closed) }()
	<-closed // Close returns after its timeout, although nobody reads
	// Closing the pipe ends the writing goroutine.
	_ = reader.Close()
	_ = writer.Close()
}

func TestClosedReaderDoesNotBlock(t *testing.T) {
	reader, writer := io.Pipe()
	_ = reader.Close()
	limited, logger, _ := newRateLimitedWriter(t, writer, 1e6)
	for range 5000 {
		logger.Info().Msg("flow_opened")
	}
	limited.Close()
}

// TestFullQueueKeepsWarnings fills the queue before it reads any line, and expects all
// warnings and fewer lines of level info than were logged.
func TestFullQueueKeepsWarnings(t *testing.T) {
	g := NewWithT(t)
	reader, writer := io.Pipe()
	limited, logger, _ := newRateLimitedWriter(t, writer, 1e6)
	for range 5000 {
		logger.Info().Msg("flow_opened")
	}
	for range 100 {
		logger.Warn().Msg("flow_reset")
	}
	read := make(chan string)
	go func() {
		text, _ := io.ReadAll(reader) // an io.Pipe closed by Close returns no error but io.EOF
		read <- string(text)
	}()
	limited.Close()
	_ = writer.Close()
	text := <-read
	g.Expect(countOccurrences(text, "event=flow_reset")).To(Equal(100))
	g.Expect(countOccurrences(text, "event=flow_opened")).To(BeNumerically("<", 2000))
}
