package echo

import (
	"cmp"
	"slices"
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/evidence"
)

const (
	// minFailedAnswers is the number of failed answers, by all hosts, that eject an
	// upstream. fewFailedAnswers is enough if nearly all of its answers failed.
	minFailedAnswers = 3.5
	fewFailedAnswers = 2.2
	// minFailedFraction is the fraction of failed answers that ejects an upstream, and
	// nearlyAllFailed the one at which fewFailedAnswers are enough.
	minFailedFraction = 0.25
	nearlyAllFailed   = 0.8
	// minFailingHosts is the number of hosts that must have seen failed answers, unless
	// this host alone has seen enough.
	minFailingHosts = 2
	// maxEjectedFraction is the largest fraction of a pool that may be ejected at a time.
	maxEjectedFraction = 1.0 / 3
	// poolFailedFraction is the fraction of failed answers among the other upstreams of a
	// pool above which the answers of the whole pool have changed, and none is ejected.
	// The same holds if more than half of its upstreams look failed.
	poolFailedFraction = 0.1
	// initialEjection is how long an upstream is ejected for the first time. The time
	// doubles with each further ejection, up to maxEjection, until the upstream has not
	// been ejected for ejectionMemory. All three are those of a service with the usual
	// answer times, and longer for a slow one.
	initialEjection = 2 * time.Second
	maxEjection     = 16 * time.Second
	ejectionMemory  = 20 * time.Second
	// rampTime is the time after an ejection in which the upstream's share of new flows
	// grows from minRampShare to all. It scales as initialEjection does.
	rampTime     = 3 * time.Second
	minRampShare = 0.1
	// ejectionInterval is the minimum time between two evaluations of the evidence.
	ejectionInterval = 100 * time.Millisecond
	// minSilentHosts and minStrikes are the numbers of hosts and of unanswered flows that
	// make a host suspect an upstream by the reports of others.
	minSilentHosts = 2
	minStrikes     = 2
)

// ejection is the state of an upstream whose answers look failed. New flows avoid it.
type ejection struct {
	// until is the end of the ejection, after which the share of new flows grows again;
	// zero if the upstream never was ejected.
	until time.Time
	// length is the length of the last ejection.
	length time.Duration
	// ramp is the time after until in which the share grows.
	ramp time.Duration
	// answers and failed are the numbers of answers and of failed ones that led to it, and
	// hosts is the number of hosts that had failed ones.
	answers, failed float32
	hosts           int
	// returning is set until the upstream gets its full share of new flows again.
	returning bool
}

// share returns the share of its new flows that the upstream gets.
func (j *ejection) share(now time.Time) float64 {
	switch after := now.Sub(j.until); {
	case j.until.IsZero() || after >= j.ramp:
		return 1
	case after < 0:
		return 0
	default:
		return max(minRampShare, float64(after)/float64(j.ramp))
	}
}

// takesFlow reports whether a new flow may go to the upstream as far as its ejection is
// concerned. While its share grows, the answer is random, and only flows whose requests
// may be repeated try it.
func (e *Engine) takesFlow(now time.Time, r *route, u *upstream) bool {
	share := u.ejection.share(now)
	return share == 1 || share > 0 && r.Repeatable && e.random.Float64() < share
}

