package flow_test

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/oatlatch/oatlatch/internal/flow"
	"github.com/oatlatch/oatlatch/internal/service"
)

// oracle checks the delivered packets: a flow must stay on its upstream as long as
// that is alive, and the upstream must belong to the flow's service.
type oracle struct {
	// serves has the service addresses, current or most recent, for which an upstream
	// may receive packets.
	serves map[netip.AddrPort]map[netip.AddrPort]bool
	// dead has the upstreams whose flows may move.
	dead         map[netip.AddrPort]bool
	upstream     map[flow.Key]netip.AddrPort
	broken       map[flow.Key]string
	misdelivered int
	// lastNewFlow is when an upstream last received a new flow.
	lastNewFlow map[netip.AddrPort]time.Time
}

func (o *oracle) record(now time.Time, key flow.Key, to netip.AddrPort) {
	if !o.serves[to][key.Destination] {
		o.misdelivered++
	}
	if previous, ok := o.upstream[key]; !ok || o.dead[previous] {
		o.upstream[key] = to
		o.lastNewFlow[to] = now
	} else if previous != to {
		o.broken[key] = fmt.Sprintf("%v moved from %v to %v at %v", key, previous, to, now.Sub(epoch))
	}
}

// assignAddress lets only the service's own upstreams receive packets for its
// address.
func (o *oracle) assignAddress(s *service.Service) {
	for upstream, addresses := range o.serves {
		own := slices.ContainsFunc(s.Upstreams, func(u service.Upstream) bool { return u.PacketAddress == upstream })
		if !own {
			delete(addresses, s.Address)
		}
	}
}
