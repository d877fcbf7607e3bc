package echo

import "time"

const (
	// silenceThreshold is the number of flows that a data centre must leave unanswered, with
	// no answer of any of its upstreams meanwhile, before new flows avoid it. Two lost
	// packets in a row are rare on a link that works.
	silenceThreshold = 2
	// silenceDuration is how long new flows then avoid it without another such flow. One
	// flow that has no answer costs its caller a retransmission.
	silenceDuration = time.Second
	// firstCopyLimit is the age of a packet from which on its copies are not the first one.
	// Callers send copies after 200 and 600 ms. Only first copies count, so that each
	// packet counts once.
	firstCopyLimit = 400 * time.Millisecond
)

// dataCentreSilence tells whether the upstreams of a data centre have stopped to answer all
// at once. That shows long before each of them has left enough flows unanswered to be
// suspected. Unlike a suspicion it needs no answer of another data centre: if this host's own
// link has failed, flows are lost wherever they go.
type dataCentreSilence struct {
	// unanswered is the number of packets without an answer, of the data centre, since
	// its last one.
	unanswered int
	// until is when new flows no longer avoid the data centre.
	until time.Time
}

// recordSilence counts a packet, first sent at the given time, that has been sent again and
// has had no answer.
func (e *Engine) recordSilence(now time.Time, u *upstream, sent time.Time) {
	health := e.dataCentres[u.DataCentre]
	if health == nil || health.lastAnswer.After(sent) || now.Sub(sent) >= firstCopyLimit || e.options.Without.Has(DataCentreSilence) {
		return
	}
	health.silence.unanswered++
	if health.silence.unanswered < silenceThreshold {
		return
	}
	if !now.Before(health.silence.until) {
		e.report(Event{Kind: DataCentreSilent, DataCentre: u.DataCentre, UnansweredFlows: health.silence.unanswered, Age: timeSince(now, health.lastAnswer)})
	}
	health.silence.until = now.Add(silenceDuration)
	e.silentUntil = health.silence.until
}

// silent reports whether new flows avoid the upstream's data centre.
func (e *Engine) silent(now time.Time, u *upstream) bool {
	if !now.Before(e.silentUntil) {
		return false
	}
	health := e.dataCentres[u.DataCentre]
	return health != nil && now.Before(health.silence.until)
}
