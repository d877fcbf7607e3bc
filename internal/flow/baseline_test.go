package flow_test

import (
	"net/netip"
	"time"

	"github.com/dchest/siphash"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/flow"
	"github.com/oatlatch/oatlatch/internal/lookup"
	"github.com/oatlatch/oatlatch/internal/service"
)

// baseline is a host that knows nothing but its own configuration: with modulo,
// flows go by hash modulo the number of upstreams; without, by a lookup table
// and a cache of the flows that the host has seen.
type baseline struct {
	modulo   bool
	services map[netip.AddrPort]*baselineService
	cache    map[flow.Key]netip.AddrPort
}

type baselineService struct {
	id     service.ID
	active []service.Upstream
	all    []service.Upstream
	table  *lookup.Table
}

func newBaseline(modulo bool) *baseline {
	return &baseline{modulo: modulo, services: make(map[netip.AddrPort]*baselineService), cache: make(map[flow.Key]netip.AddrPort)}
}

func (b *baseline) Step(_ time.Time, event flow.Event) []flow.Action {
	if adopted, ok := event.(flow.Adopted); ok {
		b.adopt(adopted.Snapshot)
	}
	return nil
}

func (b *baseline) adopt(s *config.Snapshot) {
	for _, sv := range s.Services {
		bs := &baselineService{id: sv.ID, all: sv.Upstreams, table: lookup.Build(s.Manifest.FlowKey, sv.Upstreams)}
		for _, u := range sv.Upstreams {
			if u.State == service.AdminActive {
				bs.active = append(bs.active, u)
			}
		}
		b.services[sv.Address] = bs
	}
}

func (b *baseline) Decide(_ time.Time, p *flow.Packet) flow.Decision {
	bs := b.services[p.Key.Destination]
	source := p.Key.Source.Addr().As4()
	hash := siphash.Hash(uint64(bs.id), uint64(p.Key.Source.Port()), source[:])
	d := flow.Decision{Verdict: flow.Forward, Service: bs.id}
	if b.modulo {
		d.Target = bs.active[hash%uint64(len(bs.active))].PacketAddress
		return d
	}
	if target, ok := b.cache[p.Key]; ok {
		d.Target = target
		return d
	}
	d.Target = bs.all[bs.table[hash&lookup.SlotMask]].PacketAddress
	b.cache[p.Key] = d.Target
	return d
}
