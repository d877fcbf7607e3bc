package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/health"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/limit"
	"github.com/oatlatch/oatlatch/internal/membership"
	"github.com/oatlatch/oatlatch/internal/service"
	"github.com/oatlatch/oatlatch/internal/ticket"
)

// sweepInterval is how often old results are dropped.
const sweepInterval = time.Second

// routing is the immutable outcome of the last configuration.
type routing struct {
	byHost map[string]*route
	byID   map[service.ID]*route
}

// Dispatcher serves the requests of callers at one entry host.
type Dispatcher struct {
	options Options
	limits  Limits
	metrics *metrics
	sender  *exchanger
	routes  atomic.Pointer[routing]
	nextID  atomic.Uint64
	// own is the book of this incarnation.
	own *book

	mu       sync.Mutex
	snapshot *config.Snapshot
	members  membership.View
	group    limit.Group
	// viewed is closed with the first view of the hosts.
	viewed  chan struct{}
	sawView func()
	states  map[upstreamKey]health.Upstream
	keys    ticket.Keyring
	books   map[host.Incarnation]*book
	// incoming holds transfers in parts, and begun when their first part came.
	incoming map[host.Incarnation]*ticket.Transfer
	begun    map[host.Incarnation]time.Time
	draining bool

	loans      loanBook
	background *background
	gates      *gates
}

// New returns a dispatcher that refuses requests until it adopts a configuration.
func New(options Options) *Dispatcher {
	limits := options.Limits.withDefaults()
	d := &Dispatcher{
		options: options,
		limits:  limits,
		metrics: newMetrics(options.Registerer),
		sender:  newExchanger(limits, options.Now),
		states:  make(map[upstreamKey]health.Upstream),
		viewed:  make(chan struct{}),

		background: newBackground(),
		gates:      newGates(),
		books:      make(map[host.Incarnation]*book),
		incoming:   make(map[host.Incarnation]*ticket.Transfer),
		begun:      make(map[host.Incarnation]time.Time),
	}
	d.sawView = sync.OnceFunc(func() { close(d.viewed) })
	d.group = sharing(options.Self.ID, membership.View{})
	bounds := d.ledgerBounds()
	bounds.Issuer = options.Self.ID
	bounds.Incarnation = options.Self.Incarnation
	d.own = newBook(ticket.NewLedger(bounds))
	d.books[options.Self.Incarnation] = d.own
	d.loans.open = make(map[loanKey]loan)
	return d
}

// ticketsPerWord is the number of tickets whose state fits in one word of a window.
const ticketsPerWord = 32

func (d *Dispatcher) ledgerBounds() ticket.Options {
	return ticket.Options{
		Life:       d.limits.TicketLife,
		Keep:       d.limits.KeepResults,
		MaxRecords: d.limits.MaxResults,
		MaxBytes:   d.limits.MaxResultBytes,
		MaxWords:   max(1, d.limits.MaxTickets/ticketsPerWord),
	}
}

// Handler returns the HTTP handler for callers.
func (d *Dispatcher) Handler() http.Handler { return http.HandlerFunc(d.serve) }

// Adopt puts a configuration into force.
func (d *Dispatcher) Adopt(snapshot *config.Snapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.snapshot = snapshot
	d.keys.Adopt(d.options.Now(), snapshot.Manifest.TicketKeys, d.limits.TicketLife)
	old := d.routes.Load()
	next := &routing{byHost: make(map[string]*route), byID: make(map[service.ID]*route)}
	for _, s := range snapshot.Services {
		if s.RequestHost == "" {
			continue
		}
		r := newRoute(s, d.laneFor(old, s.ID))
		next.byHost[s.RequestHost] = r
		next.byID[s.ID] = r
	}
	d.routes.Store(next)
	d.shareAll()
}

func (d *Dispatcher) laneFor(old *routing, id service.ID) *lane {
	if old != nil && old.byID[id] != nil {
		return old.byID[id].lane
	}
	return newLane(d.options.Now, d.options.Seed+uint64(id), d.limits)
}

// SetMembers takes over the hosts that share the upstreams. Tickets of other
// hosts wait for the first view.
func (d *Dispatcher) SetMembers(view membership.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(view.Members) > 0 {
		d.sawView()
	}
	d.members = view
	d.group = sharing(d.options.Self.ID, view)
	d.shareAll()
}

// SetUpstreams takes over the states of the upstreams. Only services whose
// upstreams changed state or ramp are shared anew, because views come often.
func (d *Dispatcher) SetUpstreams(view health.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(view.Upstreams) < len(d.states) {
		d.states = make(map[upstreamKey]health.Upstream, len(view.Upstreams))
		defer d.shareAll()
	}
	changed := make(map[service.ID]bool)
	for _, u := range view.Upstreams {
		key := upstreamKey{u.Service, u.Name}
		old, known := d.states[key]
		if !known || old.State != u.State || old.Ramp != u.Ramp {
			d.states[key] = u
			changed[u.Service] = true
		}
	}
	routes := d.routes.Load()
	if routes == nil {
		return
	}
	for id := range changed {
		if r := routes.byID[id]; r != nil {
			r.share(d.group, d.states)
		}
	}
}

// shareAll gives each lane this host's slots.
func (d *Dispatcher) shareAll() {
	routes := d.routes.Load()
	if routes == nil {
		return
	}
	for _, r := range routes.byID {
		r.share(d.group, d.states)
	}
}

// Run drops old results until ctx ends, and then closes idle connections.
func (d *Dispatcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	defer d.sender.close()
	defer d.background.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			d.sweep()
		}
	}
}

func (d *Dispatcher) sweep() {
	now := d.options.Now()
	for _, b := range d.allBooks() {
		b.sweep(now)
	}
	d.dropLedgers(now)
	d.loans.sweep(now)
	d.sender.pool.sweep()
}

func (d *Dispatcher) allBooks() []*book {
	d.mu.Lock()
	defer d.mu.Unlock()
	books := make([]*book, 0, len(d.books))
	for _, b := range d.books {
		books = append(books, b)
	}
	return books
}

func (d *Dispatcher) book(incarnation host.Incarnation) *book {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.books[incarnation]
}

// issue returns a fresh ticket, or nothing while there is no key.
func (d *Dispatcher) issue(id service.ID) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.keys.Ready() || d.draining {
		return ""
	}
	return d.keys.Encode(d.own.issue(d.options.Now(), id))
}

func (d *Dispatcher) verify(raw string) (ticket.Ticket, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.keys.Verify(raw)
}

func (d *Dispatcher) requestID() string {
	return fmt.Sprintf("%x-%x", uint64(d.options.Self.Incarnation), d.nextID.Add(1))
}
