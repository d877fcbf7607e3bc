package main

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/platform/standin"
)

// seedReadyLimit is the time within which a host must be ready that starts while the store
// does not answer, if one other host lives.
const seedReadyLimit = 150 * time.Millisecond

// freeAddress returns a loopback address with a port that is probably free.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// TestStartWhileTheStoreIsAway starts a host while the store is silent or refuses. One
// other host, which it knows from its settings, tells it routes and upstreams. Once the
// store is back, the host reads it.
func TestStartWhileTheStoreIsAway(t *testing.T) {
	daemon := buildDaemon(t)
	outages := map[string]func(store *standin.Store, away bool){
		"refuses": func(store *standin.Store, away bool) { store.SetUnavailable(away) },
		"silent": func(store *standin.Store, away bool) {
			delay := time.Duration(0)
			if away {
				delay = time.Hour
			}
			store.SetDelay(delay)
		},
	}
	for name, setAway := range outages {
		t.Run(name, func(t *testing.T) {
			store, err := standin.NewStore()
			if err != nil {
				t.Fatal(err)
			}
			defer store.Close()
			publish := func(version uint64) {
				route := standin.Route{Address: netip.MustParseAddrPort("198.18.0.1:443"), Service: "desk", Timeout: int(time.Second.Milliseconds())}
				if err := store.Put(standin.ConfigurationKey, standin.Configuration(version, []standin.Route{route}, []string{"desk"})); err != nil {
					t.Fatal(err)
				}
			}
			u := standin.UpstreamOptions{Name: "i-0000000001", Service: "desk", DataCentre: "a", Slots: 2, Address: netip.MustParseAddrPort("127.9.0.1:8080")}
			if err := store.Put(u.StoreKey(), u.Registration(false)); err != nil {
				t.Fatal(err)
			}
			publish(3)
			log, seed, gone := newHostLog(), freeAddress(t), freeAddress(t)
			startHost(t, daemon, "h-1", store.Address(), log, "seed = "+seed.String()+"\n", "")
			log.await(t, []string{"h-1"}, "ready", "", "")

			setAway(store, true)
			startHost(t, daemon, "h-2", store.Address(), log, "", "seeds = "+gone.String()+","+seed.String()+"\n")
			log.await(t, []string{"h-2"}, "seed_used", "version", "3")
			log.await(t, []string{"h-2"}, "ready", "", "")
			line, _ := log.find("h-2", "ready", "", "")
			if took, err := time.ParseDuration(line.Get("took_ms") + "ms"); err != nil || took > seedReadyLimit {
				t.Errorf("ready after %s, error %v, want at most %s", took, err, seedReadyLimit)
			}
			setAway(store, false)
			publish(4)
			log.await(t, []string{"h-2"}, "configuration_adopted", "version", "4")
			log.await(t, []string{"h-2"}, "registered", "", "")
		})
	}
}

// TestRestartWhileTheStoreIsAway guards against a host that serves nobody after a restart
// while the store is silent, although another host lives that knew it.
func TestRestartWhileTheStoreIsAway(t *testing.T) {
	store, err := standin.NewStore()
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	route := standin.Route{Address: netip.MustParseAddrPort("198.18.0.1:443"), Service: "desk", Timeout: int(time.Second.Milliseconds())}
	u := standin.UpstreamOptions{Name: "i-0000000001", Service: "desk", DataCentre: "a", Slots: 2, Address: netip.MustParseAddrPort("127.9.0.1:8080")}
	for key, value := range map[string]any{u.StoreKey(): u.Registration(false), standin.ConfigurationKey: standin.Configuration(3, []standin.Route{route}, []string{"desk"})} {
		if err := store.Put(key, value); err != nil {
			t.Fatal(err)
		}
	}
	daemon, log := buildDaemon(t), newHostLog()
	startHost(t, daemon, "h-1", store.Address(), log, "", "")
	seedAddress := "seed = " + freeAddress(t).String() + "\n"
	t.Run("before", func(t *testing.T) { // its end kills the host
		startHost(t, daemon, "h-2", store.Address(), log, seedAddress, "")
		log.await(t, []string{"h-1"}, "host_joined", "peer", "h-2")
	})
	store.SetDelay(time.Hour)
	startHost(t, daemon, "h-2", store.Address(), log, seedAddress, "")
	log.await(t, []string{"h-1"}, "page_offered", "to", "h-2")
	log.await(t, []string{"h-2"}, "seed_used", "version", "3")
}
