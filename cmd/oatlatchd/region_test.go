package main

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/platform/standin"
)

// TestAllowedRegionsOfARoute guards against a restriction that is lost between the store's
// configuration, the settings of a host that starts or reloads them, and the packets.
func TestAllowedRegionsOfARoute(t *testing.T) {
	store, err := standin.NewStore()
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	route := standin.Route{Address: netip.MustParseAddrPort("198.18.0.1:443"), Service: "desk", Timeout: int(time.Second.Milliseconds()), AllowedRegions: []string{"east"}}
	if err := store.Put(standin.ConfigurationKey, standin.Configuration(1, []standin.Route{route}, []string{"desk"})); err != nil {
		t.Fatal(err)
	}
	recorder, port := standin.NewRecorder(), freeCallerPort(t)
	for i, dataCentre := range []string{"a", "b"} {
		u, err := standin.NewUpstream(standin.UpstreamOptions{
			Name: fmt.Sprintf("i-%08x", i+1), Service: "desk", DataCentre: dataCentre, Slots: 2, CallerPort: port, Recorder: recorder,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 9, 2, byte(i + 1)}), port),
		})
		if err != nil {
			t.Fatal(err)
		}
		defer u.Close()
		if err := store.Put(u.StoreKey(), u.Registration()); err != nil {
			t.Fatal(err)
		}
	}
	log := newHostLog()
	path := startHost(t, buildDaemon(t), "h-1", store.Address(), log, "", "[zones]\na = west\nb = east\n")
	log.await(t, []string{"h-1"}, "ready", "", "")
	line, _ := log.find("h-1", "started", "", "")
	host := netip.MustParseAddrPort(line.Get("packet"))
	c, err := standin.NewCaller(netip.AddrPortFrom(netip.MustParseAddr("127.9.2.9"), port), func(netip.AddrPort) netip.AddrPort { return host }, recorder)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	// The upstream in the host's own data centre is the preferred one of an unrestricted route.
	for i, want := range []string{"i-00000002", "i-00000001"} {
		before := time.Now()
		if err := c.SendRequest(context.Background(), route.Address, route.Service, uint64(i+1), false, 10); err != nil {
			t.Fatal(err)
		}
		c.CloseFlow()
		if recorder.LastFlowOpened(want).Before(before) {
			t.Errorf("flow %d did not go to %s", i+1, want)
		}
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if i == 0 {
			swapped := strings.Replace(string(text), "a = west\nb = east", "a = east\nb = west", 1)
			if err := os.WriteFile(path, []byte(swapped), 0o600); err != nil {
				t.Fatal(err)
			}
			log.await(t, []string{"h-1"}, "settings_reloaded", "", "")
		}
	}
}

// freeCallerPort returns a UDP port that is probably free.
func freeCallerPort(t *testing.T) uint16 {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 9, 2, 9)})
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	return conn.LocalAddr().(*net.UDPAddr).AddrPort().Port()
}
