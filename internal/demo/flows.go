package demo

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/oatlatch/oatlatch/internal/service"
	"github.com/oatlatch/oatlatch/internal/standin/fabric"
)

// callerFlow is one flow that a caller holds open.
type callerFlow struct {
	service     string
	source      netip.AddrPort
	destination netip.AddrPort
}

// flowLoad opens flows at a steady rate and sends a packet on each once a
// packet interval, through to the end of the demo.
type flowLoad struct {
	fabric *fabric.Fabric

	mu    sync.Mutex
	flows []callerFlow
	sent  uint64
	err   error
}

// run opens flows to the services in turn until ctx ends.
func (l *flowLoad) run(ctx context.Context, services []service.Service) {
	var duties sync.WaitGroup
	duties.Go(func() { l.open(ctx, services) })
	duties.Go(func() { l.keepAlive(ctx) })
	duties.Wait()
}

func (l *flowLoad) open(ctx context.Context, services []service.Service) {
	ticker := time.NewTicker(time.Second / 20)
	defer ticker.Stop()
	limit := maxFlowsOfService * len(services)
	for number := 0; number < limit; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for range flowsPerSecond / 20 * len(services) {
			s := services[number%len(services)]
			l.openOne(callerFlow{service: s.Name, source: callerAddress(number), destination: s.Address})
			number++
		}
	}
}

func (l *flowLoad) openOne(f callerFlow) {
	l.send(f, fabric.First)
	l.send(f, fabric.Middle)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.flows = append(l.flows, f)
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
		flows := l.snapshot()
		for i := round; i < len(flows); i += rounds {
			l.send(flows[i], fabric.Middle)
		}
	}
}

func (l *flowLoad) send(f callerFlow, kind fabric.Kind) {
	err := l.fabric.Send(fabric.Packet{Source: f.source, Destination: f.destination, Kind: kind, Payload: []byte("watch")})
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.err = err
		return
	}
	l.sent++
}

func (l *flowLoad) snapshot() []callerFlow {
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
