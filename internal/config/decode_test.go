package config_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/membership"
	"github.com/oatlatch/oatlatch/internal/platform/fake"
	"github.com/oatlatch/oatlatch/internal/publish"
	"github.com/oatlatch/oatlatch/internal/service"
	"pgregory.net/rapid"
)

// stored returns a published head and its pages.
func stored(t interface{ Fatal(...any) }, weight int) ([]byte, []config.PageData) {
	store := fake.NewStore()
	request := publish.Request{ID: "first", At: time.Unix(1_800_000_000, 0), Services: []service.Service{
		svc(1, 2, weight), svc(2, 2, weight), svc(3, 1, weight),
	}}
	if _, err := publishTo(store, request); err != nil {
		t.Fatal(err)
	}
	head := store.Get(config.HeadKey).Data
	decoded, err := config.DecodeHead(head)
	if err != nil {
		t.Fatal(err)
	}
	var pages []config.PageData
	for _, ref := range decoded.Pages {
		pages = append(pages, config.PageData{Ref: ref, Data: store.Get(ref.Key()).Data})
	}
	return head, pages
}

// damage changes one byte or cuts the data short.
func damage(t *rapid.T, data []byte) []byte {
	damaged := append([]byte(nil), data...)
	at := rapid.IntRange(0, len(damaged)-1).Draw(t, "at")
	if rapid.Bool().Draw(t, "cut") {
		return damaged[:at]
	}
	damaged[at] = rapid.Byte().Draw(t, "byte")
	return damaged
}

func TestDamagedConfigurationsNeverPanicAndPagesNeverPass(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		head, pages := stored(t, 1)
		if rapid.Bool().Draw(t, "head") {
			// A damaged head may still be well formed; it must not panic.
			_, _ = config.NewBundle(damage(t, head), pages, nil)
			return
		}
		i := rapid.IntRange(0, len(pages)-1).Draw(t, "page")
		before := string(pages[i].Data)
		pages[i].Data = damage(t, pages[i].Data)
		if _, err := config.NewBundle(head, pages, nil); err == nil && string(pages[i].Data) != before {
			t.Fatal("a damaged page was adopted")
		}
	})
}

// TestBadPeersDoNotStopAdoption feeds heads and pages of bad peers to a host, which
// then takes the good ones.
func TestBadPeersDoNotStopAdoption(t *testing.T) {
	head, pages := stored(t, 1)
	higher := []byte(strings.Replace(string(head), `"Version":1`, `"Version":99`, 1))
	foreign := []byte(strings.Replace(string(head), `"Format":1`, `"Format":7`, 1))
	bad := map[string][]config.Event{
		"garbage head":      {config.Pulled{Peer: "bad", Version: 9, Head: []byte("{")}},
		"foreign format":    {config.Pulled{Peer: "bad", Version: 9, Head: foreign}},
		"no pages":          {config.Pulled{Peer: "bad", Version: 99, Head: higher}, config.Fetched{Source: config.Source{Peer: "bad"}}},
		"fetch fails":       {config.Pulled{Peer: "bad", Version: 99, Head: higher}, config.FetchFailed{Source: config.Source{Peer: "bad"}, Err: errUnreachable}},
		"unasked pages":     {config.Fetched{Source: config.Source{Peer: "bad"}, Pages: pages}},
		"unasked failure":   {config.PullFailed{Peer: "bad", Err: errUnreachable}},
		"notice of a ghost": {config.Noticed{Peer: "bad", Version: 1 << 60}},
	}
	for name, events := range bad {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1_800_000_000, 0)
			a := config.NewAdopter(config.AdopterOptions{Self: host.Host{ID: "self", DataCentre: "here"}, Seed: 1})
			a.Start(now)
			a.Step(now, config.MembersChanged{View: membership.View{Members: []membership.Member{
				{Host: host.Host{ID: "bad", DataCentre: "here"}, State: membership.Live},
				{Host: host.Host{ID: "good", DataCentre: "here"}, State: membership.Live},
			}}})
			for _, event := range events {
				a.Step(now, event)
				now = now.Add(2 * time.Second)
				a.Step(now, config.TimerFired{})
			}
			a.Step(now, config.PlatformFailed{Err: errUnreachable})
			for range 5 {
				a.Step(now, config.Pulled{Peer: "good", Version: 1, Head: head, Pages: pages})
				now = now.Add(2 * time.Second)
				a.Step(now, config.TimerFired{})
			}
			if got := a.Bundle().Version(); got != 1 {
				t.Fatalf("has version %d: %s", got, a.Status(now).Reason)
			}
		})
	}
}

// TestJoiningHostReadsThePlatformAgainAfterAFailedFetch is what rapid found with seed
// 1663353: the second read waited for a change of the head, so that the round ended
// with the lower version of a peer.
func TestJoiningHostReadsThePlatformAgainAfterAFailedFetch(t *testing.T) {
	head, _ := stored(t, 1)
	now := time.Unix(1_800_000_000, 0)
	a := config.NewAdopter(config.AdopterOptions{Self: host.Host{ID: "self"}, Seed: 1})
	a.Start(now)
	a.Step(now, config.PlatformRead{Head: head, Revision: 7, Index: 7})
	now = now.Add(2 * time.Second)
	if actions := a.Step(now, config.TimerFired{}); len(actions) != 1 {
		t.Fatalf("want one Fetch, got %+v", actions)
	}
	now = now.Add(2 * time.Second)
	actions := a.Step(now, config.FetchFailed{Source: config.Platform, Err: errUnreachable})
	if !slices.Contains(actions, config.Action(config.ReadPlatform{Index: 0})) {
		t.Fatalf("does not read the platform at once: %+v", actions)
	}
}
