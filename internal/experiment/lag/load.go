package lag

import (
	"bytes"
	"encoding/gob"
	"time"

	"github.com/oatlatch/oatlatch/internal/feed"
)

// load counts calls from the end of the warm-up on.
type load struct {
	from time.Time
	// calls are the calls between hosts, storeCalls those to the store.
	calls, remoteCalls, storeCalls int
	bytes, remoteBytes, partners   int64
	// progress encodes answers of partners to measure their size, as a connection that is
	// open does: the types are sent only once.
	progress progressSize
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

// progressSize measures the size of what partners tell each other.
type progressSize struct {
	buffer  bytes.Buffer
	encoder *gob.Encoder
}

// of returns the size of a message in bytes.
func (p *progressSize) of(known feed.PeerProgress) int64 {
	if p.encoder == nil {
		p.encoder = gob.NewEncoder(&p.buffer)
		_ = p.encoder.Encode(feed.PeerProgress{}) // describes the types; a buffer takes all
	}
	p.buffer.Reset()
	_ = p.encoder.Encode(known) // a buffer takes all
	return int64(p.buffer.Len())
}
