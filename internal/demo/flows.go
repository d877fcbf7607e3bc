package demo

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/oatlatch/oatlatch/internal/service"
	"github.com/oatlatch/oatlatch/internal/standin/fabric"
)

// ticksPerSecond is the number of batches of new flows in a second.
const ticksPerSecond = 20

// flowID identifies a flow by the caller's address and the service's virtual address.
type flowID struct {
	source      netip.AddrPort
	destination netip.AddrPort
}

// flowLoad opens flows at a constant rate and sends a packet on each established flow
// once per packetInterval. It retransmits the opening packet of a flow until the flow
// is answered, as TCP does.
type flowLoad struct {
	fabric   *fabric.Fabric
	answered *answeredFlows

	mu sync.Mutex
	// unanswered holds the flows whose opening packet no upstream has received.
	unanswered []flowID
	// established holds the answered flows that are not closed.
	established []flowID
	// closeTimes maps each short flow to the time when it is closed. Flows without an entry stay open.
	closeTimes  map[flowID]time.Time
	openedCount int
	// flowsPerSecond is the rate of new flows for each service.
	flowsPerSecond int
	// sent counts the packets sent.
	sent uint64
	// err is the last error of sending a packet.
	err error
}

// run opens flows to the services in turn and sends packets on them until ctx ends.
func (l *flowLoad) run(ctx context.Context, services []service.Service) {
	var loops sync.WaitGroup
	loops.Go(func() { l.openFlows(ctx, services) })
	loops.Go(func() { l.sendPackets(ctx) })
	loops.Wait()
}

// openFlows opens flows at the configured rate until ctx ends. One in longFlowEvery flows
// of each service is long.
func (l *flowLoad) openFlows(ctx context.Context, services []service.Service) {
	ticker := time.NewTicker(time.Second / ticksPerSecond)
	defer ticker.Stop()
	for number := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for range l.flowsPerSecond * len(services) / ticksPerSecond {
			s := services[number%len(services)]
			l.openFlow(flowID{source: callerAddress(number), destination: s.Address}, number/len(services)%longFlowEvery == 0)
			number++
		}
	}
}

// openFlow sends the opening packet of a flow. A flow that is not long closes after
// shortFlowLifetime.
func (l *flowLoad) openFlow(f flowID, long bool) {
	l.mu.Lock()
	l.openedCount++
	l.unanswered = append(l.unanswered, f)
	if !long {
		l.closeTimes[f] = time.Now().Add(shortFlowLifetime)
	}
	l.mu.Unlock()
	l.send(f, fabric.SYN)
}

// processAnswers moves answered flows to the established ones and retransmits the opening
// packets of the others.
func (l *flowLoad) processAnswers() {
	l.mu.Lock()
	unanswered := l.unanswered
	l.unanswered = nil
	l.mu.Unlock()
	for _, f := range unanswered {
		isAnswered := l.answered.contains(f)
		l.mu.Lock()
		if isAnswered {
			l.established = append(l.established, f)
		} else {
			l.unanswered = append(l.unanswered, f)
		}
		l.mu.Unlock()
		if isAnswered {
			l.send(f, fabric.Data)
		} else {
			l.send(f, fabric.SYN)
		}
	}
}

// sendPackets sends a packet on every established flow once per packetInterval until ctx
// ends. It spreads the packets over the interval in rounds.
func (l *flowLoad) sendPackets(ctx context.Context) {
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
			l.processAnswers()
			l.closeExpired()
		}
		flows := l.establishedFlows()
		for i := round; i < len(flows); i += rounds {
			l.send(flows[i], fabric.Data)
		}
	}
}

// closeExpired closes the short flows whose lifetime is over by sending their last packet.
func (l *flowLoad) closeExpired() {
	now := time.Now()
	var closing, remaining []flowID
	l.mu.Lock()
	for _, f := range l.established {
		if end, short := l.closeTimes[f]; short && now.After(end) {
			closing = append(closing, f)
		} else {
			remaining = append(remaining, f)
		}
	}
	l.established = remaining
	l.mu.Unlock()
	for _, f := range closing {
		l.send(f, fabric.FIN)
	}
}

func (l *flowLoad) send(f flowID, kind fabric.PacketKind) {
	err := l.fabric.Send(fabric.Packet{Source: f.source, Destination: f.destination, Kind: kind, Payload: []byte("watch")})
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.err = err
		return
	}
	l.sent++
}

// establishedFlows returns the established flows. The capacity of the result is limited
// to its length, so that appending to it does not write to the shared array.
func (l *flowLoad) establishedFlows() []flowID {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.established[:len(l.established):len(l.established)]
}

// callerAddress returns a distinct source for each flow.
func callerAddress(number int) netip.AddrPort {
	const portsPerCaller = 1000
	caller := number / portsPerCaller
	address := netip.AddrFrom4([4]byte{198, 51, byte(caller >> 8), byte(caller)})
	return netip.AddrPortFrom(address, uint16(20_000+number%portsPerCaller))
}
