package catalogrpc

import (
	"net/netip"
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/flow/echo"
	"github.com/oatlatch/oatlatch/internal/gobpack"
)

// FuzzListReply merges the reply of another host, or a snapshot, into a catalog and lets an
// engine decide on packets with it. Neither may panic, whatever the reply holds.
func FuzzListReply(f *testing.F) {
	address := netip.MustParseAddrPort("198.18.0.1:443")
	pages := []catalog.Page{
		{Position: at(4), Changes: []catalog.Change{
			{Position: at(1), Configuration: &catalog.Configuration{Version: 1, Routes: []catalog.Route{{Name: "r", Address: address, Shares: []catalog.Share{{Service: "desk", Weight: 1}}}}}},
			{Position: at(2), Upstream: &catalog.Upstream{ID: 1, Name: "i-1", Service: "desk", Address: address, Slots: 1}},
			{Position: at(3), Host: &catalog.Host{Name: "h", DataCentre: "a", Peer: address}},
		}},
		{Position: at(4), Changes: []catalog.Change{{Position: at(1), Configuration: &catalog.Configuration{Version: 1, Routes: []catalog.Route{{Name: "r", Address: address}}}}}},
		{Position: at(4), Changes: []catalog.Change{{Position: at(1), Configuration: &catalog.Configuration{Version: 1, Routes: []catalog.Route{{Name: "r", Address: address, Shares: []catalog.Share{{Service: "a"}, {Service: "b"}}}}}}}},
		{Position: at(4), Changes: []catalog.Change{{Position: at(1), Delta: &catalog.Delta{Base: 1, Version: 2}}, {}}},
		{Position: at(4), History: &catalog.History{From: at(9), Age: -time.Hour, Former: []catalog.FormerService{{}, {Address: address, Service: "desk", Dropped: at(1), Age: -time.Hour}}}},
	}
	for i := range pages {
		packed, err := gobpack.Pack(&pages[i])
		if err != nil {
			f.Fatal(err)
		}
		f.Add(packed)
	}
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, packed []byte) {
		var page catalog.Page
		if gobpack.Unpack(packed, &page) != nil {
			return
		}
		now := time.Unix(1_000_000, 0)
		c := catalog.New(catalog.Options{})
		c.BeginListing()
		page.Next = ""
		c.AddPage(now, page)
		c.Apply(now, catalog.Update{Changes: page.Changes, Position: page.Position})
		c.Snapshot(now)
		view, _ := c.TakeView()
		if view.Configuration == nil {
			return
		}
		engine := echo.New(echo.Options{DataCentre: "a"})
		engine.SetView(now, view)
		for _, route := range view.Configuration.Routes {
			engine.Decide(now, &echo.Segment{Caller: address, VirtualAddress: route.Address, SYN: true})
		}
	})
}
