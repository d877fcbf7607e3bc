package experiment

import (
	"fmt"
	"time"
)

// Options say what to play.
type Options struct {
	Seed uint64
	// Sites is the number of data centres.
	Sites int
	// HostsPerSite and UpstreamsPerSite are the sizes of each.
	HostsPerSite, UpstreamsPerSite int
	// Slots is the number of requests that an upstream runs at once.
	Slots int
	// Load is the part of all slots that callers keep busy on average.
	Load float64
	// ShareEvery is the time between two exchanges of estimates among the hosts of
	// a site, under echo.SharedEstimates.
	ShareEvery time.Duration
	// Length is how long callers send requests.
	Length time.Duration
}

// Defaults returns the size of a small deployment.
func Defaults() Options {
	return Options{
		Seed: 1, Sites: 3, HostsPerSite: 1, UpstreamsPerSite: 5, Slots: 3, Load: 0.55, Length: 30 * time.Second,
		ShareEvery: 100 * time.Millisecond,
	}
}

// Check reports a size that cannot be played.
func (o *Options) Check() error {
	switch {
	case o.Sites < 1 || o.Sites > maxSites || o.HostsPerSite < 1 || o.HostsPerSite > maxPerSite || o.UpstreamsPerSite < 1 || o.UpstreamsPerSite > maxPerSite:
		return fmt.Errorf("%d data centres with %d hosts and %d upstreams each: write 1 to %d data centres, 1 to %d of the others",
			o.Sites, o.HostsPerSite, o.UpstreamsPerSite, maxSites, maxPerSite)
	case !(o.Load > 0 && o.Load <= maxLoad):
		return fmt.Errorf("load %g: write a number above 0 and at most %d", o.Load, maxLoad)
	case o.ShareEvery < minShare:
		return fmt.Errorf("estimates shared every %s: write %s at least", o.ShareEvery, minShare)
	case o.Length < minLength:
		return fmt.Errorf("length %s: write %s at least, patterns end late", o.Length, minLength)
	}
	return nil
}

// Sizes that a run may have. Larger ones take minutes.
const (
	maxSites   = 7
	maxPerSite = 500
	maxLoad    = 3
	minLength  = 25 * time.Second
	minShare   = time.Millisecond
)

// Habits of callers and upstreams.
const (
	// workMean is the mean time of a request at an upstream.
	workMean = 60 * time.Millisecond
	// workSpread is the standard deviation of the logarithm of work times.
	workSpread = 0.5
	// objective is the latency that callers expect, deadline how long they wait.
	objective = 250 * time.Millisecond
	deadline  = 1500 * time.Millisecond
	// think is the mean time between the requests of a long flow.
	think = 900 * time.Millisecond
	// longShare is the part of the requests that come over long flows.
	longShare = 0.7
	// retries is how often a caller tries again.
	retries = 2
	// queueLimit is the number of requests that wait at an upstream; it rejects others.
	queueLimit = 12
	// coldFactor is how much slower an upstream is for coldFor after its start.
	coldFactor = 1.6
	coldFor    = 2 * time.Second
)

// Delays of the network, one way.
const (
	callerDelay = 3 * time.Millisecond
	siteDelay   = 200 * time.Microsecond
	crossDelay  = 1400 * time.Microsecond
)

// Habits of the transport.
const (
	firstRepeat  = 200 * time.Millisecond
	secondRepeat = 600 * time.Millisecond
	openTimeout  = 1400 * time.Millisecond
	maxRepeat    = 1600 * time.Millisecond
)
