package evidencerpc

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/evidence"
	"github.com/oatlatch/oatlatch/internal/wait"
)

const (
	// idleWait is how long a call waits for news while no upstream is in question.
	idleWait = 4 * time.Second
	// questionWait is how long a call waits while one is. Reports are renewed as often, in
	// less than half of evidence.ReportTTL.
	questionWait = 500 * time.Millisecond
	// callSlack is the time allowed beyond the wait for a reply to arrive.
	callSlack = time.Second
	// deliveryTime is the time after which a report has arrived if its call has not failed,
	// and callGap the pause between two calls.
	deliveryTime = 50 * time.Millisecond
	callGap      = 50 * time.Millisecond
	// retryDelay is the delay after a failed call, and while there is no parent.
	retryDelay = time.Second
)

// Client makes calls to other hosts.
type Client interface {
	// CallAddress calls a method of the host at the address.
	CallAddress(ctx context.Context, to netip.AddrPort, method string, args, reply any) error
}

// Engine holds the evidence of this host and acts on that of all hosts.
type Engine interface {
	// Evidence returns what the host has seen of the upstreams that look failed to it, and
	// of those in question.
	Evidence(now time.Time, inQuestion map[catalog.UpstreamID]struct{}) []evidence.Entry
	// EvidenceLifetime returns how long the last result of Evidence may be used again.
	EvidenceLifetime() time.Duration
	// SetEvidence replaces the evidence of all hosts.
	SetEvidence(now time.Time, entries []evidence.Entry)
}

// Options configures an Exchange.
type Options struct {
	Engine Engine
	// Client returns the client for calls, or nil while hosts cannot call each other.
	Client func() Client
	Now    func() time.Time
	// Evacuations, if set, returns the evacuations that this host has in force, with its own
	// numbers.
	Evacuations func() []evidence.EvacuationSum
	// OnSums, if set, is called at the first host when the sums of all hosts may have
	// changed, while an evacuation is in force.
	OnSums func()
}

// Exchange exchanges evidence with the parent and the children of this host.
type Exchange struct {
	options Options
	// wake receives a value when there is new evidence for the parent.
	wake chan struct{}
	// ownOutdated is set when there is new evidence of this host, and ownSumsOutdated when
	// an evacuation has begun or ended on it.
	ownOutdated, ownSumsOutdated atomic.Bool

	mu   sync.Mutex
	node *evidence.Node
	// own is this host's own evidence at ownAt. It is used again for ownLifetime without
	// asking the engine, whose lock packets need as well. New evidence ends it.
	own         []evidence.Entry
	ownAt       time.Time
	ownLifetime time.Duration
	// sums are those of this host's children and of all hosts, ownSums its own at ownSumsAt.
	sums      *evidence.SumsNode
	ownSums   evidence.Sums
	ownSumsAt time.Time
	// expiry runs when sums are the next to end; nil while none is to be waited for.
	expiry *time.Timer
	// parents are the hosts to call, the next one after a failure; empty for the first
	// host. parent is the one in use.
	parents []catalog.Host
	parent  *catalog.Host
	// parentVersion is the version of the parent's last reply. received is the number of
	// replies that brought a new one and, at the first host, of its own news.
	parentVersion, received uint64
	// changed is closed and replaced when the total changes.
	changed chan struct{}
}

// New returns an exchange without a parent.
func New(options Options) *Exchange {
	return &Exchange{
		options: options, wake: make(chan struct{}, 1), node: evidence.NewNode(), sums: evidence.NewSumsNode(), changed: make(chan struct{}),
	}
}

// SetParents replaces the hosts to call: the parent first, and others for when it fails.
func (x *Exchange) SetParents(parents []catalog.Host) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if slices.Equal(parents, x.parents) {
		return
	}
	x.parents = parents
	x.useParentLocked(0)
}

// useParentLocked makes the host with the index the one to call. x.mu must be held.
func (x *Exchange) useParentLocked(index int) {
	x.parent, x.parentVersion = nil, 0
	if len(x.parents) > 0 {
		x.parent = &x.parents[index%len(x.parents)]
	}
}

// replaceParent makes the next host the one to call after a call to parent has failed.
func (x *Exchange) replaceParent(parent *catalog.Host) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if i := slices.IndexFunc(x.parents, func(h catalog.Host) bool { return h == *parent }); i >= 0 {
		x.useParentLocked(i + 1)
	}
}

// Notify makes the exchange report new evidence soon. It never blocks.
func (x *Exchange) Notify() {
	x.ownOutdated.Store(true)
	x.wakeUp()
}

