package lag

import (
	"time"
)

// load counts calls from the end of the warm-up on.
type load struct {
	from time.Time
	// calls are the calls between hosts, storeCalls those to the store.
	calls, remoteCalls, storeCalls int
	// messages are those between hosts.
	messages                     int
	bytes, remoteBytes, partners int64
	// storePeak is the largest number of calls to the store in a second, and servedPeak that
	// of calls to one host.
	storePeak, servedPeak int
	second                time.Time
	storeSecond           int
	servedSecond          map[*simulatedHost]int
}

// counting reports whether calls at the time count.
func (l *load) counting(now time.Time) bool { return !now.Before(l.from) }

// advance starts a new second if the current one is over.
func (l *load) advance(now time.Time) {
	if now.Sub(l.second) >= time.Second {
		l.second, l.storeSecond = now, 0
		clear(l.servedSecond)
	}
}

func (l *load) storeCall(now time.Time) {
	if !l.counting(now) {
		return
	}
	l.advance(now)
	l.storeCalls++
	l.storeSecond++
	l.storePeak = max(l.storePeak, l.storeSecond)
}

func (l *load) call(now time.Time, from, to *simulatedHost) {
	if !l.counting(now) {
		return
	}
	l.advance(now)
	l.calls++
	if from.dataCentre != to.dataCentre {
		l.remoteCalls++
	}
	l.servedSecond[to]++
	l.servedPeak = max(l.servedPeak, l.servedSecond[to])
}
