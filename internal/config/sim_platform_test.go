package config_test

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/platform/fake"
	"github.com/oatlatch/oatlatch/internal/publish"
	"github.com/oatlatch/oatlatch/internal/service"
)

// count notes a platform call.
func (h *simHost) count() {
	h.calls++
	h.sim.totalCalls++
	h.sim.calls[int(h.sim.now.Sub(h.sim.start)/time.Second)]++
}

func (h *simHost) reads() *fake.Store {
	if h.stale != nil {
		return h.stale
	}
	return h.sim.store
}

func (h *simHost) readPlatform(a config.ReadPlatform) {
	h.count()
	if h.cut {
		h.sim.after(h.sim.failureDelay(), h.deliver(config.PlatformFailed{Err: errUnreachable}))
		return
	}
	value := h.reads().Get(config.HeadKey)
	if a.Index == 0 || value.Index != a.Index {
		h.sim.after(2*h.sim.latency(), h.deliver(config.PlatformRead{Head: value.Data, Revision: value.Revision, Index: value.Index}))
		return
	}
	h.wait(a.Index)
}

// wait holds a watch until the head changes or its time ends.
func (h *simHost) wait(index uint64) {
	done := false
	incarnation := h.self.Incarnation
	answer := func() {
		if done || !h.up || h.self.Incarnation != incarnation {
			return
		}
		done = true
		h.waiting = nil
		if h.cut || h.deaf {
			h.step(config.PlatformFailed{Err: errUnreachable})
			return
		}
		value := h.reads().Get(config.HeadKey)
		h.step(config.PlatformRead{Head: value.Data, Revision: value.Revision, Index: value.Index})
	}
	h.waiting = answer
	h.sim.after(watchWait, answer)
}

// wakeWatches answers the watches after the head has changed.
func (s *sim) wakeWatches() {
	for _, h := range s.hosts {
		if h.waiting != nil && !h.cut && !h.deaf && h.stale == nil {
			s.after(s.latency(), h.waiting)
		}
	}
}

// failureDelay is short for a refused connection and long for lost packets.
func (s *sim) failureDelay() time.Duration {
	if s.refuses || s.rng.IntN(2) == 0 {
		return oneWay
	}
	return callDeadline
}

func (h *simHost) fetchFromPlatform(a config.Fetch) {
	if h.cut {
		h.count()
		h.sim.after(h.sim.failureDelay(), h.deliver(config.FetchFailed{Source: a.Source, Err: errUnreachable}))
		return
	}
	var pages []config.PageData
	for i, ref := range a.Refs {
		h.sim.after(time.Duration(i)*callPace, h.count)
		value := h.reads().Get(ref.Key())
		if !value.Exists() {
			h.sim.after(2*oneWay, h.deliver(config.FetchFailed{Source: a.Source, Err: errUnreachable}))
			return
		}
		pages = append(pages, config.PageData{Ref: ref, Data: value.Data})
	}
	h.sim.after(time.Duration(len(a.Refs))*callPace+2*oneWay, h.deliver(config.Fetched{Source: a.Source, Pages: pages}))
}

func (h *simHost) confirm(a config.Confirm) {
	h.count()
	if h.cut {
		h.sim.after(oneWay, h.deliver(config.ConfirmFailed{Err: errUnreachable}))
		return
	}
	h.count()
	data, err := config.EncodeConfirmation(config.Confirmation{Host: h.self.ID, Version: a.Version})
	if err != nil {
		h.sim.fail("%v", err)
	}
	key := config.AdoptedKey(h.self.ID)
	h.sim.store.CompareAndSwap(key, data, h.sim.store.Get(key).Revision)
	h.sim.after(2*oneWay, h.deliver(config.Confirmed(a)))
}

func (h *simHost) restore(a config.Restore) {
	h.count()
	store := h.sim.store
	if h.cut || store.Get(config.HeadKey).Revision != a.Revision {
		h.sim.after(2*oneWay, h.deliver(config.RestoreFailed{Err: errUnreachable}))
		return
	}
	for _, ref := range a.Bundle.Head.Pages {
		page, _ := a.Bundle.Page(ref)
		h.count()
		store.CompareAndSwap(ref.Key(), page.Data, 0)
	}
	h.count()
	store.CompareAndSwap(config.HeadKey, a.Bundle.HeadData, a.Revision)
	h.sim.after(2*oneWay, h.deliver(config.Restored{}))
	h.sim.wakeWatches()
}

// publish publishes the services at once and returns the version.
func (s *sim) publish(services ...service.Service) config.Version {
	s.published++
	request := publish.Request{ID: fmt.Sprintf("publication-%d", s.published), Services: services, At: s.now, Above: s.above}
	result, err := publishTo(s.store, request)
	if err != nil {
		s.fail("publish: %v", err)
	}
	s.wakeWatches()
	return result.Version
}

// publishTo runs a machine against the store without faults.
func publishTo(store *fake.Store, request publish.Request) (publish.Result, error) {
	machine := publish.NewMachine(request)
	action := machine.Start()
	for {
		switch a := action.(type) {
		case publish.Finish:
			return a.Result, a.Err
		case publish.ReadState:
			action = machine.Step(publish.StateRead{State: readState(store)})
		case publish.WritePages:
			for _, page := range a.Pages {
				store.CompareAndSwap(page.Ref.Key(), page.Data, 0)
			}
			action = machine.Step(publish.PagesWritten{})
		case publish.Swap:
			action = machine.Step(publish.Swapped{Written: store.CompareAndSwap(config.HeadKey, a.Head, a.Revision)})
		}
	}
}

func readState(store *fake.Store) publish.State {
	value := store.Get(config.HeadKey)
	if !value.Exists() {
		return publish.State{}
	}
	head, err := config.DecodeHead(value.Data)
	if err != nil {
		panic(err)
	}
	var pages []config.PageData
	for _, ref := range head.Pages {
		pages = append(pages, config.PageData{Ref: ref, Data: store.Get(ref.Key()).Data})
	}
	bundle, err := config.NewBundle(value.Data, pages, nil)
	if err != nil {
		panic(err)
	}
	return publish.State{Bundle: bundle, Revision: value.Revision}
}

// svc returns a service; number decides its address and weight its contents.
func svc(number, upstreams, weight int) service.Service {
	s := service.Service{
		Name:     fmt.Sprintf("service-%04d", number),
		Region:   "nz-north",
		Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, byte(number >> 8), byte(number)}), 443),
		Protocol: service.TCP, Prefer: service.PreferFlows, DeviationThreshold: 0.25,
		DrainLimit: time.Hour, IdleTimeout: 5 * time.Minute, SlowStart: 30 * time.Second,
		LoadPath: "/load", HealthPath: "/health",
	}
	for i := range upstreams {
		addr := netip.AddrFrom4([4]byte{10, byte(number >> 8), byte(number), byte(i)})
		s.Upstreams = append(s.Upstreams, service.Upstream{
			Name: fmt.Sprintf("upstream-%d", i), DataCentre: "akl-a",
			Address: netip.AddrPortFrom(addr, 8080), PacketAddress: netip.AddrPortFrom(addr, 6081),
			Weight: uint32(weight), Slots: 2, Connections: 2000, State: service.AdminActive,
		})
	}
	return s
}
