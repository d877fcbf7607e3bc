package flow_test

import (
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/oatlatch/oatlatch/internal/flow"
	"github.com/oatlatch/oatlatch/internal/service"

	"github.com/oatlatch/oatlatch/internal/standin/fixed"
)

func TestMain(m *testing.M) {
	fixed.Apply(fixed.Options{Seed: 20261203})
	os.Exit(m.Run())
}

// repeatWindow is the time within which the network may repeat a first packet.
const repeatWindow = 3 * time.Second

// machine drives a cluster by random actions.
type machine struct {
	*cluster
	flows []flow.Key
	// opened is when a flow's first packet was sent.
	opened map[flow.Key]time.Time
	// used is when a flow's last packet was sent.
	used map[flow.Key]time.Time
	// crashes allows one crash in the run.
	crashes bool
	stopped int
}

func (m *machine) send(t *rapid.T, k flow.Key, first bool) {
	m.used[k] = m.now
	n := m.nodes[rapid.IntRange(0, len(m.nodes)-1).Draw(t, "host")]
	m.packet(n, flow.Packet{Key: k, First: first && k.Protocol == service.TCP})
}

func (m *machine) open(t *rapid.T) {
	for range rapid.IntRange(1, 20).Draw(t, "flows") {
		k := key(&m.desks[rapid.IntRange(0, len(m.desks)-1).Draw(t, "service")], len(m.flows))
		m.flows = append(m.flows, k)
		m.opened[k] = m.now
		m.send(t, k, true)
	}
}

func (m *machine) use(t *rapid.T) {
	if len(m.flows) == 0 {
		return
	}
	for range rapid.IntRange(1, 30).Draw(t, "packets") {
		k := m.flows[rapid.IntRange(0, len(m.flows)-1).Draw(t, "flow")]
		if m.over(k) {
			continue
		}
		if _, ok := m.oracle.upstream[k]; !ok {
			m.opened[k] = m.now
			m.send(t, k, true)
			continue
		}
		repeat := m.now.Sub(m.opened[k]) < repeatWindow && m.known(k, true) && rapid.IntRange(0, 3).Draw(t, "repeat") == 0
		m.send(t, k, repeat)
	}
}

// known reports whether a host is alive that recorded the flow by such a packet.
// A first packet that only crashed hosts saw is new to the others when it comes
// again, and so is any UDP packet of a flow that only crashed hosts saw.
func (m *machine) known(k flow.Key, first bool) bool {
	return slices.ContainsFunc(m.trace[k], func(d traced) bool {
		recorded := d.decision.Verdict == flow.Forward || d.decision.Relay.Kind == flow.RelayRecord
		return recorded && d.first == first && m.find(d.host).alive
	})
}

// over reports whether the flow was silent for the idle timeout or lost in a crash.
func (m *machine) over(k flow.Key) bool {
	lost := m.crashes && k.Protocol == service.UDP && !m.known(k, false)
	return lost || m.now.Sub(m.used[k]) >= m.desks[0].IdleTimeout
}

func (m *machine) wait(t *rapid.T) {
	m.run(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
}

// change publishes a changed service file.
func (m *machine) change(t *rapid.T) {
	d := &m.desks[rapid.IntRange(0, len(m.desks)-1).Draw(t, "service")]
	d.Upstreams = slices.Clone(d.Upstreams)
	u := &d.Upstreams[rapid.IntRange(0, len(d.Upstreams)-1).Draw(t, "upstream")]
	switch rapid.IntRange(0, 3).Draw(t, "change") {
	case 0:
		u.State = service.AdminDraining
	case 1:
		u.State = service.AdminActive
	case 2:
		u.Weight = uint32(rapid.IntRange(1, 4).Draw(t, "weight"))
	case 3:
		if len(d.Upstreams) < 9 {
			d.Upstreams = append(d.Upstreams, upstreamOf(d.ID, len(d.Upstreams)))
		}
	}
	m.publish(m.uneven)
}

func (m *machine) changeHosts(t *rapid.T) {
	n := m.nodes[rapid.IntRange(0, len(m.nodes)-1).Draw(t, "host")]
	live := 0
	for _, n := range m.nodes {
		if n.alive && n.serving {
			live++
		}
	}
	switch kind := rapid.IntRange(0, 2).Draw(t, "kind"); {
	case kind == 0 && len(m.nodes) < 8:
		m.join([]string{"akl-a", "akl-b", "ham-a"}[len(m.nodes)%3])
	case kind == 1 && n.alive && n.serving && live > 2:
		m.leave(n)
	case kind == 2 && n.alive && n.serving && live > 3 && m.crashes && m.stopped == 0:
		m.stopped++
		m.crash(n)
	}
}

// check fails the run on the first packet on a wrong upstream.
func (m *machine) check(t *rapid.T) {
	for _, k := range slices.SortedFunc(maps.Keys(m.oracle.broken), func(a, b flow.Key) int { return a.Source.Compare(b.Source) }) {
		for _, d := range m.trace[k] {
			t.Logf("%v %s first=%v %+v: %s", d.at, d.host, d.first, d.decision, d.note)
		}
		t.Fatalf("%s", m.oracle.broken[k])
	}
	if m.oracle.wrong > 0 {
		t.Fatalf("%d packets reached a service not their own", m.oracle.wrong)
	}
}

// finish lets the cluster come to rest and checks that every flow is served.
func (m *machine) finish(t *rapid.T) {
	m.run(20 * time.Second)
	for _, k := range m.flows {
		if _, ok := m.oracle.upstream[k]; !ok || m.over(k) {
			continue
		}
		lost := m.lostPackets()
		m.spray(flow.Packet{Key: k})
		m.run(time.Second)
		if m.lostPackets() != lost {
			t.Fatalf("%v is dropped at rest: %v", k, m.drops)
		}
	}
	m.check(t)
}

func runMachine(t *rapid.T, f faults, crashes bool) {
	calls := desk(3, 3, service.PreferFlows)
	calls.Protocol = service.UDP
	desks := []service.Service{desk(1, 5, service.PreferFlows), desk(2, 4, service.PreferBalance), calls}
	m := &machine{cluster: newCluster(rapid.Uint64().Draw(t, "seed"), f, desks...), crashes: crashes, opened: make(map[flow.Key]time.Time), used: make(map[flow.Key]time.Time)}
	m.trace = make(map[flow.Key][]traced)
	m.start("akl-a", "akl-a", "akl-b", "ham-a")
	t.Repeat(map[string]func(*rapid.T){
		"open": m.open, "use": m.use, "use2": m.use, "wait": m.wait, "change": m.change, "hosts": m.changeHosts, "": m.check,
	})
	m.finish(t)
}

var lossy = faults{
	loss: 0.1, repeat: 0.1, delay: 50 * time.Millisecond, relayDelay: 5 * time.Millisecond,
	unevenness: 5 * time.Second, detection: 2 * time.Second,
}

func TestPlannedChangesBreakNoFlow(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) { runMachine(t, lossy, false) })
}

func TestOneCrashBreaksNoFlow(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) { runMachine(t, lossy, true) })
}

// heavy loses and repeats nearly a third of all messages and delays them by up
// to a second. It found a record that its heir got too late for the slot's
// owner to collect (-run Heavy -rapid.seed=20317148).
var heavy = faults{
	loss: 0.3, repeat: 0.3, delay: time.Second, relayDelay: 20 * time.Millisecond,
	unevenness: 5 * time.Second, detection: 2 * time.Second,
}

func TestPlannedChangesBreakNoFlowUnderHeavyLoss(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) { runMachine(t, heavy, false) })
}
