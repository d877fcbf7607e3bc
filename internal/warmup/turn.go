package warmup

import (
	"time"

	"github.com/dchest/siphash"
)

const (
	// maxTurn is the last turn in which hosts try to get shares. In turn 0 one host tries
	// for each share, in the next another one.
	maxTurn = 1
	// turnDelay is the time between two turns. It leaves time for the two calls of the
	// host whose turn it is.
	turnDelay = time.Second
)

// rankOf returns the rank of the host among the hosts by rendezvous hash for the process:
// all hosts that know the same hosts agree on it. The host itself need not be in hosts.
func rankOf(p Process, self string, hosts []string) int {
	key := siphash.Hash(0, 0, []byte(p.String()))
	score := func(host string) uint64 { return siphash.Hash(key, 0, []byte(host)) }
	own := score(self)
	rank := 0
	for _, other := range hosts {
		if s := score(other); other != self && (s > own || s == own && other < self) {
			rank++
		}
	}
	return rank
}

// turns returns the turn in which a host of the given rank among count hosts tries to get
// each share, or -1 if it never does. With fewer hosts than shares, a host tries to get
// several in the same turn.
func turns(rank, count int) [SharesPerProcess]int {
	var result [SharesPerProcess]int
	for i := range result {
		result[i] = -1
	}
	for position := rank; position/SharesPerProcess <= maxTurn; position += count {
		if share := position % SharesPerProcess; result[share] < 0 {
			result[share] = position / SharesPerProcess
		}
	}
	return result
}
