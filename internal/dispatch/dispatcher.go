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

// sweepInterval is the time between two removals of expired results, ledgers,
// loans and idle connections.
const sweepInterval = time.Second

// routeTable holds the routes of one configuration. It is immutable once stored.
type routeTable struct {
	byHost map[string]*route
	byID   map[service.ID]*route
}

// Dispatcher serves callers' requests at one host. It sends a request to an upstream
// once the request holds one of the upstream's slots, and uses tickets to run each
// non-idempotent request at most once.
type Dispatcher struct {
	options        Options
	limits         Limits
	metrics        *metrics
	upstreamClient *upstreamClient
	routes         atomic.Pointer[routeTable]
	nextID         atomic.Uint64
	// ownLedger holds the tickets issued by this incarnation of the host.
	ownLedger *lockedLedger

	mu       sync.Mutex
	snapshot *config.Snapshot
	members  membership.View
	// slotGroup holds the hosts among which the slots are divided.
	slotGroup limit.Group
	// membershipKnown is closed by markMembershipKnown once the first non-empty
	// membership view has arrived.
	membershipKnown     chan struct{}
	markMembershipKnown func()
	upstreamStates      map[upstreamKey]health.Upstream
	ticketKeys          ticket.Keyring
	ledgers             map[host.Incarnation]*lockedLedger
	// incomingTransfers holds transfers of which some parts are still missing, and
	// transferStarted the time at which their first part arrived.
	incomingTransfers map[host.Incarnation]*ticket.Transfer
	transferStarted   map[host.Incarnation]time.Time
	draining          bool
	// drainSummary and drainErr are the result of Drain.
	drainOnce    sync.Once
	drainSummary DrainSummary
	drainErr     error

	loans        loanTable
	tasks        *taskGroup
	relayLimiter *relayLimiter
}

// New returns a dispatcher. It refuses all requests until Adopt is called.
func New(options Options) *Dispatcher {
	limits := options.Limits.withDefaults()
	d := &Dispatcher{
		options:         options,
		limits:          limits,
		metrics:         newMetrics(options.Registerer),
		upstreamClient:  newUpstreamClient(limits, options.Now),
		upstreamStates:  make(map[upstreamKey]health.Upstream),
		membershipKnown: make(chan struct{}),

		tasks:             newTaskGroup(),
		relayLimiter:      newRelayLimiter(),
		ledgers:           make(map[host.Incarnation]*lockedLedger),
		incomingTransfers: make(map[host.Incarnation]*ticket.Transfer),
		transferStarted:   make(map[host.Incarnation]time.Time),
	}
	d.markMembershipKnown = sync.OnceFunc(func() { close(d.membershipKnown) })
	d.slotGroup = newSlotGroup(options.Self.ID, membership.View{})
	ownOptions := d.ledgerOptions()
	ownOptions.Issuer = options.Self.ID
	ownOptions.Incarnation = options.Self.Incarnation
	d.ownLedger = newLockedLedger(ticket.NewLedger(ownOptions))
	d.ledgers[options.Self.Incarnation] = d.ownLedger
	d.loans.active = make(map[loanKey]loan)
	return d
}

// ticketsPerWord is the number of ticket states in one word of a ticket.Window.
const ticketsPerWord = 32

// ledgerOptions returns the bounds that apply to each ledger held here.
func (d *Dispatcher) ledgerOptions() ticket.Options {
	return ticket.Options{
		Lifetime:   d.limits.TicketLifetime,
		Retention:  d.limits.ResultRetention,
		MaxRecords: d.limits.MaxResults,
		MaxBytes:   d.limits.MaxResultBytes,
		MaxWords:   max(1, d.limits.MaxTickets/ticketsPerWord),
	}
}

// Handler returns the HTTP handler for requests of callers.
func (d *Dispatcher) Handler() http.Handler { return http.HandlerFunc(d.serveCaller) }

// Adopt replaces the configuration: it rebuilds the routes and takes over the
// ticket keys.
func (d *Dispatcher) Adopt(snapshot *config.Snapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.snapshot = snapshot
	d.ticketKeys.SetKeys(d.options.Now(), snapshot.Manifest.TicketKeys, d.limits.TicketLifetime)
	previous := d.routes.Load()
	next := &routeTable{byHost: make(map[string]*route), byID: make(map[service.ID]*route)}
	for _, s := range snapshot.Services {
		if s.RequestHost == "" {
			continue
		}
		r := newRoute(s, d.allocatorFor(previous, s.ID))
		next.byHost[s.RequestHost] = r
		next.byID[s.ID] = r
	}
	d.routes.Store(next)
	d.updateAllSlots()
}

