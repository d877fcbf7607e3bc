package flow

import (
	"fmt"

	"github.com/oatlatch/oatlatch/internal/health"
)

// Explanation describes step by step how packets of a flow are decided.
type Explanation struct {
	Key Key
	// Upstream is the name of the upstream if this host decides.
	Upstream string
	Steps    []string
}

func (x *Explanation) addStep(format string, args ...any) {
	x.Steps = append(x.Steps, fmt.Sprintf(format, args...))
}

// Explain describes the decision for a packet of the flow other than its first.
// It has no side effects.
func (e *Engine) Explain(k Key) Explanation {
	e.mu.Lock()
	defer e.mu.Unlock()
	x := Explanation{Key: k}
	v := e.serviceView.Load()
	if v == nil {
		x.addStep("no configuration adopted: publish one, or check the connections to the platform and the other hosts")
		return x
	}
	a := serviceAddress{k.Destination, k.Protocol}
	svc, ok := v.byAddress[a]
	if !ok {
		if _, ok := v.quarantined[a]; ok {
			x.addStep("configuration %d quarantines %s: its service has released it and it may not be reused yet", v.version, k.Destination)
			return x
		}
		x.addStep("configuration %d has no service at %s: check the address and the protocol in the service file", v.version, k.Destination)
		return x
	}
	x.addStep("configuration %d has service %s (%d) at %s", v.version, svc.configured.Name, svc.id, k.Destination)
	e.explainSlot(&x, svc, v.key.sum(&k, svc.id))
	return x
}

func (e *Engine) explainSlot(x *Explanation, svc *serviceState, id ID) {
	t := svc.table.Load()
	i := int(id & slotMask)
	s := t.slot(i)
	hosts := *e.hosts.Load()
	x.addStep("flow %016x is in slot %d, default upstream %s, new flows to %s", uint64(id), i, t.upstreamName(t.defaults[i]), t.upstreamName(t.targets[i]))
	if !t.ready {
		x.addStep("this host waits for the state of %d members and relays packets to them", len(svc.awaitingState))
	}
	shard := e.records.shard(id)
	shard.mu.Lock()
	r, found := shard.get(id)
	shard.mu.Unlock()
	if l := svc.loads.Load(); found && (r.service != svc.id || l != nil && l.gone(r.upstream)) {
		found = false // Decide removes such a record
	}
	if found {
		x.addStep("this host recorded upstream %s, last packet %d s ago", t.upstreamName(r.upstream), e.nowSeconds().since(r.lastSeen))
		x.Upstream = t.upstreamName(r.upstream)
	}
	switch {
	case s.mode == untracked && found:
		x.addStep("the slot is untracked: the flow goes to the recorded upstream")
	case s.mode == untracked:
		x.addStep("the slot is untracked: flows without a record go to the default")
		x.Upstream = t.upstreamName(t.defaults[i])
	case s.owner == selfRef:
		x.addStep("the slot is tracked in term %d and this host owns it (%s)", s.term, s.phase)
		if !found {
			x.addStep("without a record, a first packet goes to %s or a less loaded upstream, any other to the default", t.upstreamName(t.targets[i]))
		}
	case int(s.owner) < len(hosts):
		x.addStep("the slot is tracked in term %d: packets without a record go to its owner %s", s.term, hosts[s.owner].id)
	default:
		x.addStep("the slot is tracked in term %d and waits for a new owner", s.term)
	}
	if h, ok := svc.health[x.Upstream]; ok && h.State != health.Up {
		x.addStep("upstream %s: %s", x.Upstream, h.Reason)
	}
}

// upstreamName returns the name of the upstream.
func (t *slotTable) upstreamName(ref upstreamRef) string {
	if int(ref) >= len(t.upstreams) {
		return "none"
	}
	return t.upstreams[ref].name
}

// String returns the phase in words for Explain.
func (p phase) String() string {
	return [...]string{"not owner", "collecting", "collecting again", "active", "releasing"}[p]
}
