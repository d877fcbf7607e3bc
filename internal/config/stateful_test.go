package config_test

import (
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/consul/fake"
	"pgregory.net/rapid"
)

const (
	modelHosts = 5
	// settleTime is the time after the last recorded change of the faults, the platform or the
	// publications after which a host must not adopt a lower version than the highest one it
	// can reach.
	settleTime = 2 * time.Second
	// recoveryTime is the maximum time from the end of all faults until all hosts have the same
	// version. It exceeds the longest backoff.
	recoveryTime = 45 * time.Second
)

// clusterModel applies random faults and publications to a small cluster and checks every adoption.
type clusterModel struct {
	sim              *sim
	backup           *fake.Store
	platformRestored bool
	// weight is that of the service in the latest publication.
	weight int
	// lastChange is the time of the last action other than waiting, backing up the platform, and
	// stopping or replacing a host.
	lastChange time.Time
	// processVersion is the version adopted by the running process of each host.
	processVersion map[*simHost]config.Version
}

// reachableVersion returns the highest version that the platform and the peers reachable from the
// host hold now.
func (m *clusterModel) reachableVersion(h *simHost) config.Version {
	var highest config.Version
	if !h.platformUnreachable && !h.watchBroken {
		if value := h.platformStore().Get(config.HeadKey); value.Exists() {
			head, err := config.DecodeHead(value.Data)
			if err != nil {
				m.sim.fail("%v", err)
			}
			highest = head.Version
		}
	}
	for _, other := range m.sim.hosts {
		if other != h && other.running && other.partition == h.partition {
			highest = max(highest, other.adopter.Bundle().Version())
		}
	}
	return highest
}

// checkAdoption fails if the version is not higher than the previous one of the process, or lower
// than what the host could reach after settleTime.
func (m *clusterModel) checkAdoption(h *simHost, version config.Version) {
	if version <= m.processVersion[h] {
		m.sim.fail("%s went from version %d to %d", h.self, m.processVersion[h], version)
	}
	m.processVersion[h] = version
	if m.sim.now.Sub(m.lastChange) > settleTime && version < m.reachableVersion(h) {
		m.sim.fail("%s adopted version %d while %d was reachable", h.self, version, m.reachableVersion(h))
	}
}

func (m *clusterModel) drawHost(t *rapid.T) *simHost {
	return m.sim.hosts[rapid.IntRange(0, modelHosts-1).Draw(t, "host")]
}

// actions returns the actions from which rapid draws, by name.
func (m *clusterModel) actions() map[string]func(*rapid.T) {
	recordChange := func(apply func(*rapid.T)) func(*rapid.T) {
		return func(t *rapid.T) {
			m.lastChange = m.sim.now
			apply(t)
		}
	}
	return map[string]func(*rapid.T){
		"publish": recordChange(func(*rapid.T) { m.publish() }),
		"kill":    func(t *rapid.T) { m.stop(m.drawHost(t)) },
		"replace": func(t *rapid.T) {
			h := m.drawHost(t)
			m.stop(h)
			h.start()
		},
		"cut":       recordChange(func(t *rapid.T) { m.drawHost(t).platformUnreachable = true }),
		"reconnect": recordChange(func(t *rapid.T) { m.drawHost(t).platformUnreachable = false }),
		"deafen":    recordChange(func(t *rapid.T) { m.drawHost(t).watchBroken = true }),
		"undeafen":  recordChange(func(t *rapid.T) { m.drawHost(t).watchBroken = false }),
		"stale":     recordChange(func(t *rapid.T) { m.drawHost(t).staleStore = m.sim.store.Copy() }),
		"fresh":     recordChange(func(t *rapid.T) { m.drawHost(t).staleStore = nil }),
		"partition": recordChange(func(t *rapid.T) { m.drawHost(t).partition = rapid.IntRange(0, 2).Draw(t, "group") }),
		"heal": recordChange(func(*rapid.T) {
			for _, h := range m.sim.hosts {
				h.partition = 0
			}
		}),
		"back up": func(*rapid.T) { m.backup = m.sim.store.Copy() },
		"restore": recordChange(func(*rapid.T) {
			if m.backup != nil {
				m.sim.store.Restore(m.backup)
				m.platformRestored = true
			}
		}),
		"wait": func(t *rapid.T) {
			m.sim.run(time.Duration(rapid.SampledFrom([]int{1, 3, 50, 700, 3000, 60000}).Draw(t, "ms")) * time.Millisecond)
		},
	}
}

func (m *clusterModel) stop(h *simHost) {
	h.stop()
	m.processVersion[h] = 0
}

// publish publishes a change. Once the platform has been restored, the version must be above all
// adopted ones, as an operator must ensure after restoring the platform.
func (m *clusterModel) publish() {
	m.weight++
	if m.platformRestored {
		for _, h := range m.sim.hosts {
			m.sim.aboveVersion = max(m.sim.aboveVersion, h.highestAdopted)
		}
	}
	m.sim.publish(newService(1, 1, m.weight))
}

// endFaults ends all faults, starts the stopped hosts and waits for recoveryTime.
func (m *clusterModel) endFaults() {
	for _, h := range m.sim.hosts {
		h.partition, h.platformUnreachable, h.watchBroken, h.staleStore = 0, false, false, nil
		if !h.running {
			h.start()
		}
	}
	m.sim.run(recoveryTime)
}

func TestNoHostEverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(uint64(rapid.IntRange(0, 1<<20).Draw(t, "seed")), t.Fatalf)
		m := &clusterModel{sim: s, processVersion: map[*simHost]config.Version{}}
		s.onAdopt = m.checkAdoption
		for range modelHosts {
			s.addHost(3)
		}
		for _, h := range s.hosts {
			h.start()
		}
		m.publish()
		t.Repeat(m.actions())
		m.endFaults()
		m.publish()
		m.sim.run(convergenceLimit)
		var highest config.Version
		for _, h := range s.hosts {
			highest = max(highest, h.adopter.Bundle().Version())
		}
		for _, h := range s.hosts {
			if got := h.adopter.Bundle().Version(); got != highest || got == 0 {
				t.Fatalf("after the faults ended, %s has version %d instead of %d", h.self, got, highest)
			}
		}
	})
}
