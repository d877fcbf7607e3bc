package flow

import (
	"cmp"
	"maps"
	"reflect"
	"slices"
	"time"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/health"
	"github.com/oatlatch/oatlatch/internal/lookup"
	"github.com/oatlatch/oatlatch/internal/service"
)

// adopt publishes a view of the snapshot. Services that remain keep their
// slots' state: the tables only say where it should go.
func (e *Engine) adopt(s *config.Snapshot) {
	old := e.view.Load()
	if s == nil || old != nil && s.Version() <= old.version {
		return
	}
	v := &view{
		version:     s.Version(),
		key:         newHashKey(s.Manifest.FlowKey),
		services4:   make(map[uint64]*entry, len(s.Services)),
		services:    make(map[address]*entry, len(s.Services)),
		byID:        make(map[service.ID]*entry, len(s.Services)),
		quarantined: make(map[address]struct{}, len(s.Manifest.Quarantined)),
	}
	for i := range s.Services {
		en := e.adoptService(old, s, &s.Services[i])
		v.add(en)
	}
	slices.SortFunc(v.ordered, func(a, b *entry) int { return cmp.Compare(a.id, b.id) })
	for _, q := range s.Manifest.Quarantined {
		v.quarantined[address{q.Address, q.Protocol}] = struct{}{}
	}
	e.view.Store(v)
}

// adoptService returns the entry of the service, new or brought up to date.
func (e *Engine) adoptService(old *view, s *config.Snapshot, configured *service.Service) *entry {
	var en *entry
	if old != nil {
		en = old.byID[configured.ID]
	}
	if en == nil {
		return e.newEntry(s, configured)
	}
	unchanged := reflect.DeepEqual(en.configured, *configured)
	previous := en.configured
	en.configured, en.version = *configured, s.Version()
	maps.DeleteFunc(en.excluded, func(_ upstreamRef, until config.Version) bool { return until <= en.version })
	if unchanged && len(en.excluded) == 0 {
		return en
	}
	e.configure(en, s.Manifest.FlowKey)
	e.announceDraining(en, &previous)
	return en
}

func (e *Engine) newEntry(s *config.Snapshot, configured *service.Service) *entry {
	en := &entry{
		id:            configured.ID,
		configured:    *configured,
		version:       s.Version(),
		first:         s.Version(),
		excluded:      make(map[upstreamRef]config.Version),
		drainingSince: make(map[upstreamRef]time.Time),
		calibrations:  make(map[upstreamRef]calibration),
		health:        make(map[string]health.Upstream),
	}
	t := &slotTable{defaults: new([lookup.Slots]upstreamRef), targets: new([lookup.Slots]upstreamRef)}
	en.table.Store(t)
	e.configure(en, s.Manifest.FlowKey)
	e.edit(en, func(t *slotTable) { *t.defaults = en.wanted })
	e.greet(en)
	return en
}

// configure rebuilds the wanted table and publishes the upstreams.
func (e *Engine) configure(en *entry, key [16]byte) {
	built := lookup.Build(key, en.configured.Upstreams)
	e.edit(en, func(t *slotTable) {
		refs := make([]upstreamRef, len(en.configured.Upstreams))
		for i, u := range en.configured.Upstreams {
			refs[i] = t.intern(u.Name, u.PacketAddress)
			e.noteDraining(en, refs[i], u.State == service.AdminDraining)
		}
		for slot, i := range built {
			en.wanted[slot] = noUpstream
			if i != lookup.None {
				en.wanted[slot] = refs[i]
			}
		}
		t.idle = idleSeconds(&en.configured)
		t.steered = en.configured.Prefer == service.PreferBalance
	})
	e.publishLoads(en)
	e.retarget(en)
	en.dirty = true
}

// noteDraining keeps the time since which the upstream has been draining.
func (e *Engine) noteDraining(en *entry, ref upstreamRef, draining bool) {
	if !draining {
		delete(en.drainingSince, ref)
		return
	}
	if _, ok := en.drainingSince[ref]; !ok {
		en.drainingSince[ref] = e.now
	}
}

// defaultIdle applies when a service states no idle timeout.
const defaultIdle = 5 * time.Minute

func idleSeconds(s *service.Service) seconds {
	idle := s.IdleTimeout
	if idle <= 0 {
		idle = defaultIdle
	}
	return seconds(max(1, idle/time.Second))
}

// retarget computes the upstreams of new flows from the wanted table and the
// upstreams that may take flows.
func (e *Engine) retarget(en *entry) {
	old := en.table.Load()
	usable := en.usable(old)
	targets := new([lookup.Slots]upstreamRef)
	for slot := range targets {
		targets[slot] = alternative(&en.wanted, usable, slot)
	}
	if *targets == *old.targets {
		return
	}
	e.edit(en, func(t *slotTable) { t.targets = targets })
	en.dirty = true
}

// alternative returns the slot's wanted upstream or, when that takes no flows,
// the upstream of another slot that does.
func alternative(wanted *[lookup.Slots]upstreamRef, usable []bool, slot int) upstreamRef {
	i := slot
	for range maxAlternatives {
		if ref := wanted[i]; ref != noUpstream && usable[ref] {
			return ref
		}
		i = (i + alternativeStep) & lookup.SlotMask
	}
	return wanted[slot]
}

// changeUpstreams takes in the health view.
func (e *Engine) changeUpstreams(view health.View) {
	byService := make(map[service.ID]map[string]health.Upstream)
	for _, u := range view.Upstreams {
		if byService[u.Service] == nil {
			byService[u.Service] = make(map[string]health.Upstream)
		}
		byService[u.Service][u.Name] = u
	}
	for _, en := range e.entries() {
		en.health = byService[en.id]
		e.publishLoads(en)
		e.retarget(en)
	}
}
