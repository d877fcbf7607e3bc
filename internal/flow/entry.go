package flow

import (
	"sync/atomic"
	"time"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/health"
	"github.com/oatlatch/oatlatch/internal/lookup"
	"github.com/oatlatch/oatlatch/internal/service"
)

// entry is one service. Decide reads table and loads; the rest belongs to Step.
type entry struct {
	id    service.ID
	table atomic.Pointer[slotTable]
	loads atomic.Pointer[loads]

	// configured is the service as adopted, of version.
	configured service.Service
	version    config.Version
	// first is the version under which the service was first seen.
	first config.Version
	// heard is the highest version that another host has made a slot plain under.
	heard config.Version
	// wanted is the configured table as references to upstreams.
	wanted [lookup.Slots]upstreamRef
	// excluded upstreams take no new flows, though the adopted configuration,
	// older than the version given, says otherwise.
	excluded map[upstreamRef]config.Version
	// drainingSince is when an upstream was first seen draining.
	drainingSince map[upstreamRef]time.Time
	// health has the latest view by upstream name.
	health map[string]health.Upstream
	// active counts flows by upstream as of the last complete sweep.
	active []int
	// counting accumulates active during a sweep.
	counting []int
	// calibrations say how far the load reports of an upstream can be believed.
	calibrations map[upstreamRef]calibration
	// recent has the flows that this owner steered lately by reference, decaying from recentAt.
	recent   []recent
	recentAt time.Time
	// spreading has the records that third hosts get next.
	spreading map[hostRef][]Record
	spreadAt  time.Time
	// quietSince is when a flow that differs from the slot's target was last seen.
	quietSince [lookup.Slots]seconds
	// maxTerm is the highest term seen in any message.
	maxTerm uint32
	rounds  []*round
	// greeting has the members that have not told their state yet.
	greeting map[hostRef]bool
	// greetedAt is when members were last asked.
	greetedAt time.Time
	// resuming is set while this host asks for state after a pause; its records
	// are still good then.
	resuming bool
	// orphanedAt is when the owner of orphaned slots was last asked for.
	orphanedAt time.Time
	// orphaned is set while tracked slots lack a live owner.
	orphaned bool
	// dirty asks for reconciliation at the end of the step.
	dirty bool
}