// Evidence returns what this host has seen of the upstreams that look failed to it, and of
// those in question.
func (e *Engine) Evidence(now time.Time, inQuestion map[catalog.UpstreamID]struct{}) []evidence.Entry {
	e.mu.Lock()
	defer e.mu.Unlock()
	var entries []evidence.Entry
	for id, u := range e.upstreams {
		// The number of failed answers never rises as it decays, so most upstreams are passed
		// over before that. It has to be cheap, because packets wait for the engine's lock.
		_, asked := inQuestion[id]
		if asked {
			u.askedAt = now
		}
		// An answer is reported for as long as older reports of other hosts may count.
		asked = asked || now.Sub(u.askedAt) < evidence.ReportTTL || u.unansweredFlows > 0 || u.muteness.late > 0
		if !asked && u.counts.failed < minReportedFailed {
			continue
		}
		u.counts.decay(now)
		if !asked && u.counts.failed < minReportedFailed {
			continue
		}
		entry := evidence.Entry{Upstream: id, Started: u.startedMillis(), Answers: u.counts.answers, Failed: u.counts.failed, AnswerAge: evidence.NoAnswer}
		if u.counts.failed >= minReportedFailed {
			entry.FailingHosts = 1
		}
		if !u.lastAnswer.IsZero() {
			entry.AnswerAge = min(evidence.NoAnswer, now.Sub(u.lastAnswer))
		}
		if u.unansweredFlows > 0 && u.strikeSent.After(u.lastAnswer) {
			entry.Strikes, entry.SilentHosts, entry.StrikeAge = u.unansweredFlows, 1, now.Sub(u.strikeSent)
		}
		if !u.answeredAt.IsZero() {
			entry.ResponseAge = min(evidence.NoAnswer, max(1, now.Sub(u.answeredAt)))
		}
		if u.muteness.late > 0 {
			entry.Late, entry.LateHosts = u.muteness.late, 1
			entry.LateAge, entry.LastLateAge = now.Sub(u.muteness.sent), now.Sub(u.muteness.lastSent)
		}
		entries = append(entries, entry)
	}
	return entries
}

const (
	// minReportedFailed is the number of failed answers from which on a host reports them.
	minReportedFailed = 0.5
	// minCountedFailed is the number from which on they add to the cost of an upstream.
	// Less is left of a single one after five seconds.
	minCountedFailed = 0.1
)

// SetEvidence replaces the evidence of all hosts, and decides which upstreams to suspect
// and which to eject.
func (e *Engine) SetEvidence(now time.Time, entries []evidence.Entry) {
	if e.options.Without.Has(SharedEvidence) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range entries {
		entry := &entries[i]
		u := e.upstreams[entry.Upstream]
		if u == nil || !entry.About(u.startedMillis()) {
			continue
		}
		u.reported, u.reportedAt = *entry, now
		e.judgeReported(now, u)
		e.judgeReportedMute(now, u)
	}
	e.evaluatePools(now)
}

// judgeReported suspects the upstream, or ends a suspicion that rests on reports alone.
func (e *Engine) judgeReported(now time.Time, u *upstream) {
	silent := u.reported.SilentHosts >= minSilentHosts && u.reported.Strikes >= minStrikes
	lastAnswer := now.Add(-u.reported.AnswerAge)
	switch {
	case silent && !u.suspected() && u.active():
		e.suspect(now, u, Reported)
	case !silent && u.byReports:
		e.clearSuspicion(now, u, Answered)
	case !u.suspected() && u.unansweredFlows > 0 && lastAnswer.After(u.strikeSent):
		// Another host has had an answer since, so only this host's packet was lost.
		u.unansweredFlows = 0
		u.strikeSeries++
	}
}

// expireReports ends suspicions that rest on reports which were not renewed.
func (e *Engine) expireReports(now time.Time) {
	for _, u := range e.upstreams {
		if u.byReports && now.Sub(u.reportedAt) >= evidence.ReportTTL {
			e.clearSuspicion(now, u, Expired)
		}
	}
}

// reportReturned reports the upstreams that get their full share of new flows again.
func (e *Engine) reportReturned(now time.Time) {
	for _, u := range e.upstreams {
		if u.ejection.returning && u.ejection.share(now) == 1 {
			u.ejection.returning = false
			e.report(Event{Kind: Returned, Upstream: u.Name, DataCentre: u.DataCentre, Age: now.Sub(u.ejection.until) + u.ejection.length})
		}
	}
}

// countAnswer adds an answer of the upstream, or a request that is overdue, to the evidence
// with the weight.
func (e *Engine) countAnswer(now time.Time, u *upstream, failed bool, weight float32) {
	u.counts.observe(now, failed, weight)
	if failed {
		e.evaluatePools(now)
		e.noteEvidence()
	}
}

