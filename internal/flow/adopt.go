package flow

import (
	"cmp"
	"maps"
	"reflect"
	"slices"
	"time"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/health"
	"github.com/oatlatch/oatlatch/internal/service"
	"github.com/oatlatch/oatlatch/internal/slottable"
)

// adoptSnapshot publishes a service view of a newer snapshot. Services that this
// host already has keep the state of their slots: the new lookup tables only change
// the targets, and reconcile then moves new flows to these.
func (e *Engine) adoptSnapshot(s *config.Snapshot) {
	old := e.serviceView.Load()
	if s == nil || old != nil && s.Version() <= old.version {
		return
	}
	v := &serviceView{
		version:       s.Version(),
		key:           newHashKey(s.Manifest.FlowKey),
		byIPv4Address: make(map[uint64]*serviceState, len(s.Services)),
		byAddress:     make(map[serviceAddress]*serviceState, len(s.Services)),
		byID:          make(map[service.ID]*serviceState, len(s.Services)),
		quarantined:   make(map[serviceAddress]struct{}, len(s.Manifest.Quarantined)),
	}
	for i := range s.Services {
		svc := e.adoptService(old, s, &s.Services[i])
		v.add(svc)
	}
	slices.SortFunc(v.sorted, func(a, b *serviceState) int { return cmp.Compare(a.id, b.id) })
	for _, q := range s.Manifest.Quarantined {
		v.quarantined[serviceAddress{q.Address, q.Protocol}] = struct{}{}
	}
	e.serviceView.Store(v)
}

// adoptService returns the state of the service, created or updated from the
// configuration.
func (e *Engine) adoptService(old *serviceView, s *config.Snapshot, configured *service.Service) *serviceState {
	var svc *serviceState
	if old != nil {
		svc = old.byID[configured.ID]
	}
	if svc == nil {
		return e.newService(s, configured)
	}
	unchanged := reflect.DeepEqual(svc.configured, *configured)
	previous := svc.configured
	svc.configured, svc.version = *configured, s.Version()
	maps.DeleteFunc(svc.excludedUntil, func(_ upstreamRef, until config.Version) bool { return until <= svc.version })
	if unchanged && len(svc.excludedUntil) == 0 {
		return svc
	}
	e.rebuildTargets(svc, s.Manifest.FlowKey)
	e.announceDraining(svc, &previous)
	return svc
}

// newService returns the state of a service that the previous configuration did not
// have and asks the other members for their state of it.
func (e *Engine) newService(s *config.Snapshot, configured *service.Service) *serviceState {
	svc := &serviceState{
		id:            configured.ID,
		configured:    *configured,
		version:       s.Version(),
		firstVersion:  s.Version(),
		excludedUntil: make(map[upstreamRef]config.Version),
		drainingSince: make(map[upstreamRef]time.Time),
		calibrations:  make(map[upstreamRef]calibration),
		health:        make(map[string]health.Upstream),
	}
	t := &slotTable{defaults: new([slottable.Slots]upstreamRef), targets: new([slottable.Slots]upstreamRef)}
	svc.table.Store(t)
	e.rebuildTargets(svc, s.Manifest.FlowKey)
	e.editTable(svc, func(t *slotTable) { *t.defaults = svc.configuredTargets })
	e.requestState(svc)
	return svc
}

// rebuildTargets computes the configured targets of the slots from the service's
// upstreams, then publishes the loads and the targets that follow from them.
func (e *Engine) rebuildTargets(svc *serviceState, key [16]byte) {
	built := slottable.Build(key, svc.configured.Upstreams)
	e.editTable(svc, func(t *slotTable) {
		refs := make([]upstreamRef, len(svc.configured.Upstreams))
		for i, u := range svc.configured.Upstreams {
			refs[i] = t.intern(u.Name, u.PacketAddress)
			e.updateDrainingSince(svc, refs[i], u.State == service.AdminDraining)
		}
		for slot, i := range built {
			svc.configuredTargets[slot] = noUpstream
			if i != slottable.NoUpstream {
				svc.configuredTargets[slot] = refs[i]
			}
		}
		t.idleTimeout = idleTimeoutSeconds(&svc.configured)
		t.perFlowBalancing = svc.configured.Prefer == service.PreferBalance
	})
	e.publishLoads(svc)
	e.updateTargets(svc)
	svc.needsReconcile = true
}

// updateDrainingSince records when the upstream started draining, or clears the
// time when it no longer drains.
func (e *Engine) updateDrainingSince(svc *serviceState, ref upstreamRef, draining bool) {
	if !draining {
		delete(svc.drainingSince, ref)
		return
	}
	if _, ok := svc.drainingSince[ref]; !ok {
		svc.drainingSince[ref] = e.now
	}
}

// defaultIdleTimeout applies to services that set no idle timeout.
const defaultIdleTimeout = 5 * time.Minute

func idleTimeoutSeconds(s *service.Service) seconds {
	timeout := s.IdleTimeout
	if timeout <= 0 {
		timeout = defaultIdleTimeout
	}
	return seconds(max(1, timeout/time.Second))
}

// updateTargets computes the targets of new flows: the configured targets, with
// those replaced whose upstream takes no new flows.
func (e *Engine) updateTargets(svc *serviceState) {
	old := svc.table.Load()
	usable := svc.usable(old)
	targets := new([slottable.Slots]upstreamRef)
	for slot := range targets {
		targets[slot] = selectTarget(&svc.configuredTargets, usable, slot)
	}
	if *targets == *old.targets {
		return
	}
	e.editTable(svc, func(t *slotTable) { t.targets = targets })
	svc.needsReconcile = true
}

// selectTarget returns the slot's configured target or, if that takes no new
// flows, the first usable one found by probing other slots.
func selectTarget(configured *[slottable.Slots]upstreamRef, usable []bool, slot int) upstreamRef {
	i := slot
	for range maxTargetProbes {
		if ref := configured[i]; ref != noUpstream && usable[ref] {
			return ref
		}
		i = (i + targetProbeStep) & slottable.SlotMask
	}
	return configured[slot]
}

// updateHealth stores the health view and updates loads and targets.
func (e *Engine) updateHealth(view health.View) {
	byService := make(map[service.ID]map[string]health.Upstream)
	for _, u := range view.Upstreams {
		if byService[u.Service] == nil {
			byService[u.Service] = make(map[string]health.Upstream)
		}
		byService[u.Service][u.Name] = u
	}
	for _, svc := range e.services() {
		svc.health = byService[svc.id]
		e.publishLoads(svc)
		e.updateTargets(svc)
	}
}
