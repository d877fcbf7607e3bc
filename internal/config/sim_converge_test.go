package config_test

import (
	"errors"
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/consul/fake"
)

var errUnreachable = errors.New("unreachable")

const (
	// convergenceLimit is the maximum time from a publication to its adoption by every host.
	convergenceLimit = 3 * time.Second
	// joiningBackoffCap is the maximum time between failed platform reads of a joining host.
	joiningBackoffCap = 4 * time.Second
	// joinLimit is the maximum time in which a host that joins a running cluster adopts a
	// configuration.
	joinLimit = 2 * time.Second
)

// newCluster returns a running cluster whose hosts have all adopted version 1.
func newCluster(t testing.TB, seed uint64, hosts, dataCentres int) *sim {
	t.Helper()
	s := newSim(seed, t.Fatalf)
	s.publish(newService(1, 3, 1), newService(2, 3, 1))
	for range hosts {
		s.addHost(dataCentres)
	}
	for _, h := range s.hosts {
		h.start()
	}
	s.run(10 * time.Second)
	s.expectVersion(t, 1, "after the start")
	return s
}

// expectVersion checks that all running hosts have adopted the version.
func (s *sim) expectVersion(t testing.TB, version config.Version, when string) {
	t.Helper()
	for _, h := range s.hosts {
		if got := h.adopter.Bundle().Version(); h.running && got != version {
			t.Fatalf("%s: %s has version %d instead of %d", when, h.self, got, version)
		}
	}
}

func TestPublicationReachesAllHosts(t *testing.T) {
	scenarios := map[string]func(*sim){
		"no fault":                               func(*sim) {},
		"one watch broken":                       func(s *sim) { s.hosts[0].watchBroken = true },
		"half of the hosts without the platform": func(s *sim) { s.disconnectHalf() },
		"a fifth of messages lost":               func(s *sim) { s.lossRate = 0.2 },
		"half without the platform and a fifth of messages lost": func(s *sim) {
			s.disconnectHalf()
			s.lossRate = 0.2
		},
	}
	for name, injectFaults := range scenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for hosts, seeds := range map[int]uint64{4: 20, 50: 5, 430: 1} {
				for seed := range seeds {
					s := newCluster(t, seed, hosts, 7)
					injectFaults(s)
					for weight := range 3 {
						version := s.publish(newService(1, 3, weight+2))
						s.run(convergenceLimit)
						s.expectVersion(t, version, name)
					}
				}
			}
		})
	}
}

// disconnectHalf disconnects a random half of the hosts from the platform.
func (s *sim) disconnectHalf() {
	for i, n := range s.rng.Perm(len(s.hosts)) {
		s.hosts[n].platformUnreachable = i < len(s.hosts)/2
	}
}

func TestEveryHostConfirmsARelease(t *testing.T) {
	const hosts, watchers, maxConfirmDelay = 50, 21, 5 * time.Minute
	s := newCluster(t, 4, hosts, 7)
	before := s.totalPlatformCalls
	s.run(maxConfirmDelay)
	idle := s.totalPlatformCalls - before
	moved := newService(1, 3, 1)
	moved.Address = newService(9, 3, 1).Address
	s.publish(moved)
	before = s.totalPlatformCalls
	s.run(convergenceLimit)
	moved.Address = newService(10, 3, 1).Address
	version := s.publish(moved)
	s.run(convergenceLimit + maxConfirmDelay)
	confirmed := s.store.List(config.ConfirmationPrefix)
	for _, value := range confirmed {
		confirmation, err := config.DecodeConfirmation(value.Key, value.Data)
		if err != nil || confirmation.Version < version {
			t.Fatalf("%+v %v", confirmation, err)
		}
	}
	if len(confirmed) != hosts {
		t.Fatalf("%d hosts have confirmed the release", len(confirmed))
	}
	// A confirmation takes one read and one write, and one confirmation of a host covers both
	// releases. For each of the two changes a watcher reads the head and at most one page.
	if calls := s.totalPlatformCalls - before - idle; calls > 2*hosts+2*2*watchers {
		t.Fatalf("%d platform calls for two changes and their confirmations", calls)
	}
}

func TestLostConfigurationIsRestoredToPlatform(t *testing.T) {
	for name, backup := range map[string]func(*sim) *fake.Store{
		"emptied":  func(*sim) *fake.Store { return fake.NewStore() },
		"restored": func(s *sim) *fake.Store { return s.store.Copy() },
	} {
		t.Run(name, func(t *testing.T) {
			s := newCluster(t, 6, 50, 7)
			old := backup(s)
			var version config.Version
			for number := range 2 * config.MaxPublications {
				version = s.publish(newService(10+number, 1, 1))
				s.run(time.Second)
			}
			s.run(convergenceLimit)
			s.expectVersion(t, version, "before the loss")
			before := readState(s.store).Bundle
			s.store.Restore(old)
			s.answerWatches()
			s.run(time.Minute)
			after := readState(s.store).Bundle
			if after == nil || after.HeadHash != before.HeadHash {
				t.Fatalf("the platform holds version %d instead of %d", after.Version(), version)
			}
			version = s.publish(newService(1, 3, 7))
			s.run(convergenceLimit)
			s.expectVersion(t, version, "after the loss")
		})
	}
}

