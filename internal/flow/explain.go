package flow

import (
	"fmt"

	"github.com/oatlatch/oatlatch/internal/health"
)

// Explanation says step by step how packets of a flow are decided.
type Explanation struct {
	Key Key
	// Upstream is the name of the upstream, if this host decides.
	Upstream string
	Steps    []string
}

func (x *Explanation) add(format string, args ...any) {
	x.Steps = append(x.Steps, fmt.Sprintf(format, args...))
}

// Explain explains the decision for a later packet of the flow. It changes nothing.
func (e *Engine) Explain(k Key) Explanation {
	e.mu.Lock()
	defer e.mu.Unlock()
	x := Explanation{Key: k}
	v := e.view.Load()
	if v == nil {
		x.add("no configuration adopted: publish one, or check the connections to the platform and the other hosts")
		return x
	}
	a := address{k.Destination, k.Protocol}
	en, ok := v.services[a]
	if !ok {
		if _, ok := v.quarantined[a]; ok {
			x.add("configuration %d quarantines %s: its service has released it and it may not be reused yet", v.version, k.Destination)
			return x
		}
		x.add("configuration %d has no service at %s: check the address and the protocol in the service file", v.version, k.Destination)
		return x
	}
	x.add("configuration %d has service %s (%d) at %s", v.version, en.configured.Name, en.id, k.Destination)
	e.explainSlot(&x, en, v.key.sum(&k, en.id))
	return x
}

func (e *Engine) explainSlot(x *Explanation, en *entry, id ID) {
	t := en.table.Load()
	i := int(id & slotMask)
	s := t.slot(i)
	hosts := *e.hosts.Load()
	x.add("flow %016x is in slot %d, default upstream %s, new flows to %s", uint64(id), i, t.name(t.defaults[i]), t.name(t.targets[i]))
	if !t.ready {
		x.add("this host waits for the state of %d members and passes packets on to them", len(en.greeting))
	}
	shard := e.records.shard(id)
	shard.mu.Lock()
	r, found := shard.peek(id)
	shard.mu.Unlock()
	if found {
		x.add("this host recorded upstream %s, last packet %d s ago", t.name(r.upstream), e.nowSeconds()-r.seen)
		x.Upstream = t.name(r.upstream)
	}
	switch {
	case s.mode == plain:
		x.add("the slot is plain: every flow goes to the default")
		x.Upstream = t.name(t.defaults[i])
	case s.owner == selfRef:
		x.add("the slot is tracked in term %d and this host owns it (%s)", s.term, s.phase)
		if !found {
			x.add("without a record, a first packet goes to %s or a less loaded upstream, any other to the default", t.name(t.targets[i]))
		}
	case int(s.owner) < len(hosts):
		x.add("the slot is tracked in term %d: packets without a record go to its owner %s", s.term, hosts[s.owner].id)
	default:
		x.add("the slot is tracked in term %d and waits for a new owner", s.term)
	}
	if h, ok := en.health[x.Upstream]; ok && h.State != health.Up {
		x.add("upstream %s: %s", x.Upstream, h.Reason)
	}
}

// name returns the upstream's name.
func (t *slotTable) name(ref upstreamRef) string {
	if int(ref) >= len(t.upstreams) {
		return "none"
	}
	return t.upstreams[ref].name
}

// String returns the phase for operators.
func (p phase) String() string {
	return [...]string{"not owner", "collecting", "collecting again", "active", "releasing"}[p]
}