// noteEvidence tells that there is new evidence for other hosts.
func (e *Engine) noteEvidence() {
	if e.options.OnEvidence != nil {
		e.options.OnEvidence()
	}
}

// evaluatePools ejects the upstreams whose answers look failed. It does nothing if the
// last call was a moment ago.
func (e *Engine) evaluatePools(now time.Time) {
	if now.Sub(e.evaluatedAt) < ejectionInterval {
		return
	}
	e.evaluatedAt = now
	if e.options.Without.Has(Ejection) {
		return
	}
	for _, p := range e.pools {
		e.evaluatePool(now, p)
	}
}

// evaluatePool ejects the upstreams of the pool whose answers look failed, the worst first.
func (e *Engine) evaluatePool(now time.Time, p *pool) {
	var failing []*upstream
	ejected, available := 0, 0
	var others answerCounts
	for _, u := range p.upstreams {
		u.counts.decay(now)
		if !u.acceptsFlows() {
			// Ejecting it keeps nothing from it, and would use up what may be ejected.
			continue
		}
		available++
		switch {
		case now.Before(u.ejection.until):
			ejected++
		case e.looksFailed(now, u):
			failing = append(failing, u)
		default:
			others.answers += u.counts.answers
			others.failed += u.counts.failed
		}
	}
	if len(failing) == 0 || 2*len(failing) > available || others.failed > poolFailedFraction*others.answers {
		return
	}
	slices.SortFunc(failing, func(a, b *upstream) int { return cmp.Compare(b.counts.failed, a.counts.failed) })
	for _, u := range failing {
		if float64(ejected+1) > maxEjectedFraction*float64(available) {
			return
		}
		ejected++
		e.eject(now, u)
	}
}

// combined returns the numbers of the upstream's answers to all hosts, as far as they are
// known, and the number of hosts that have seen failed ones.
func (u *upstream) combined(now time.Time) (answers, failed float32, failingHosts int) {
	own := u.counts
	if own.failed >= minReportedFailed {
		failingHosts = 1
	}
	if now.Sub(u.reportedAt) >= evidence.ReportTTL {
		return own.answers, own.failed, failingHosts
	}
	weight := evidence.Decay(now.Sub(u.reportedAt))
	// The reports contain this host's own numbers of a moment ago.
	return max(own.answers, u.reported.Answers*weight), max(own.failed, u.reported.Failed*weight), max(failingHosts, u.reported.FailingHosts)
}

// looksFailed reports whether the evidence ejects the upstream.
func (e *Engine) looksFailed(now time.Time, u *upstream) bool {
	answers, failed, hosts := u.combined(now)
	if hosts < minFailingHosts && u.counts.failed < minFailedAnswers {
		return false
	}
	fraction := failed / max(answers, failed)
	return failed >= minFailedAnswers && fraction >= minFailedFraction || failed >= fewFailedAnswers && fraction >= nearlyAllFailed
}

// eject keeps new flows from the upstream for a time.
func (e *Engine) eject(now time.Time, u *upstream) {
	scale := e.poolOf(u).timeScale()
	if now.Sub(u.ejection.until) > scaleTime(ejectionMemory, scale) {
		u.ejection.length = 0
	}
	u.ejection.length = min(scaleTime(maxEjection, scale), max(scaleTime(initialEjection, scale), 2*u.ejection.length))
	u.ejection.ramp = scaleTime(rampTime, scale)
	u.ejection.until, u.ejection.returning = now.Add(u.ejection.length), true
	answers, failed, hosts := u.combined(now)
	u.ejection.answers, u.ejection.failed, u.ejection.hosts = answers, failed, hosts
	e.report(Event{
		Kind: Ejected, Upstream: u.Name, DataCentre: u.DataCentre, Reason: FailedAnswers, Age: u.ejection.length,
		Answers: float64(answers), FailedAnswers: float64(failed), Hosts: hosts, ProcessAge: now.Sub(u.seen.since),
	})
}
