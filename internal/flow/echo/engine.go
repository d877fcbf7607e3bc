package echo

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

const (
	// sweepInterval is the time between searches for records that have expired.
	sweepInterval = time.Second
	// openingLife is how long an unanswered SYN is remembered: callers give up
	// 1.4 s after the first.
	openingLife = 2 * time.Second
	// closedLife is how long a closed flow is remembered for repeated packets.
	closedLife = 3 * time.Second
	// defaultIdleTimeout applies while the configuration states no idle timeout.
	defaultIdleTimeout = 15 * time.Second
	// defaultTimeout is the deadline of requests whose route states none.
	defaultTimeout = 5 * time.Second
	// warmingSpeed is the speed of an upstream that has just started, as a
	// fraction of its full speed.
	warmingSpeed = 0.6
)

// route is a route with what the engine keeps of it.
type route struct {
	catalog.Route
	// allowed are the services that any adopted version sent the route's flows to.
	allowed map[string]struct{}
	// sheddable is set when new flows are refused under overload, before those of
	// routes with a higher priority.
	sheddable bool
}

// Engine decides packets. It is safe for concurrent use.
type Engine struct {
	options Options

	mu     sync.Mutex
	random *rand.Rand
	// version is that of the adopted configuration; zero before the first.
	version     uint64
	idleTimeout time.Duration
	// viewAt is when the view in force was set.
	viewAt time.Time
	routes map[netip.AddrPort]*route
	// removed are the addresses of routes that a version has dropped.
	removed map[netip.AddrPort]struct{}
	// healthPaths are the paths of health checks by service.
	healthPaths map[string]string
	upstreams   map[catalog.UpstreamID]*upstream
	tokens      map[Token]*upstream
	pools       map[string]*pool
	// candidates is reused by each choice.
	candidates []*upstream
	flows      map[flowKey]*record
	swept      time.Time
	// sites are the data centres of the upstreams.
	sites map[string]*site
	// suspects counts the suspected upstreams.
	suspects int
	// answered is when any upstream last answered a flow of this host.
	answered time.Time
	// lastPacket is when the last packet arrived.
	lastPacket time.Time
	// doubtUntil is until when repeated packets prove nothing.
	doubtUntil time.Time
}

// New returns an engine that knows nothing yet.
func New(options Options) *Engine {
	if options.MaxFlows == 0 {
		options.MaxFlows = DefaultMaxFlows
	}
	return &Engine{
		options:     options,
		random:      rand.New(rand.NewPCG(options.Seed, options.Seed)),
		idleTimeout: defaultIdleTimeout,
		routes:      make(map[netip.AddrPort]*route),
		removed:     make(map[netip.AddrPort]struct{}),
		upstreams:   make(map[catalog.UpstreamID]*upstream),
		tokens:      make(map[Token]*upstream),
		pools:       make(map[string]*pool),
		flows:       make(map[flowKey]*record),
		sites:       make(map[string]*site),
	}
}

// Decide decides one packet of a caller.
func (e *Engine) Decide(now time.Time, s *Segment) Decision {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.version == 0 {
		return Decision{Verdict: Drop, Reason: NoConfiguration}
	}
	e.watchPause(now)
	if now.Sub(e.swept) >= sweepInterval {
		e.sweep(now)
	}
	r := e.routes[s.Address]
	switch {
	case r == nil:
		return e.explain(now, e.withoutRoute(s), nil, nil, nil)
	case s.SYN && !s.ACK:
		return e.first(now, r, s)
	default:
		return e.later(now, r, s)
	}
}

// withoutRoute decides a packet to an address without a route. A later packet is
// answered only when the configuration is known to have dropped its route: a
// host that lags behind must not reset a flow of a new route.
func (e *Engine) withoutRoute(s *Segment) Decision {
	if s.RST {
		return Decision{Verdict: Drop, Reason: NoRoute}
	}
	if _, dropped := e.removed[s.Address]; dropped {
		return Decision{Verdict: Reset, Reason: RouteRemoved}
	}
	if s.SYN {
		return Decision{Verdict: Reset, Reason: NoRoute}
	}
	return Decision{Verdict: Drop, Reason: NoRoute}
}

// poolOf returns the pool of the upstream's service, or nil.
func (e *Engine) poolOf(u *upstream) *pool {
	if u == nil {
		return nil
	}
	return e.pools[u.Service]
}

func forward(u *upstream, reason Reason) Decision {
	return Decision{Verdict: Forward, Reason: reason, Upstream: u.ID, Address: u.Address, Token: u.token}
}

// sweep removes expired records.
func (e *Engine) sweep(now time.Time) {
	e.swept = now
	for key, rec := range e.flows {
		silent := now.Sub(rec.seen)
		switch {
		case rec.phase == opening && silent > openingLife:
			e.reportFlow(now, Unopened, key, rec)
			e.forget(key, rec)
		case rec.phase == closed && silent > closedLife, silent > e.idleTimeout:
			e.forget(key, rec)
		case rec.waiting && now.Sub(rec.asked) > rec.deadline():
			e.reportFlow(now, Unanswered, key, rec)
			rec.answered()
		}
	}
}

func (e *Engine) forget(key flowKey, rec *record) {
	rec.release()
	delete(e.flows, key)
}

// remember stores a record, in place of any other when there is no room.
func (e *Engine) remember(key flowKey, rec *record) {
	if old, ok := e.flows[key]; ok {
		old.release()
	} else if len(e.flows) >= e.options.MaxFlows {
		for other, victim := range e.flows {
			e.forget(other, victim)
			break
		}
	}
	e.flows[key] = rec
}
