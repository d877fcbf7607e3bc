package flow

import (
	"sync/atomic"
	"time"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/health"
	"github.com/oatlatch/oatlatch/internal/service"
	"github.com/oatlatch/oatlatch/internal/slottable"
)

// serviceState is the state of one service. Decide reads id, which is constant, and
// table and loads, which are replaced atomically; Engine.mu guards the other fields.
type serviceState struct {
	id    service.ID
	table atomic.Pointer[slotTable]
	loads atomic.Pointer[loads]

	// configured is the service in the adopted configuration, which has this version.
	configured service.Service
	version    config.Version
	// firstVersion is the lowest configuration version in which this host, or any
	// host whose state it has merged, first had the service.
	firstVersion config.Version
	// maxReleaseVersion is the highest version of the configuration of a host that
	// released slots.
	maxReleaseVersion config.Version
	// configuredTargets is the lookup table of the configured upstreams.
	configuredTargets [slottable.Slots]upstreamRef
	// excludedUntil has the upstreams that drain in a configuration that another host
	// has already adopted, with the version of that configuration. They take no new
	// flows until this host adopts that version or a later one.
	excludedUntil map[upstreamRef]config.Version
	// drainingSince is when this host first saw the upstream draining.
	drainingSince map[upstreamRef]time.Time
	// health is the latest health view of the service's upstreams by name.
	health map[string]health.Upstream
	// activeFlows counts the active flows by upstreamRef in the last complete sweep.
	activeFlows []int
	// sweepCounts accumulates the next activeFlows during a sweep.
	sweepCounts []int
	// calibrations has the bias of the load reports by upstream.
	calibrations map[upstreamRef]calibration
	// assignmentRates has this host's assignments by upstreamRef, as of ratesUpdatedAt.
	assignmentRates []assignmentRate
	ratesUpdatedAt  time.Time
	// thirdCopies has the records queued for third hosts.
	thirdCopies       map[hostRef][]Record
	thirdCopiesSentAt time.Time
	// offTargetSeen is when a flow on another upstream than the slot's target was
	// last seen, by slot.
	offTargetSeen [slottable.Slots]seconds
	// maxTerm is the highest term seen in any message or started by this host.
	maxTerm uint32
	rounds  []*round
	// awaitingState has the members that have not sent their state yet; it is nil when
	// no state was requested.
	awaitingState map[hostRef]bool
	// stateRequestedAt is when the members were last asked for their state.
	stateRequestedAt time.Time
	// resyncing is set while this host asks for state after a pause. Unlike a
	// starting host it still has its records.
	resyncing bool
	// takeoverRequestedAt is when other hosts were last asked to take over slots.
	takeoverRequestedAt time.Time
	// hasOrphans is set while tracked slots have no live owner.
	hasOrphans bool
	// needsReconcile requests a reconcile at the end of the step.
	needsReconcile bool
}
