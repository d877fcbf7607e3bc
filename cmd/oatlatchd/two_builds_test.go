package main

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/release/releasetest"
	"github.com/oatlatch/oatlatch/platform/standin"
)

// twoBuilds is a store with a configuration and an upstream, and the daemons of the build in
// production and of this one.
type twoBuilds struct {
	t     *testing.T
	store *standin.Store
	log   *hostLog
	// earlier and later are the daemons, in the order in which a case starts them.
	earlier, later string
}

// publish writes a version of the configuration.
func (b *twoBuilds) publish(version uint64) {
	b.t.Helper()
	route := standin.Route{Address: netip.MustParseAddrPort("198.18.0.1:443"), Service: "desk", Timeout: int(time.Second.Milliseconds())}
	if err := b.store.Put(standin.ConfigurationKey, standin.Configuration(version, []standin.Route{route}, []string{"desk"})); err != nil {
		b.t.Fatal(err)
	}
}

// start starts a host and waits until it is ready and registered.
func (b *twoBuilds) start(daemon, name string, listenLines string) {
	b.t.Helper()
	startHost(b.t, daemon, name, b.store.Address(), b.log, listenLines, "")
	b.log.await(b.t, []string{name}, "ready", "", "")
	b.log.await(b.t, []string{name}, "registered", "", "")
}

// TestTwoBuildsSideBySide runs a host of the build in production beside one of this build. It
// guards against what one of them writes or tells and the other cannot read.
func TestTwoBuildsSideBySide(t *testing.T) {
	production, current := releasetest.Production(t), buildDaemon(t)
	cases := map[string]func(*testing.T, *twoBuilds){
		"a host follows one of the other build": func(t *testing.T, b *twoBuilds) {
			b.start(b.earlier, "h-1", "")
			b.start(b.later, "h-2", "")
			b.log.await(t, []string{"h-2"}, "source_changed", "source", "h-1")
			b.publish(2)
			written := time.Now()
			if took := b.log.await(t, []string{"h-1", "h-2"}, "configuration_adopted", "version", "2").Sub(written); took > evacuationLimit {
				t.Errorf("in force after %s, want at most %s", took, evacuationLimit)
			}
		},
		"a snapshot of the other build is read": func(t *testing.T, b *twoBuilds) {
			b.start(b.earlier, "h-1", "")
			b.log.await(t, []string{"h-1"}, "snapshot_written", "version", "1")
			b.start(b.later, "h-2", "")
			b.log.await(t, []string{"h-2"}, "snapshot_read", "version", "1")
		},
		"an evacuation is known to be in force everywhere": func(t *testing.T, b *twoBuilds) {
			b.start(b.earlier, "h-1", "")
			b.start(b.later, "h-2", "")
			b.log.await(t, []string{"h-2"}, "source_changed", "source", "h-1")
			if err := b.store.Put(standin.EvacuationKey("b"), struct{}{}); err != nil {
				t.Fatal(err)
			}
			b.log.await(t, []string{"h-1", "h-2"}, "evacuation_in_force", "data_centre", "b")
			b.log.await(t, []string{"h-1"}, "evacuation_in_force_everywhere", "hosts", "2")
		},
		"the store is restored": func(t *testing.T, b *twoBuilds) {
			b.start(b.earlier, "h-1", "")
			b.start(b.later, "h-2", "")
			older := b.store.Copy()
			b.publish(2)
			b.log.await(t, []string{"h-1", "h-2"}, "configuration_adopted", "version", "2")
			b.store.Restore(older)
			b.log.await(t, []string{"h-1", "h-2"}, "store_restored", "epoch", "1")
			b.publish(3)
			b.log.await(t, []string{"h-1", "h-2"}, "configuration_adopted", "version", "3")
		},
		"a host that starts while the store is away is told by one of the other build": func(t *testing.T, b *twoBuilds) {
			b.start(b.earlier, "h-1", "")
			seed := "seed = " + freeAddress(t).String() + "\n"
			t.Run("before", func(t *testing.T) { // its end kills the host
				before := *b
				before.t = t
				before.start(b.later, "h-2", seed)
				b.log.await(t, []string{"h-1"}, "host_joined", "peer", "h-2")
			})
			b.store.SetDelay(time.Hour)
			startHost(t, b.later, "h-2", b.store.Address(), b.log, seed, "")
			b.log.await(t, []string{"h-1"}, "page_offered", "to", "h-2")
			b.log.await(t, []string{"h-2"}, "seed_used", "version", "1")
		},
		"a host whose store is silent is told by one of the other build": func(t *testing.T, b *twoBuilds) {
			b.start(b.earlier, "h-1", "")
			proxy := newSilentProxy(t, b.store.Address())
			startHost(t, b.later, "h-2", proxy.address(), b.log, "", "")
			b.log.await(t, []string{"h-2"}, "registered", "", "")
			b.log.await(t, []string{"h-2"}, "source_changed", "source", "h-1")
			proxy.silence()
			for version := uint64(2); version < 5; version++ {
				b.publish(version)
				b.log.await(t, []string{"h-1", "h-2"}, "configuration_adopted", "version", fmt.Sprint(version))
			}
		},
	}
	for name, run := range cases {
		for order, daemons := range map[string][2]string{"production first": {production, current}, "this build first": {current, production}} {
			t.Run(name+", "+order, func(t *testing.T) {
				t.Parallel()
				store, err := standin.NewStore()
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(store.Close)
				b := &twoBuilds{t: t, store: store, log: newHostLog(), earlier: daemons[0], later: daemons[1]}
				for i, dataCentre := range []string{"a", "b"} {
					u := &testUpstream{started: time.Now().UnixMilli(), options: standin.UpstreamOptions{
						Name: fmt.Sprintf("i-%010x", i+1), Service: "desk", DataCentre: dataCentre, Slots: 2,
						Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 9, 2, byte(i)}), 8080),
					}}
					u.write(t, store)
				}
				b.publish(1)
				run(t, b)
			})
		}
	}
}
