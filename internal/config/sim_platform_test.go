package config_test

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/consul/fake"
	"github.com/oatlatch/oatlatch/internal/publish"
	"github.com/oatlatch/oatlatch/internal/service"
)

// countPlatformCall counts a platform call of the host.
func (h *simHost) countPlatformCall() {
	h.calls++
	h.sim.totalPlatformCalls++
	h.sim.callsBySecond[int(h.sim.now.Sub(h.sim.start)/time.Second)]++
}

// platformStore returns the store that answers the host's reads.
func (h *simHost) platformStore() *fake.Store {
	if h.staleStore != nil {
		return h.staleStore
	}
	return h.sim.store
}

func (h *simHost) readPlatform(a config.ReadPlatform) {
	h.countPlatformCall()
	if h.platformUnreachable {
		h.sim.after(h.sim.failureDelay(), h.deliverFunc(config.PlatformReadFailed{Err: errUnreachable}))
		return
	}
	value := h.platformStore().Get(config.HeadKey)
	if a.Index == 0 || value.Index != a.Index {
		h.sim.after(2*h.sim.latency(), h.deliverFunc(config.PlatformRead{Head: value.Data, Revision: value.Revision, Index: value.Index}))
		return
	}
	h.holdWatch(a.Index)
}

// holdWatch delays the answer to a watch until the head changes or the watch times out.
func (h *simHost) holdWatch(index uint64) {
	done := false
	incarnation := h.self.Incarnation
	answer := func() {
		if done || !h.running || h.self.Incarnation != incarnation {
			return
		}
		done = true
		h.pendingWatch = nil
		if h.platformUnreachable || h.watchBroken {
			h.step(config.PlatformReadFailed{Err: errUnreachable})
			return
		}
		value := h.platformStore().Get(config.HeadKey)
		h.step(config.PlatformRead{Head: value.Data, Revision: value.Revision, Index: value.Index})
	}
	h.pendingWatch = answer
	h.sim.after(watchTimeout, answer)
}

// answerWatches answers the pending watches. It is called after the head has changed.
func (s *sim) answerWatches() {
	for _, h := range s.hosts {
		if h.pendingWatch != nil && !h.platformUnreachable && !h.watchBroken && h.staleStore == nil {
			s.after(s.latency(), h.pendingWatch)
		}
	}
}

// failureDelay returns the time after which a platform call fails: a short time if the connection
// is refused, the timeout if packets are lost.
func (s *sim) failureDelay() time.Duration {
	if s.failImmediately || s.rng.IntN(2) == 0 {
		return minLatency
	}
	return platformTimeout
}

func (h *simHost) fetchFromPlatform(a config.Fetch) {
	if h.platformUnreachable {
		h.countPlatformCall()
		h.sim.after(h.sim.failureDelay(), h.deliverFunc(config.FetchFailed{Source: a.Source, Err: errUnreachable}))
		return
	}
	var pages []config.PageData
	for i, ref := range a.Refs {
		h.sim.after(time.Duration(i)*platformCallInterval, h.countPlatformCall)
		value := h.platformStore().Get(ref.Key())
		if !value.Exists() {
			h.sim.after(2*minLatency, h.deliverFunc(config.FetchFailed{Source: a.Source, Err: errUnreachable}))
			return
		}
		pages = append(pages, config.PageData{Ref: ref, Data: value.Data})
	}
	h.sim.after(time.Duration(len(a.Refs))*platformCallInterval+2*minLatency, h.deliverFunc(config.Fetched{Source: a.Source, Pages: pages}))
}

func (h *simHost) confirm(a config.Confirm) {
	h.countPlatformCall()
	if h.platformUnreachable {
		h.sim.after(minLatency, h.deliverFunc(config.ConfirmFailed{Err: errUnreachable}))
		return
	}
	h.countPlatformCall()
	data, err := config.EncodeConfirmation(config.Confirmation{Host: h.self.ID, Version: a.Version})
	if err != nil {
		h.sim.fail("%v", err)
	}
	key := config.ConfirmationKey(h.self.ID)
	h.sim.store.CompareAndSwap(key, data, h.sim.store.Get(key).Revision)
	h.sim.after(2*minLatency, h.deliverFunc(config.Confirmed(a)))
}

func (h *simHost) restore(a config.Restore) {
	h.countPlatformCall()
	store := h.sim.store
	if h.platformUnreachable || store.Get(config.HeadKey).Revision != a.Revision {
		h.sim.after(2*minLatency, h.deliverFunc(config.RestoreFailed{Err: errUnreachable}))
		return
	}
	for _, ref := range a.Bundle.Head.Pages {
		page, _ := a.Bundle.Page(ref)
		h.countPlatformCall()
		store.CompareAndSwap(ref.Key(), page.Data, 0)
	}
	h.countPlatformCall()
	store.CompareAndSwap(config.HeadKey, a.Bundle.HeadData, a.Revision)
	h.sim.after(2*minLatency, h.deliverFunc(config.Restored{}))
	h.sim.answerWatches()
}

// publish publishes the services without simulated delay and returns the version.
func (s *sim) publish(services ...service.Service) config.Version {
	s.publications++
	request := publish.Request{ID: fmt.Sprintf("publication-%d", s.publications), Services: services, At: s.now, AboveVersion: s.aboveVersion}
	result, err := publishTo(s.store, request)
	if err != nil {
		s.fail("publish: %v", err)
	}
	s.answerWatches()
	return result.Version
}

// publishTo runs a publication against the store without faults.
func publishTo(store *fake.Store, request publish.Request) (publish.Result, error) {
	machine := publish.NewStateMachine(request)
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
		case publish.SwapHead:
			action = machine.Step(publish.Swapped{Written: store.CompareAndSwap(config.HeadKey, a.Head, a.Revision)})
		}
	}
}

// readState returns the published configuration and the revision of its head.
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

// newService returns a service whose name and addresses depend on number. Different weights give
// it different contents.
func newService(number, upstreams, weight int) service.Service {
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
