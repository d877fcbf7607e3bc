package demo

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/oatlatch/oatlatch/internal/service"
	"github.com/oatlatch/oatlatch/internal/standin/fabric"
)

// ticksPerSecond is how often a second flows are opened.
const ticksPerSecond = 20

// flowID names a flow as callers and upstreams see it.
type flowID struct {
	source      netip.AddrPort
	destination netip.AddrPort
}

// flowLoad opens flows at a steady rate and sends a packet on each open flow
// once a packet interval, through to the end of the demo. An opening packet
// without an answer is repeated, as TCP does.
type flowLoad struct {
	fabric  *fabric.Fabric
	answers *answers

	mu      sync.Mutex
	opening []flowID
	flows   []flowID
	// ends has when each short flow ends; the others stay open.
	ends   map[flowID]time.Time
	opened int
	// perSecond is how many flows are opened on each service.
	perSecond int
	sent      uint64
	err       error
}

// run opens flows to the services in turn until ctx ends.
func (l *flowLoad) run(ctx context.Context, services []service.Service) {
	var duties sync.WaitGroup
	duties.Go(func() { l.open(ctx, services) })
	duties.Go(func() { l.keepAlive(ctx) })
	duties.Wait()
}

func (l *flowLoad) open(ctx context.Context, services []service.Service) {
	ticker := time.NewTicker(time.Second / ticksPerSecond)
	defer ticker.Stop()
	for number := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for range l.perSecond * len(services) / ticksPerSecond {
			s := services[number%len(services)]
			l.openOne(flowID{source: callerAddress(number), destination: s.Address}, number/len(services)%longFlowStride == 0)
			number++
		}
	}
}

func (l *flowLoad) openOne(f flowID, long bool) {
	l.mu.Lock()
	l.opened++
	l.opening = append(l.opening, f)
	if !long {
		l.ends[f] = time.Now().Add(shortFlowLife)
	}
	l.mu.Unlock()
	l.send(f, fabric.First)
}

// confirm moves answered flows to the open ones and repeats the opening
// packets of the others.
func (l *flowLoad) confirm() {
	l.mu.Lock()
	waiting := l.opening
	l.opening = nil
	l.mu.Unlock()
	for _, f := range waiting {
		answered := l.answers.has(f)
		l.mu.Lock()
		if answered {
			l.flows = append(l.flows, f)
		} else {
			l.opening = append(l.opening, f)
		}
		l.mu.Unlock()
		if answered {
			l.send(f, fabric.Middle)
		} else {
			l.send(f, fabric.First)
		}
	}
}

// keepAlive sends a packet on every open flow, spread over each interval.
func (l *flowLoad) keepAlive(ctx context.Context) {
	const rounds = 20
	ticker := time.NewTicker(packetInterval / rounds)
	defer ticker.Stop()
	for round := 0; ; round = (round + 1) % rounds {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if round == 0 {
			l.confirm()
			l.closeEnded()
		}
		flows := l.snapshot()
		for i := round; i < len(flows); i += rounds {
			l.send(flows[i], fabric.Middle)
		}
	}
}

// closeEnded sends the last packet of flows whose time is over.
func (l *flowLoad) closeEnded() {
	now := time.Now()
	var closing, staying []flowID
	l.mu.Lock()
	for _, f := range l.flows {
		if end, short := l.ends[f]; short && now.After(end) {
			closing = append(closing, f)
		} else {
			staying = append(staying, f)
		}
	}
	l.flows = staying
	l.mu.Unlock()
	for _, f := range closing {
		l.send(f, fabric.Last)
	}
}

func (l *flowLoad) send(f flowID, kind fabric.Kind) {
	err := l.fabric.Send(fabric.Packet{Source: f.source, Destination: f.destination, Kind: kind, Payload: []byte("watch")})
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.err = err
		return
	}
	l.sent++
}

func (l *flowLoad) snapshot() []flowID {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.flows[:len(l.flows):len(l.flows)]
}

// callerAddress returns a distinct source for each flow.
func callerAddress(number int) netip.AddrPort {
	const portsPerCaller = 1000
	caller := number / portsPerCaller
	address := netip.AddrFrom4([4]byte{198, 51, byte(caller >> 8), byte(caller)})
	return netip.AddrPortFrom(address, uint16(20_000+number%portsPerCaller))
}
