package echo

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/oatlatch/oatlatch/internal/evidence"
)

const (
	// minTypicalAnswers is the number of answers of a route from which on its typical
	// answer is known; typicalAnswers is the number after which it is determined anew.
	minTypicalAnswers = 32
	typicalAnswers    = 512
	// typicalQuantile and shortQuantile are the quantiles, in percent, of the typical
	// answer and of a short one that is still usual.
	typicalQuantile = 70
	shortQuantile   = 2
	// shortFraction is the fraction of the size of a short answer, and typicalFraction that
	// of the size of the typical one, below which an answer looks failed. The larger limit
	// applies. An answer that took longer than the typical one never looks failed.
	shortFraction   = 0.7
	typicalFraction = 0.2
	// maxFailedShare is the share of answers that look failed above which they are the
	// usual ones of the route.
	maxFailedShare = 0.5
	// overdueFactor is the multiple of the typical time after which a request without an
	// answer counts like a failed answer, but not before minOverdue.
	overdueFactor = 10
	minOverdue    = 400 * time.Millisecond
	// overdueWeight is the weight of an overdue request among answers. It is below 1 because
	// the answer may have come, and been acknowledged to another host.
	overdueWeight = 0.5
	// histogramDigits is the precision of the histograms in significant digits.
	histogramDigits = 1
	// maxAnswerSize is the largest size in bytes that the histograms tell apart.
	maxAnswerSize = 1 << 20
)

// typicalAnswer tells which answers of a route are usual.
type typicalAnswer struct {
	// times and sizes hold the answers of the current period that do not look failed.
	times, sizes *hdrhistogram.Histogram
	// usual and failed are the numbers of answers of the current period that do not look
	// failed, and that do.
	usual, failed int
	// time is that of the typical answer, and failedSize the size below which an answer
	// looks failed; zero until they are known.
	time       time.Duration
	failedSize int64
}

// observe adds an answer. It reports whether the answer looks failed: shorter than usual
// and not slower. A failure may be as quick as an answer of a quick service.
func (t *typicalAnswer) observe(took time.Duration, size int64) (failed bool) {
	if t.times == nil {
		t.times = hdrhistogram.New(1, maxDuration.Microseconds(), histogramDigits)
		t.sizes = hdrhistogram.New(1, maxAnswerSize, histogramDigits)
	}
	if size < t.failedSize && took <= t.time {
		t.failed++
		if float64(t.failed) > maxFailedShare*typicalAnswers {
			t.startPeriod()
			t.time, t.failedSize = 0, 0
		}
		return true
	}
	// The values are within the histograms' ranges, so RecordValue returns no error.
	_ = t.times.RecordValue(min(max(1, took.Microseconds()), maxDuration.Microseconds()))
	_ = t.sizes.RecordValue(min(max(1, size), maxAnswerSize))
	t.usual++
	if t.time == 0 && t.usual >= minTypicalAnswers || t.usual >= typicalAnswers {
		t.time = time.Duration(t.times.ValueAtQuantile(typicalQuantile)) * time.Microsecond
		short, typical := t.sizes.ValueAtQuantile(shortQuantile), t.sizes.ValueAtQuantile(typicalQuantile)
		t.failedSize = int64(max(shortFraction*float64(short), typicalFraction*float64(typical)))
	}
	if t.usual >= typicalAnswers {
		t.startPeriod()
	}
	return false
}

// startPeriod forgets the answers of the current period.
func (t *typicalAnswer) startPeriod() {
	t.times.Reset()
	t.sizes.Reset()
	t.usual, t.failed = 0, 0
}

// overdueAfter returns the time after which a request counts as overdue, or zero while the
// typical answer is unknown.
func (t *typicalAnswer) overdueAfter() time.Duration {
	if t.time == 0 {
		return 0
	}
	return max(minOverdue, overdueFactor*t.time)
}

// maxDuration is the longest time that the histograms tell apart.
const maxDuration = time.Minute

// answerCounts are the numbers of an upstream's recent answers to this host, and of those
// that looked failed. Older answers count less.
type answerCounts struct {
	answers, failed float32
	// owed is the part of both numbers that stands for overdue requests which are still
	// outstanding. It does not decay.
	owed float32
	// at is the time for which the numbers hold.
	at time.Time
}

// observe adds an answer with the weight.
func (c *answerCounts) observe(now time.Time, failed bool, weight float32) {
	c.decay(now)
	c.answers += weight
	if failed {
		c.failed += weight
	}
}

// owe adds an overdue request.
func (c *answerCounts) owe(now time.Time) {
	c.observe(now, true, overdueWeight)
	c.owed += overdueWeight
}

// settle lets an overdue request that is no longer outstanding decay from now on.
func (c *answerCounts) settle(now time.Time) {
	c.decay(latest(now, c.at))            // a flow ends at its last packet, which may be long ago
	c.owed = max(0, c.owed-overdueWeight) // a new process at the upstream owes nothing
}

// decay reduces the numbers to what they are now.
func (c *answerCounts) decay(now time.Time) {
	if c.answers > 0 {
		weight := evidence.Decay(now.Sub(c.at))
		c.answers, c.failed = c.owed+(c.answers-c.owed)*weight, c.owed+(c.failed-c.owed)*weight
	}
	c.at = now
}
