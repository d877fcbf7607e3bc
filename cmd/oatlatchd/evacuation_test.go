package main

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/platform/standin"
)

// evacuationLimit is the time within which an evacuation must be in force on every host on
// a quiet day.
const evacuationLimit = time.Second

// TestEvacuationIsInForceOnAllHosts runs two hosts, of which one reads the other, and a
// third that starts while the evacuation is in force. It guards against a request, or its
// removal, that does not reach the engine of a host, and against a first host that does not
// learn that all others have it.
func TestEvacuationIsInForceOnAllHosts(t *testing.T) {
	store, err := standin.NewStore()
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	route := standin.Route{Address: netip.MustParseAddrPort("198.18.0.1:443"), Service: "desk", Timeout: int(time.Second.Milliseconds())}
	if err := store.Put(standin.ConfigurationKey, standin.Configuration(1, []standin.Route{route}, []string{"desk"})); err != nil {
		t.Fatal(err)
	}
	for i, dataCentre := range []string{"a", "b"} {
		u := &testUpstream{started: time.Now().UnixMilli(), options: standin.UpstreamOptions{
			Name: fmt.Sprintf("i-%010x", i+1), Service: "desk", DataCentre: dataCentre, Slots: 2,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 9, 1, byte(i)}), 8080),
		}}
		u.write(t, store)
	}
	log, hosts, daemon := newHostLog(), []string{"h-1", "h-2"}, buildDaemon(t)
	for _, host := range hosts {
		startHost(t, daemon, host, store.Address(), log, "", "")
	}
	log.await(t, hosts, "ready", "", "")
	log.await(t, hosts, "registered", "", "")

	time.Sleep(time.Second) // by which one of the hosts reads the other
	if err := store.Put(standin.EvacuationKey("b"), struct{}{}); err != nil {
		t.Fatal(err)
	}
	acknowledged := time.Now()
	if took := log.await(t, hosts, "evacuation_in_force", "data_centre", "b").Sub(acknowledged); took > evacuationLimit {
		t.Errorf("the evacuation was in force after %s, want at most %s", took, evacuationLimit)
	} else {
		t.Logf("in force after %s", took)
	}
	for _, host := range hosts {
		if line, _ := log.find(host, "evacuation_in_force", "upstreams", "1"); line == nil {
			t.Errorf("%s does not count the upstream in the data centre", host)
		}
	}
	everywhere := func(host string) bool {
		line, _ := log.find(host, "evacuation_in_force_everywhere", "hosts", "2")
		return line != nil
	}
	for deadline := time.Now().Add(awaitLimit); everywhere("h-1") == everywhere("h-2"); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no host, or each, says that it is in force everywhere; want the first one")
		}
	}
	hosts = append(hosts, "h-3")
	startHost(t, daemon, "h-3", store.Address(), log, "", "")
	log.await(t, hosts, "evacuation_in_force", "data_centre", "b")
	log.await(t, hosts, "registered", "", "")
	store.Remove(standin.EvacuationKey("b"))
	log.await(t, hosts, "evacuation_withdrawn", "data_centre", "b")
	log.await(t, hosts, "evacuation_ended", "data_centre", "b")
}
