package lag

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/feed"
	"github.com/oatlatch/oatlatch/internal/gossip"
)

const (
	// datagramLossRate is the part of the messages that are lost while nothing fails.
	datagramLossRate = 0.001
	// datagramHeaderBytes are the bytes of the headers of a datagram.
	datagramHeaderBytes = 28
)

// sendMessage carries a message from one host to another, unless it is lost.
func (s *simulation) sendMessage(from, to *simulatedHost, m feed.Message) {
	if to == nil {
		return
	}
	s.load.message(s.options.MeasureBytes, s.now, from, to, m)
	fault := to.fault(to.serves)
	switch {
	case from.fault(from.serves) == Cut && m.Kind != feed.Answer, fault == Silent, from.fault(from.serves) == Silent, fault == Refusing, fault == Starting,
		(fault == Lossy || from.fault(from.serves) == Lossy) && s.random.Float64() < lossRate, s.random.Float64() < datagramLossRate:
		return
	}
	latency := (&peerSource{from: from, to: to}).latency()
	if fault == Slow || from.fault(from.serves) == Slow {
		latency *= slowFactor
	}
	s.at(s.now.Add(latency), func() {
		answer, ok := to.feed.Receive(from.name, m)
		to.notify()
		if ok {
			s.sendMessage(to, from, answer)
		}
	})
}

// message counts a message.
func (l *load) message(measureBytes bool, now time.Time, from, to *simulatedHost, m feed.Message) {
	if !l.counting(now) {
		return
	}
	l.messages++
	if !measureBytes {
		return
	}
	n := int64(gossip.Size(from.name, m) + datagramHeaderBytes)
	l.bytes += n
	l.partners += n
	if from.dataCentre != to.dataCentre {
		l.remoteBytes += n
	}
}
