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

// Engine decides packets and agrees with other hosts on the state of slots.
// Decide is safe for concurrent use and may run beside Step.
type Engine struct {
	records *records
	view    atomic.Pointer[view]
	hosts   atomic.Pointer[hostList]
	// stepped is the time of the last step.
	stepped atomic.Pointer[time.Time]

	// mu serialises Step and guards what follows.
	mu      sync.Mutex
	random  *rand.Rand
	now     time.Time
	actions []Action
	// membersKnown is set once a view of the members has arrived.
	membersKnown bool
	// membersAt is when the last view of the members arrived.
	membersAt time.Time
	leaving   bool
	leftAt    time.Time
	left      bool
	// handedOver is set once silent flows were given to another host.
	handedOver bool
	sweeper    sweeper
	loadsAt    time.Time
	stats      Stats
}

// New returns an engine that knows nothing yet.
func New(options Options) *Engine {
	maxFlows := options.MaxFlows
	if maxFlows == 0 {
		maxFlows = DefaultMaxFlows
	}
	e := &Engine{
		records: newRecords(maxFlows),
		random:  rand.New(rand.NewPCG(options.Seed, hashSeed(options.Self))),
	}
	e.hosts.Store(&hostList{newHostEntry(options.Self, options.DataCentre)})
	return e
}

func hashSeed(id host.ID) uint64 {
	entry := newHostEntry(id, "")
	return entry.hash
}

// Step handles a control event and returns what to do.
func (e *Engine) Step(now time.Time, event Event) []Action {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.now = now
	e.actions = nil
	if e.paused(now) {
		e.resume()
	}
	e.stepped.Store(&now)
	switch event := event.(type) {
	case Adopted:
		e.adopt(event.Snapshot)
	case MembersChanged:
		e.changeMembers(event.View)
	case UpstreamsChanged:
		e.changeUpstreams(event.View)
	case Received:
		e.receive(event.From, &event.Message)
	case Tick:
		e.tick()
	case Leave:
		e.leave()
	}
	e.settle()
	return e.actions
}

// settle reconciles every service that the step has touched.
func (e *Engine) settle() {
	for _, en := range e.entries() {
		if en.dirty {
			en.dirty = false
			e.reconcile(en)
		}
	}
}

// entries returns the services in order of their IDs.
func (e *Engine) entries() []*entry {
	v := e.view.Load()
	if v == nil {
		return nil
	}
	return v.ordered
}

func (e *Engine) entry(id service.ID) *entry {
	v := e.view.Load()
	if v == nil {
		return nil
	}
	return v.byID[id]
}

func (e *Engine) send(to hostRef, m Message) {
	hosts := *e.hosts.Load()
	e.actions = append(e.actions, Send{To: hosts[to].id, Message: m})
}

// peers returns the members that take part in agreements, besides the host itself.
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

// isLeaving reports whether this host hands over.
func (e *Engine) isLeaving() bool {
	return (*e.hosts.Load())[selfRef].leaving
}

func (e *Engine) hostEligible(ref hostRef) bool {
	hosts := *e.hosts.Load()
	return int(ref) < len(hosts) && hosts[ref].eligible()
}

// edit publishes a changed copy of the service's slot table.
func (e *Engine) edit(en *entry, change func(*slotTable)) {
	t := en.table.Load().clone()
	change(t)
	en.table.Store(t)
}

// setHosts publishes a changed copy of the host list.
func (e *Engine) setHosts(change func(hostList) hostList) {
	hosts := change(slices.Clone(*e.hosts.Load()))
	e.hosts.Store(&hosts)
}

func (e *Engine) markAllDirty() {
	for _, en := range e.entries() {
		en.dirty = true
	}
}

func toSeconds(t time.Time) seconds {
	return seconds(t.Unix())
}

func (e *Engine) nowSeconds() seconds {
	return toSeconds(e.now)
}