// allocatorFor returns the service's existing allocator, which keeps its queue and
// the slots in use across configurations, or a new one.
func (d *Dispatcher) allocatorFor(previous *routeTable, id service.ID) *slotAllocator {
	if previous != nil && previous.byID[id] != nil {
		return previous.byID[id].allocator
	}
	return newSlotAllocator(d.options.Now, d.options.Seed+uint64(id), d.limits)
}

// SetMembers sets the hosts among which the slots are divided and to which
// requests are relayed. Until the first non-empty view, requests with tickets of
// other hosts wait.
func (d *Dispatcher) SetMembers(view membership.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(view.Members) > 0 {
		d.markMembershipKnown()
	}
	d.members = view
	d.slotGroup = newSlotGroup(d.options.Self.ID, view)
	d.updateAllSlots()
}

// SetUpstreams sets the health of the upstreams. Because views arrive often, slots
// are divided again only for services of which an upstream changed its state or
// ramp. When the view has lost upstreams, all services are divided again.
func (d *Dispatcher) SetUpstreams(view health.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(view.Upstreams) < len(d.upstreamStates) {
		d.upstreamStates = make(map[upstreamKey]health.Upstream, len(view.Upstreams))
		defer d.updateAllSlots()
	}
	changed := make(map[service.ID]bool)
	for _, u := range view.Upstreams {
		key := upstreamKey{u.Service, u.Name}
		previous, known := d.upstreamStates[key]
		if !known || previous.State != u.State || previous.Ramp != u.Ramp {
			d.upstreamStates[key] = u
			changed[u.Service] = true
		}
	}
	routes := d.routes.Load()
	if routes == nil {
		return
	}
	for id := range changed {
		if r := routes.byID[id]; r != nil {
			r.updateSlots(d.slotGroup, d.upstreamStates)
		}
	}
}

// updateAllSlots recomputes this host's slots for every service.
func (d *Dispatcher) updateAllSlots() {
	routes := d.routes.Load()
	if routes == nil {
		return
	}
	for _, r := range routes.byID {
		r.updateSlots(d.slotGroup, d.upstreamStates)
	}
}

// Run removes expired state periodically until ctx ends. It then waits for the
// background tasks and closes the idle connections to upstreams.
func (d *Dispatcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	defer d.upstreamClient.close()
	defer d.tasks.Wait()
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
	for _, l := range d.allLedgers() {
		l.sweep(now)
	}
	d.expireLedgers(now)
	d.loans.sweep(now)
	d.upstreamClient.pool.sweep()
}

func (d *Dispatcher) allLedgers() []*lockedLedger {
	d.mu.Lock()
	defer d.mu.Unlock()
	ledgers := make([]*lockedLedger, 0, len(d.ledgers))
	for _, l := range d.ledgers {
		ledgers = append(ledgers, l)
	}
	return ledgers
}

// ledger returns the ledger of the issuer's incarnation, or nil if it is not held
// here.
func (d *Dispatcher) ledger(incarnation host.Incarnation) *lockedLedger {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ledgers[incarnation]
}

// issueTicket returns a new ticket for the service, or an empty string while there
// is no ticket key or the host is draining.
func (d *Dispatcher) issueTicket(id service.ID) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.ticketKeys.Ready() || d.draining {
		return ""
	}
	return d.ticketKeys.Encode(d.ownLedger.issue(d.options.Now(), id))
}

// verifyTicket decodes a ticket and checks its MAC. If the ticket's key is not known
// here, it returns the decoded ticket and an error of the kind ticket.UnknownKey.
func (d *Dispatcher) verifyTicket(encoded string) (ticket.Ticket, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ticketKeys.Verify(encoded)
}

// nextRequestID returns an identifier for an idempotent request that is unique
// over all hosts.
func (d *Dispatcher) nextRequestID() string {
	return fmt.Sprintf("%x-%x", uint64(d.options.Self.Incarnation), d.nextID.Add(1))
}