// wakeUp makes the exchange report soon. It never blocks.
func (x *Exchange) wakeUp() {
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

// Run calls the parent until ctx is cancelled.
func (x *Exchange) Run(ctx context.Context) error {
	defer x.stopExpiry()
	for {
		x.mu.Lock()
		parent := x.parent
		x.mu.Unlock()
		client := x.options.Client()
		if parent == nil || client == nil || !x.call(ctx, client, *parent) {
			x.judge()
			x.checkSums()
			x.awaitRetry(ctx)
		}
		if wait.Sleep(ctx, callGap) != nil {
			return nil
		}
	}
}

// awaitRetry waits for retryDelay while no parent answers. New evidence ends the wait, and
// is told to the children.
func (x *Exchange) awaitRetry(ctx context.Context) {
	timer := time.NewTimer(retryDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-x.wake:
		x.announce()
	}
}

// call reports to the parent and merges its reply. Evidence that is newer than the report
// ends the wait for the reply, but not before deliveryTime, so that each report arrives. It
// returns false if the call failed.
func (x *Exchange) call(ctx context.Context, client Client, parent catalog.Host) bool {
	select {
	case <-x.wake: // the report holds this evidence
	default:
	}
	args := x.nextCall()
	ctx, cancel := context.WithTimeout(ctx, args.Wait+callSlack)
	defer cancel()
	replied := make(chan error, 1)
	var reply ExchangeReply
	go func() { replied <- client.CallAddress(ctx, parent.Peer, ServiceName+".Exchange", args, &reply) }()
	sent := time.NewTimer(deliveryTime)
	defer sent.Stop()
	var newer <-chan struct{} // nil until the report must have arrived
	for {
		select {
		case err := <-replied:
			if err != nil {
				x.replaceParent(&parent)
				return false
			}
			x.merge(&parent, &reply)
			return true
		case <-sent.C:
			newer = x.wake
		case <-newer:
			cancel()
			<-replied // the parent has the report, its reply comes with the next call
			return true
		}
	}
}

// nextCall returns the arguments of the next call.
func (x *Exchange) nextCall() *ExchangeArgs {
	x.mu.Lock()
	defer x.mu.Unlock()
	report := x.subtreeLocked()
	args := &ExchangeArgs{Report: report, Version: x.parentVersion, Wait: idleWait}
	if len(report.Entries) > 0 || len(report.Sums.Evacuations) > 0 || len(x.totalSumsLocked(x.options.Now()).Evacuations) > 0 {
		args.Wait = questionWait
	}
	return args
}

// merge merges the parent's reply.
func (x *Exchange) merge(parent *catalog.Host, reply *ExchangeReply) {
	x.mu.Lock()
	if x.parent != nil && x.parent.Name == parent.Name {
		now := x.options.Now()
		x.node.SetTotal(now, reply.Total)
		x.sums.SetTotal(now, reply.Total.Sums)
		x.expireSumsLocked(now)
		if reply.Version != x.parentVersion {
			x.parentVersion = reply.Version
			x.received++
			x.ownOutdated.Store(true) // other upstreams may be in question
			x.announceLocked()
		}
	}
	x.mu.Unlock()
	x.judge()
}

// addReport merges the report of a child.
func (x *Exchange) addReport(child string, report evidence.Report) {
	x.mu.Lock()
	now, before := x.options.Now(), x.node.Version()
	x.node.AddReport(now, child, report)
	news := x.node.Version() != before
	isRoot := x.parent == nil
	if news && isRoot {
		x.announceLocked()
	}
	if x.sums.Add(now, child, report.Sums) {
		x.announceSumsLocked(now)
	}
	x.expireSumsLocked(now)
	x.mu.Unlock()
	x.checkSums()
	if news {
		x.Notify()
	}
	if news && isRoot {
		x.judge()
	}
}

// announce tells children of new evidence of this host.
func (x *Exchange) announce() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.received++
	x.announceLocked()
}

// announceLocked ends the waits of children. x.mu must be held.
func (x *Exchange) announceLocked() {
	close(x.changed)
	x.changed = make(chan struct{})
}

// currentVersion returns the version of the total, and a channel that is closed when it
// changes.
func (x *Exchange) currentVersion() (uint64, <-chan struct{}) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.versionLocked(), x.changed
}

// versionLocked returns the version of the total. x.mu must be held.
func (x *Exchange) versionLocked() uint64 { return 1 + x.received + x.node.Version() }

// total returns the evidence of all hosts and its version.
func (x *Exchange) total() (evidence.Report, uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.options.Now()
	total := x.node.Total(now, x.ownLocked(now), x.parentNameLocked())
	total.Sums = x.totalSumsLocked(now)
	return total, x.versionLocked()
}

// judge passes the evidence of all hosts to the engine.
func (x *Exchange) judge() {
	total, _ := x.total()
	if len(total.Entries) > 0 {
		x.options.Engine.SetEvidence(x.options.Now(), total.Entries)
	}
}

// subtreeLocked returns the report for the parent. x.mu must be held.
func (x *Exchange) subtreeLocked() evidence.Report {
	now := x.options.Now()
	report := x.node.Subtree(now, x.ownLocked(now), x.parentNameLocked())
	report.Sums = x.sums.Subtree(now, x.ownSumsLocked(now), x.parentNameLocked())
	return report
}

// ownLocked returns this host's own evidence. x.mu must be held.
func (x *Exchange) ownLocked(now time.Time) []evidence.Entry {
	if x.ownOutdated.Swap(false) || now.Sub(x.ownAt) >= x.ownLifetime {
		x.own, x.ownAt = x.options.Engine.Evidence(now, x.node.InQuestion(now)), now
		x.ownLifetime = x.options.Engine.EvidenceLifetime()
	}
	return evidence.Aged(x.own, now.Sub(x.ownAt))
}

// parentNameLocked returns the name of the parent, or "". x.mu must be held.
func (x *Exchange) parentNameLocked() string {
	if x.parent == nil {
		return ""
	}
	return x.parent.Name
}
