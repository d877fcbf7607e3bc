package flow_test

import (
	"net/netip"
	"time"

	"github.com/dchest/siphash"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/flow"
	"github.com/oatlatch/oatlatch/internal/service"
	"github.com/oatlatch/oatlatch/internal/slottable"
)

// baseline is a balancer without coordination between hosts, for comparison. With
// modulo it selects upstreams by hash modulo their number; otherwise by a lookup
// table and a cache of the flows that the host has seen.
type baseline struct {
	modulo   bool
	services map[netip.AddrPort]*baselineService
	cache    map[flow.Key]netip.AddrPort
}

type baselineService struct {
	id     service.ID
	active []service.Upstream
	all    []service.Upstream
	table  *slottable.Table
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
	for _, configured := range s.Services {
		svc := &baselineService{id: configured.ID, all: configured.Upstreams, table: slottable.Build(s.Manifest.FlowKey, configured.Upstreams)}
		for _, u := range configured.Upstreams {
			if u.State == service.AdminActive {
				svc.active = append(svc.active, u)
			}
		}
		b.services[configured.Address] = svc
	}
}

func (b *baseline) Decide(_ time.Time, p *flow.Packet) flow.Decision {
	svc := b.services[p.Key.Destination]
	source := p.Key.Source.Addr().As4()
	hash := siphash.Hash(uint64(svc.id), uint64(p.Key.Source.Port()), source[:])
	d := flow.Decision{Verdict: flow.Forward, Service: svc.id}
	if b.modulo {
		d.Target = svc.active[hash%uint64(len(svc.active))].PacketAddress
		return d
	}
	if target, ok := b.cache[p.Key]; ok {
		d.Target = target
		return d
	}
	d.Target = svc.all[svc.table[hash&slottable.SlotMask]].PacketAddress
	b.cache[p.Key] = d.Target
	return d
}
