package flow_test

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/oatlatch/oatlatch/internal/flow"
	"github.com/oatlatch/oatlatch/internal/service"
)

// oracle knows the only rule: a flow stays on its upstream while that lives,
// and that upstream is of the flow's service.
type oracle struct {
	// serves has the addresses that an upstream's service has, or was the last to have.
	serves   map[netip.AddrPort]map[netip.AddrPort]bool
	dead     map[netip.AddrPort]bool
	upstream map[flow.Key]netip.AddrPort
	broken   map[flow.Key]string
	wrong    int
	// last is when an upstream got its last new flow.
	last map[netip.AddrPort]time.Time
}

func (o *oracle) deliver(now time.Time, key flow.Key, to netip.AddrPort) {
	if !o.serves[to][key.Destination] {
		o.wrong++
	}
	if was, ok := o.upstream[key]; !ok || o.dead[was] {
		o.upstream[key] = to
		o.last[to] = now
	} else if was != to {
		o.broken[key] = fmt.Sprintf("%v moved from %v to %v at %v", key, was, to, now.Sub(epoch))
	}
}

// take ends the right of all other services to the service's address.
func (o *oracle) take(s *service.Service) {
	for upstream, addresses := range o.serves {
		own := slices.ContainsFunc(s.Upstreams, func(u service.Upstream) bool { return u.PacketAddress == upstream })
		if !own {
			delete(addresses, s.Address)
		}
	}
}
