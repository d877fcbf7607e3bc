package echo

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

const (
	// sweepInterval is the time between removals of expired flow records.
	sweepInterval = time.Second
	// openingTTL is how long the record of a flow that has sent only SYNs is kept after
	// the last one. Callers give up 1.4 s after the first SYN.
	openingTTL = 2 * time.Second
	// closedTTL is how long the record of a closed flow is kept for retransmissions.
	closedTTL = 3 * time.Second
	// defaultIdleTimeout applies if the configuration has no idle timeout.
	defaultIdleTimeout = 15 * time.Second
	// defaultRequestTimeout applies if the route has no request timeout.
	defaultRequestTimeout = 5 * time.Second
	// warmupSlotFraction is the fraction of an upstream's slots that counts while the
	// upstream warms up, because a process that has just started is slower.
	warmupSlotFraction = 0.6
)

// route is a configured route with the engine's state for it.
type route struct {
	catalog.Route
	// typical tells which answers of the route are usual.
	typical *typicalAnswer
	// outstanding holds the flows with an outstanding request that is not overdue yet.
	outstanding *requestList
	// sheddable is set if new flows may be refused under overload in favour of
	// routes with a higher priority.
	sheddable bool
	restriction
}

// Engine decides what to do with each packet of a caller. It is safe for
// concurrent use.
type Engine struct {
	options Options

	mu     sync.Mutex
	random *rand.Rand
	// version is the version of the applied configuration, or zero if there is none yet.
	version     uint64
	idleTimeout time.Duration
	// evaluatedAt is when the evidence against upstreams was last evaluated.
	evaluatedAt time.Time
	// viewSetAt is when the current view was set.
	viewSetAt time.Time
	// queuedPools are the pools with waiting flows; waiting is the number of these flows.
	queuedPools []*pool
	waiting     atomic.Int64
	// idleResets are the idle flows to be reset; pendingResets is their number.
	idleResets    []idleReset
	pendingResets atomic.Int64
	// partial is set while the current view may lack routes and upstreams.
	partial bool
	routes  map[netip.AddrPort]*route
	// former holds the former services of routes. It may lack some until
	// historyCompleteAt.
	former            *catalog.FormerServices
	historyCompleteAt time.Time
	// healthPaths are the paths of health checks by service.
	healthPaths map[string]string
	// warmups are the configured warm-ups by service.
	warmups          map[string]catalog.Warmup
	upstreams        map[catalog.UpstreamID]*upstream
	upstreamsByToken map[Token]*upstream
	pools            map[string]*pool
	// candidates is a buffer that chooseFromPool reuses.
	candidates []*upstream
	records    map[flowKey]*flowRecord
	// recordLimit selects the records to evict when there are Options.MaxFlows.
	recordLimit recordLimit
	lastSweep   time.Time
	// overdueCheckedAt is when the outstanding requests were last checked.
	overdueCheckedAt time.Time
	// dataCentres holds the data centres of the upstreams by name.
	dataCentres map[string]*dataCentreHealth
	// silentUntil is the latest end of the silence of a data centre.
	silentUntil time.Time
	// evacuations holds the evacuated data centres by name.
	evacuations map[string]evacuation
	// regions holds the bits of regions by name, and dataCentreRegions those of the data
	// centres' regions.
	regions, dataCentreRegions map[string]regionSet
	// recentOrigin is the time of a request that counts 1 in recentRequests.
	recentOrigin time.Time
	// suspectedCount is the number of suspected upstreams.
	suspectedCount int
	// muteCount is the number of mute upstreams.
	muteCount int
	// hosts is the number of known entry hosts.
	hosts int
	// lastAnswer is when any upstream last answered a flow of this host, and lastResponse when
	// one last answered a request.
	lastAnswer, lastResponse time.Time
	// lastPacket is when the last packet arrived.
	lastPacket time.Time
	// ignoreRetransmissionsUntil is the end of pauseGrace after the last pause.
	ignoreRetransmissionsUntil time.Time
	// displaced are the flows that have given way to others and must be refused;
	// pendingRefusals is their number. sharingPools are the pools whose queues keep shares.
	displaced       []displacedFlow
	pendingRefusals atomic.Int64
	sharingPools    []*pool
}

