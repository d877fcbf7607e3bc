// Package evidence combines what the entry hosts have seen of upstreams that look failed.
// A host alone sees a large pool's upstream too rarely to judge it; together they see it
// many times as often. Hosts form a tree: each sends its parent the sums of its own
// evidence and that of its children, and receives the sums of all hosts.
package evidence

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

// NoAnswer is the AnswerAge of an upstream that no host has had an answer from lately.
const NoAnswer = time.Hour

// Entry is what one or several hosts have lately seen of an upstream. Ages count from the
// time of the report that holds the entry.
type Entry struct {
	Upstream catalog.UpstreamID
	// Started is when the upstream's process started that the entry is about, in Unix
	// milliseconds; zero if unknown, as in reports of earlier builds.
	Started int64
	// Answers and Failed are the numbers of answers, and of those that looked failed or
	// were overdue. Older ones count less.
	Answers, Failed float32
	// FailingHosts is the number of hosts with failed answers.
	FailingHosts int
	// Strikes is the number of flows that had no answer, while no other flow had one since
	// their first packet was sent. SilentHosts is the number of hosts with such flows.
	Strikes, SilentHosts int
	// StrikeAge is the age of that packet.
	StrikeAge time.Duration
	// AnswerAge is the age of the last answer, or NoAnswer.
	AnswerAge time.Duration
	// Late is the number of requests that are late, while no other request has been answered
	// since the first of them was sent. LateHosts is the number of hosts with such requests, and
	// LateAge and LastLateAge the ages of the first and of the last such request.
	Late, LateHosts      int
	LateAge, LastLateAge time.Duration
	// ResponseAge is the age of the last answer to a request; zero if none is known, as in
	// reports of earlier builds.
	ResponseAge time.Duration
}

// combine returns the entry for the hosts of all entries together, which are of one
// upstream. Entries about a former process of the upstream do not count. Strikes and late
// requests of a side are void if any other one has had an answer since, so the last answer of
// all is found before they are counted: the order does not matter.
func combine(entries []Entry) Entry {
	sum := Entry{Upstream: entries[0].Upstream, AnswerAge: NoAnswer}
	for _, e := range entries {
		sum.Started = max(sum.Started, e.Started)
	}
	for _, e := range entries {
		if !e.About(sum.Started) {
			continue
		}
		sum.Answers += e.Answers
		sum.Failed += e.Failed
		sum.FailingHosts += e.FailingHosts
		sum.AnswerAge = min(sum.AnswerAge, e.AnswerAge)
		if e.ResponseAge > 0 && (sum.ResponseAge == 0 || e.ResponseAge < sum.ResponseAge) {
			sum.ResponseAge = e.ResponseAge
		}
	}
	for _, e := range entries {
		if !e.About(sum.Started) {
			continue
		}
		if e.Strikes > 0 && e.StrikeAge < sum.AnswerAge {
			sum.Strikes += e.Strikes
			sum.SilentHosts += e.SilentHosts
			sum.StrikeAge = max(sum.StrikeAge, e.StrikeAge)
		}
		if e.Late > 0 && (sum.ResponseAge == 0 || e.LateAge < sum.ResponseAge) {
			if sum.Late == 0 || e.LastLateAge < sum.LastLateAge {
				sum.LastLateAge = e.LastLateAge
			}
			sum.Late += e.Late
			sum.LateHosts += e.LateHosts
			sum.LateAge = max(sum.LateAge, e.LateAge)
		}
	}
	return sum
}

// About reports whether the entry may be about the upstream's process that started at the time,
// in Unix milliseconds; zero if that is unknown.
func (e *Entry) About(started int64) bool {
	return e.Started == started || e.Started == 0 || started == 0
}

// questions reports whether the entry gives a reason to ask other hosts about the upstream.
func (e *Entry) questions() bool { return e.Strikes > 0 || e.Late > 0 || e.Failed >= minFailed }

// minFailed is the number of failed answers from which on an upstream is in question. Less
// is left of a single one after one decay time.
const minFailed = 0.5
