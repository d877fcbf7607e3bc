package evidence

import (
	"math"
	"time"
)

const (
	// DecayTime is the time in which the weight of an answer falls to 1/e.
	DecayTime = 2 * time.Second
	// ReportTTL is how long a report counts without a newer one.
	ReportTTL = 1500 * time.Millisecond
	// maxDepth is the maximum number of levels of hosts in a report. The tree has at most
	// five; the limit ends reports that go round if hosts disagree about the tree.
	maxDepth = 6
	// maxEntries is the maximum number of entries of a report.
	maxEntries = 4096
)

// Report is the evidence of one or several hosts at one time.
type Report struct {
	// Entries has at most one entry for each upstream.
	Entries []Entry
	// Depth is the number of levels of hosts whose evidence the report holds.
	Depth int
	// Sums are the numbers of the same hosts. They have a depth of their own, because most
	// hosts have no evidence.
	Sums Sums
}

// timedReport is a report with the time of its arrival.
type timedReport struct {
	Report
	at time.Time
}

// valid reports whether the report still counts.
func (r *timedReport) valid(now time.Time) bool {
	return !r.at.IsZero() && now.Sub(r.at) < ReportTTL
}

// aged returns the entry as it is the time d after its report.
func (e Entry) aged(d time.Duration) Entry {
	d = max(0, d)
	weight := Decay(d)
	e.Answers, e.Failed = e.Answers*weight, e.Failed*weight
	e.StrikeAge += d
	e.AnswerAge = min(NoAnswer, e.AnswerAge+d)
	e.LateAge += d
	e.LastLateAge += d
	if e.ResponseAge > 0 {
		e.ResponseAge = min(NoAnswer, e.ResponseAge+d)
	}
	return e
}

// Aged returns the entries as they are the time d after their report.
func Aged(entries []Entry, d time.Duration) []Entry {
	aged := make([]Entry, len(entries))
	for i, e := range entries {
		aged[i] = e.aged(d)
	}
	return aged
}

// Decay returns the weight that is left after the time.
func Decay(d time.Duration) float32 {
	return float32(math.Exp(-float64(d) / float64(DecayTime)))
}

// sane reports whether the numbers of an entry are ones that a host can have counted.
func (e *Entry) sane() bool {
	finite := func(v float32) bool { return v >= 0 && v < math.MaxInt32 }
	return e.Started >= 0 && finite(e.Answers) && finite(e.Failed) && e.Failed <= e.Answers+1 && e.FailingHosts >= 0 && e.Strikes >= 0 && e.SilentHosts >= 0 &&
		e.SilentHosts <= e.Strikes && e.StrikeAge >= 0 && e.AnswerAge >= 0 && e.AnswerAge <= NoAnswer &&
		e.Late >= 0 && e.LateHosts >= 0 && e.LateHosts <= e.Late && e.LateAge >= 0 && e.LastLateAge >= 0 && e.LastLateAge <= e.LateAge && e.ResponseAge >= 0 && e.ResponseAge <= NoAnswer
}