// New returns an engine. It holds all packets until SetView has been called with a
// configuration.
func New(options Options) *Engine {
	if options.MaxFlows == 0 {
		options.MaxFlows = DefaultMaxFlows
	}
	return &Engine{
		options:          options,
		random:           rand.New(rand.NewPCG(options.Seed, options.Seed)),
		idleTimeout:      defaultIdleTimeout,
		routes:           make(map[netip.AddrPort]*route),
		upstreams:        make(map[catalog.UpstreamID]*upstream),
		upstreamsByToken: make(map[Token]*upstream),
		pools:            make(map[string]*pool),
		records:          make(map[flowKey]*flowRecord),
		dataCentres:      make(map[string]*dataCentreHealth),
	}
}

// Decide decides what to do with one packet of a caller.
func (e *Engine) Decide(now time.Time, s *Segment) Decision {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.version == 0 {
		return Decision{Verdict: Hold, Reason: NoConfiguration}
	}
	e.detectPause(now)
	if e.sweepDue(now) {
		e.sweep(now)
	}
	if now.Sub(e.overdueCheckedAt) >= overdueCheckInterval {
		e.checkOverdue(now)
	}
	r := e.routes[s.VirtualAddress]
	switch {
	case r == nil:
		return e.withDetail(now, e.decideUnrouted(now, s), nil, nil, nil)
	case s.SYN && !s.ACK:
		return e.decideSYN(now, r, s)
	default:
		return e.decideEstablished(now, r, s)
	}
}

// decideUnrouted decides what to do with a packet to an address without a route. A
// packet other than a SYN is answered with a RST only if the route is known to have
// been removed, because a host whose configuration is out of date must not reset
// flows of a new route.
func (e *Engine) decideUnrouted(now time.Time, s *Segment) Decision {
	if s.RST {
		return Decision{Verdict: Drop, Reason: NoRoute}
	}
	if e.partial {
		return Decision{Verdict: Hold, Reason: NoRoute}
	}
	if e.former.HasRoute(s.VirtualAddress) {
		return Decision{Verdict: Reset, Reason: RouteRemoved}
	}
	if s.SYN {
		return Decision{Verdict: Reset, Reason: NoRoute}
	}
	return Decision{Verdict: e.dropOrHold(now), Reason: NoRoute}
}

// poolOf returns the pool of the upstream's service, or nil.
func (e *Engine) poolOf(u *upstream) *pool {
	if u == nil {
		return nil
	}
	return e.pools[u.Service]
}

// forwardTo returns the decision to forward a packet to the upstream.
func forwardTo(u *upstream, reason Reason) Decision {
	return Decision{Verdict: Forward, Reason: reason, Upstream: u.ID, Address: u.Address, Token: u.token}
}

// sweep removes expired records, reports flows and requests that had no answer, and resets
// idle flows of upstreams that have failed.
func (e *Engine) sweep(now time.Time) {
	e.lastSweep = now
	e.expireReports(now)
	e.reportReturned(now)
	e.forgetShares(now)
	e.reportRecordLimit(now)
	e.recordLimit.forget(now)
	for key, rec := range e.records {
		idle := now.Sub(rec.lastSeen)
		switch {
		case rec.state == stateOpening && idle > openingTTL:
			e.reportUnanswered(now, Unopened, key, rec)
			e.removeRecord(key, rec)
		case rec.state == stateClosed && idle > closedTTL, idle > e.idleTimeout:
			e.removeRecord(key, rec)
		case e.resetIdleFlow(now, key, rec), e.resetAtMute(now, key, rec):
		case rec.awaitingResponse && now.Sub(rec.requestedAt) > rec.responseTimeout():
			if rec.sentRequest {
				e.reportUnanswered(now, Unanswered, key, rec)
				e.countOverdue(now, e.routes[key.address], rec)
			}
			rec.endRequest()
		case rec.awaitingResponse && rec.sentRequest:
			e.countOverdue(now, e.routes[key.address], rec)
		}
	}
}

func (e *Engine) removeRecord(key flowKey, rec *flowRecord) {
	rec.release()
	delete(e.records, key)
	if e.recordLimit.counts.active() {
		e.recordLimit.counts.remove(key.caller.Addr())
	}
}

// storeRecord stores a record in place of the flow's old one, if any. The caller has made
// room for it.
func (e *Engine) storeRecord(key flowKey, rec *flowRecord) {
	if old, ok := e.records[key]; ok {
		old.release()
	} else if e.recordLimit.counts.active() {
		e.recordLimit.counts.add(key.caller.Addr())
	}
	e.records[key] = rec
}
