package flow

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/service"
)

// TickInterval is the interval at which an engine expects Tick events.
const TickInterval = 100 * time.Millisecond

// Engine decides where packets go and coordinates the state of slots with other
// hosts. Decide is safe for concurrent use and may run concurrently with Step.
type Engine struct {
	records     *recordStore
	serviceView atomic.Pointer[serviceView]
	hosts       atomic.Pointer[hostList]
	// lastStep is the time of the last Step.
	lastStep atomic.Pointer[time.Time]

	// mu serialises Step, Status and Explain and guards the fields below.
	mu      sync.Mutex
	random  *rand.Rand
	now     time.Time
	actions []Action
	// membersKnown is set by the first membership view.
	membersKnown bool
	// membersChangedAt is when the last membership view arrived.
	membersChangedAt time.Time
	leaving          bool
	leavingSince     time.Time
	leftReported     bool
	// handedOver is set once another host was sent the records of UDP flows.
	handedOver bool
	sweep      sweepPosition
	// maintainedAt is when tick last ran the work that is due every
	// maintenanceInterval.
	maintainedAt time.Time
	stats        Stats
}

// New returns an engine without a configuration or other members.
func New(options Options) *Engine {
	maxFlows := options.MaxFlows
	if maxFlows == 0 {
		maxFlows = DefaultMaxFlows
	}
	e := &Engine{
		records: newRecordStore(maxFlows),
		random:  rand.New(rand.NewPCG(options.Seed, hostSeed(options.Self))),
	}
	e.hosts.Store(&hostList{newHostEntry(options.Self, options.DataCentre)})
	return e
}

func hostSeed(id host.ID) uint64 {
	h := newHostEntry(id, "")
	return h.hash
}

// Step handles a control event and returns the resulting actions.
func (e *Engine) Step(now time.Time, event Event) []Action {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.now = now
	e.actions = nil
	if e.paused(now) {
		e.resyncAfterPause()
	}
	e.lastStep.Store(&now)
	switch event := event.(type) {
	case Adopted:
		e.adoptSnapshot(event.Snapshot)
	case MembersChanged:
		e.updateMembers(event.View)
	case UpstreamsChanged:
		e.updateHealth(event.View)
	case Received:
		e.receiveMessage(event.From, &event.Message)
	case Tick:
		e.tick()
	case Leave:
		e.startLeaving()
	}
	e.reconcileChanged()
	return e.actions
}

// reconcileChanged reconciles every service that the step changed.
func (e *Engine) reconcileChanged() {
	for _, svc := range e.services() {
		if svc.needsReconcile {
			svc.needsReconcile = false
			e.reconcile(svc)
		}
	}
}

// services returns the services in ascending order of their IDs.
func (e *Engine) services() []*serviceState {
	v := e.serviceView.Load()
	if v == nil {
		return nil
	}
	return v.sorted
}

func (e *Engine) service(id service.ID) *serviceState {
	v := e.serviceView.Load()
	if v == nil {
		return nil
	}
	return v.byID[id]
}

func (e *Engine) send(to hostRef, m Message) {
	hosts := *e.hosts.Load()
	e.actions = append(e.actions, Send{To: hosts[to].id, Message: m})
}

// peers returns the other members that are alive.
func (e *Engine) peers() []hostRef {
	var refs []hostRef
	for i := range *e.hosts.Load() {
		if hostRef(i) != selfRef && e.hostAlive(hostRef(i)) {
			refs = append(refs, hostRef(i))
		}
	}
	return refs
}

func (e *Engine) hostAlive(ref hostRef) bool {
	return (*e.hosts.Load()).isAlive(ref)
}

// isLeaving reports whether this host is handing over its slots. Unlike the
// leaving field it may be read without mu.
func (e *Engine) isLeaving() bool {
	return (*e.hosts.Load())[selfRef].leaving
}

func (e *Engine) hostEligible(ref hostRef) bool {
	hosts := *e.hosts.Load()
	return int(ref) < len(hosts) && hosts[ref].eligible()
}

// editTable publishes a modified copy of the service's slot table.
func (e *Engine) editTable(svc *serviceState, change func(*slotTable)) {
	t := svc.table.Load().clone()
	change(t)
	svc.table.Store(t)
}

// updateHosts publishes a modified copy of the host list.
func (e *Engine) updateHosts(change func(hostList) hostList) {
	hosts := change(slices.Clone(*e.hosts.Load()))
	e.hosts.Store(&hosts)
}

func (e *Engine) markAllForReconcile() {
	for _, svc := range e.services() {
		svc.needsReconcile = true
	}
}

func toSeconds(t time.Time) seconds {
	return seconds(t.Unix())
}

func (e *Engine) nowSeconds() seconds {
	return toSeconds(e.now)
}