func TestPublicationOnARestoredPlatformIsNotOverwritten(t *testing.T) {
	s := newCluster(t, 6, 10, 3)
	old := s.store.Copy()
	for weight := range 3 {
		s.publish(newService(1, 3, weight+2))
		s.run(convergenceLimit)
	}
	adopted := s.hosts[0].adopter.Bundle().Version()
	s.store.Restore(old)
	fork := s.publish(newService(2, 3, 9))
	s.run(time.Minute)
	s.expectVersion(t, adopted, "while the histories have diverged")
	if got := readState(s.store).Bundle.Version(); got != fork {
		t.Fatalf("version %d was overwritten by %d", fork, got)
	}
	if s.hosts[0].refused[config.RefuseDiverged] == 0 {
		t.Fatal("the diverged history was not reported")
	}
	s.store.Delete(config.HeadKey, s.store.Get(config.HeadKey).Revision)
	s.answerWatches()
	s.run(time.Minute)
	version := s.publish(newService(2, 3, 10))
	if version != adopted+1 {
		t.Fatalf("published version %d after version %d was to be restored", version, adopted)
	}
	s.run(convergenceLimit)
	s.expectVersion(t, version, "after the diverged head was deleted")
}

func TestDisconnectedWatchersAreReplaced(t *testing.T) {
	t.Parallel()
	s := newCluster(t, 1, 140, 7)
	for _, h := range s.hosts {
		if h.adopter.Status(s.now).Watching {
			h.platformUnreachable = true
		}
	}
	s.run(2 * time.Minute)
	for weight := range 3 {
		version := s.publish(newService(1, 3, weight+2))
		s.run(convergenceLimit)
		s.expectVersion(t, version, "after the watchers were disconnected")
	}
}

func TestRecoveryFromOutageWithoutThunderingHerd(t *testing.T) {
	t.Parallel()
	const hosts = 430
	s := newCluster(t, 1, hosts, 7)
	for _, h := range s.hosts {
		h.platformUnreachable = true
	}
	s.run(10 * time.Minute)
	s.expectVersion(t, 1, "during the outage")
	version := s.publish(newService(1, 3, 9))
	outageEnd := int(s.now.Sub(s.start) / time.Second)
	for _, h := range s.hosts {
		h.platformUnreachable = false
	}
	s.run(time.Minute)
	s.expectVersion(t, version, "after the outage")
	for second := outageEnd; second < outageEnd+60; second++ {
		if s.callsBySecond[second] > hosts/4 {
			t.Fatalf("%d platform calls in second %d after the outage", s.callsBySecond[second], second-outageEnd)
		}
	}
}

func TestPublicationRightAfterAnOutage(t *testing.T) {
	t.Parallel()
	for hosts, seeds := range map[int]uint64{4: 20, 50: 4, 430: 1} {
		for seed := range seeds {
			s := newCluster(t, seed, hosts, 4)
			for _, h := range s.hosts {
				h.platformUnreachable = true
			}
			s.run(10 * time.Minute)
			for _, h := range s.hosts {
				h.platformUnreachable = false
			}
			version := s.publish(newService(1, 3, 9))
			s.run(convergenceLimit)
			s.expectVersion(t, version, "right after the outage")
		}
	}
}

func TestStartDuringOutageDoesNotSynchronizeReads(t *testing.T) {
	t.Parallel()
	const hosts, seconds = 430, 60
	s := newSim(5, t.Fatalf)
	s.failImmediately = true
	version := s.publish(newService(1, 3, 1))
	for range hosts {
		s.addHost(7).platformUnreachable = true
	}
	for _, h := range s.hosts {
		h.start()
	}
	s.run(seconds * time.Second)
	for second := 10; second < seconds; second++ {
		if s.callsBySecond[second] > hosts/2 {
			t.Fatalf("%d platform calls in second %d of the outage", s.callsBySecond[second], second)
		}
	}
	for _, h := range s.hosts {
		h.platformUnreachable = false
	}
	s.run(joiningBackoffCap + joinLimit)
	s.expectVersion(t, version, "after the outage")
}

func TestLongOutageKeepsConfiguration(t *testing.T) {
	t.Parallel()
	s := newCluster(t, 1, 4, 3)
	for _, h := range s.hosts {
		h.platformUnreachable = true
	}
	s.run(24 * time.Hour)
	s.expectVersion(t, 1, "after a day of outage")
}

func TestJoinsWithThePlatformDown(t *testing.T) {
	for _, hosts := range []int{4, 50} {
		s := newCluster(t, 2, hosts, 4)
		for _, h := range s.hosts {
			h.platformUnreachable = true
		}
		joining := s.addHost(4)
		joining.platformUnreachable = true
		joining.start()
		s.run(joinLimit)
		s.expectVersion(t, 1, "joining without the platform")
	}
}

func TestJoiningHostTakesTheHighestOfPeersAndPlatform(t *testing.T) {
	s := newCluster(t, 3, 5, 3)
	old := s.store.Copy()
	version := s.publish(newService(1, 3, 5))
	s.run(convergenceLimit)
	for _, h := range s.hosts {
		h.staleStore = old
	}
	s.hosts[0].stop()
	s.hosts[0].start()
	s.run(joinLimit)
	s.expectVersion(t, version, "joining with a stale platform")
	s.run(time.Minute)
	for _, h := range s.hosts {
		if h.refused[config.RefuseStale] == 0 {
			t.Fatalf("%s did not report the stale platform", h.self)
		}
	}
}
