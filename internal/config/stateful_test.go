package config_test

import (
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/platform/fake"
	"pgregory.net/rapid"
)

const (
	statefulHosts = 5
	// settled is the time after the last change of the topology or of the published
	// version after which a joining host must find the highest reachable version.
	settled = 2 * time.Second
	// healed bounds the time in which all hosts agree once all faults have ended. It
	// exceeds the longest backoff.
	healed = 45 * time.Second
)

// fleetMachine drives a small fleet through random faults.
type fleetMachine struct {
	s        *sim
	backup   *fake.Store
	restored bool
	weight   int
	changed  time.Time
	// processFloor is the highest version of the running process of each host.
	processFloor map[*simHost]config.Version
}

// reachableVersion returns the highest version that the host's sources hold now.
func (m *fleetMachine) reachableVersion(h *simHost) config.Version {
	var highest config.Version
	if !h.cut && !h.deaf {
		if value := h.reads().Get(config.HeadKey); value.Exists() {
			head, err := config.DecodeHead(value.Data)
			if err != nil {
				m.s.fail("%v", err)
			}
			highest = head.Version
		}
	}
	for _, other := range m.s.hosts {
		if other != h && other.up && other.group == h.group {
			highest = max(highest, other.adopter.Bundle().Version())
		}
	}
	return highest
}

func (m *fleetMachine) adopted(h *simHost, version config.Version) {
	if version <= m.processFloor[h] {
		m.s.fail("%s went from version %d to %d", h.self, m.processFloor[h], version)
	}
	m.processFloor[h] = version
	if m.s.now.Sub(m.changed) > settled && version < m.reachableVersion(h) {
		m.s.fail("%s adopted version %d while %d was reachable", h.self, version, m.reachableVersion(h))
	}
}

func (m *fleetMachine) pick(t *rapid.T) *simHost {
	return m.s.hosts[rapid.IntRange(0, statefulHosts-1).Draw(t, "host")]
}

func (m *fleetMachine) actions() map[string]func(*rapid.T) {
	change := func(apply func(*rapid.T)) func(*rapid.T) {
		return func(t *rapid.T) {
			m.changed = m.s.now
			apply(t)
		}
	}
	return map[string]func(*rapid.T){
		"publish": change(func(*rapid.T) { m.publish() }),
		"kill":    func(t *rapid.T) { m.kill(m.pick(t)) },
		"replace": func(t *rapid.T) {
			h := m.pick(t)
			m.kill(h)
			h.boot()
		},
		"cut":       change(func(t *rapid.T) { m.pick(t).cut = true }),
		"reconnect": change(func(t *rapid.T) { m.pick(t).cut = false }),
		"deafen":    change(func(t *rapid.T) { m.pick(t).deaf = true }),
		"undeafen":  change(func(t *rapid.T) { m.pick(t).deaf = false }),
		"stale":     change(func(t *rapid.T) { m.pick(t).stale = m.s.store.Copy() }),
		"fresh":     change(func(t *rapid.T) { m.pick(t).stale = nil }),
		"partition": change(func(t *rapid.T) { m.pick(t).group = rapid.IntRange(0, 2).Draw(t, "group") }),
		"heal": change(func(*rapid.T) {
			for _, h := range m.s.hosts {
				h.group = 0
			}
		}),
		"back up": func(*rapid.T) { m.backup = m.s.store.Copy() },
		"restore": change(func(*rapid.T) {
			if m.backup != nil {
				m.s.store.Restore(m.backup)
				m.restored = true
			}
		}),
		"wait": func(t *rapid.T) {
			m.s.run(time.Duration(rapid.SampledFrom([]int{1, 3, 50, 700, 3000, 60000}).Draw(t, "ms")) * time.Millisecond)
		},
	}
}

func (m *fleetMachine) kill(h *simHost) {
	h.kill()
	m.processFloor[h] = 0
}

// publish follows the remedy of a restored platform: a version above all adopted ones.
func (m *fleetMachine) publish() {
	m.weight++
	if m.restored {
		for _, h := range m.s.hosts {
			m.s.above = max(m.s.above, h.floor)
		}
	}
	m.s.publish(svc(1, 1, m.weight))
}

// heal ends all faults.
func (m *fleetMachine) heal() {
	for _, h := range m.s.hosts {
		h.group, h.cut, h.deaf, h.stale = 0, false, false, nil
		if !h.up {
			h.boot()
		}
	}
	m.s.run(healed)
}

func TestNoHostEverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(uint64(rapid.IntRange(0, 1<<20).Draw(t, "seed")), t.Fatalf)
		m := &fleetMachine{s: s, processFloor: map[*simHost]config.Version{}}
		s.onAdopt = m.adopted
		for range statefulHosts {
			s.addHost(3)
		}
		for _, h := range s.hosts {
			h.boot()
		}
		m.publish()
		t.Repeat(m.actions())
		m.heal()
		m.publish()
		m.s.run(inForce)
		var highest config.Version
		for _, h := range s.hosts {
			highest = max(highest, h.adopter.Bundle().Version())
		}
		for _, h := range s.hosts {
			if got := h.adopter.Bundle().Version(); got != highest || got == 0 {
				t.Fatalf("after healing %s has version %d instead of %d", h.self, got, highest)
			}
		}
	})
}
