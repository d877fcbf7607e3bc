package snapshot

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

var peerKey = bytes.Repeat([]byte{7}, 32)

// largePage returns the catalog of 118 hosts, 600 upstreams and 1,400 routes.
func largePage() *catalog.Page {
	random := rand.New(rand.NewPCG(1, 1))
	c := &catalog.Configuration{Version: 4, HealthPaths: map[string]string{"desk": "/health"}}
	for i := range 1400 {
		c.Routes = append(c.Routes, catalog.Route{
			Name: fmt.Sprintf("route-%06x", random.Uint32()), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443),
			Shares: []catalog.Share{{Service: "desk", Weight: 1}}, Timeout: 3 * time.Second, Objective: time.Second, Priority: 2,
		})
	}
	page := &catalog.Page{Position: at(900), Changes: []catalog.Change{{Position: at(5), Configuration: c}}}
	for i := range 600 {
		id := random.Uint64()
		page.Changes = append(page.Changes, catalog.Change{Position: at(uint64(i)), Upstream: &catalog.Upstream{
			ID: catalog.UpstreamID(id), Name: fmt.Sprintf("i-%016x", id), Service: "desk", DataCentre: "quay", Slots: 2,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 8080), RecordID: catalog.RecordID{Started: time.UnixMilli(random.Int64N(1e12)), Sequence: 1},
		}})
	}
	for i := range 118 {
		page.Changes = append(page.Changes, catalog.Change{Position: at(uint64(i)), Host: &catalog.Host{
			Name: fmt.Sprintf("front-%d", i), DataCentre: "quay", Peer: netip.MustParseAddrPort("10.1.0.1:77"), Bandwidth: 20, Joined: uint64(i),
		}})
	}
	return page
}

func seal(t testing.TB, page *catalog.Page) []byte {
	t.Helper()
	sealed, err := Seal(peerKey, page, 4)
	if err != nil {
		t.Fatal(err)
	}
	return sealed
}

func TestSnapshotRoundTrip(t *testing.T) {
	g := NewWithT(t)
	page := largePage()
	sealed := seal(t, page)
	// 100 ms of a link of 20 Mbit/s, less the base64 encoding in the store.
	g.Expect(len(sealed)).To(BeNumerically("<", 180_000))
	header, err := Header(sealed)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(header).To(Equal(catalog.Have{Position: at(900), Version: 4}))
	opened, err := Open(peerKey, sealed, at(901))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(opened.Unconfirmed).To(BeTrue())
	g.Expect(opened.Changes).To(HaveLen(len(page.Changes)))
	g.Expect(opened.Changes[0].Configuration.Routes[7]).To(Equal(page.Changes[0].Configuration.Routes[7]))
}

// TestSnapshotOfAnotherWriterIsUseless covers bytes in the store that no host with the
// same peer key wrote, or wrote in this form.
func TestSnapshotOfAnotherWriterIsUseless(t *testing.T) {
	sealed := seal(t, &catalog.Page{Position: at(9), Changes: []catalog.Change{{Position: at(1), HostRemoved: "h"}}})
	flipped := func(i int) []byte {
		b := bytes.Clone(sealed)
		b[i] ^= 1
		return b
	}
	tests := []struct {
		name    string
		key     []byte
		sealed  []byte
		written catalog.Position
	}{
		{"empty", peerKey, nil, at(10)},
		{"text", peerKey, []byte("some other writer's bytes, as long as a header and more"), at(10)},
		{"torn", peerKey, sealed[:len(sealed)-1], at(10)},
		{"longer", peerKey, append(bytes.Clone(sealed), 0), at(10)},
		{"another format", peerKey, flipped(0), at(10)},
		{"another position", peerKey, flipped(revisionOffset + 7), at(10)},
		{"another version", peerKey, flipped(versionOffset + 7), at(10)},
		{"another HMAC", peerKey, flipped(macOffset), at(10)},
		{"another page", peerKey, flipped(len(sealed) - 1), at(10)},
		{"another peer key", bytes.Repeat([]byte{8}, 32), sealed, at(10)},
		{"no peer key", nil, sealed, at(10)},
		{"stored before its own position", peerKey, sealed, at(9)},
		{"another epoch", peerKey, flipped(epochOffset + 7), at(10)},
		{"of the epoch before a restore", peerKey, sealed, catalog.Position{Epoch: 1, Revision: 10}},
		{"huge", peerKey, append(bytes.Clone(sealed), make([]byte, maxBytes)...), at(10)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if _, err := Open(test.key, test.sealed, test.written); err == nil {
				t.Error("the snapshot was accepted")
			}
		})
	}
}

func TestCatalogThatDoesNotFitIsNotSealed(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 1))
	page := &catalog.Page{Position: at(1)}
	for range maxBytes / 8 {
		page.Changes = append(page.Changes, catalog.Change{Position: at(random.Uint64()), Removed: fmt.Sprintf("%016x", random.Uint64())})
	}
	_, err := Seal(peerKey, page, 1)
	g.Expect(err).To(MatchError(ErrTooLarge))
}

func FuzzOpen(f *testing.F) {
	f.Add(seal(f, &catalog.Page{Position: at(9)}), uint64(0), uint64(10))
	f.Add(seal(f, largePage()), uint64(0), uint64(1000))
	f.Add([]byte{format}, uint64(1), uint64(1))
	f.Fuzz(func(t *testing.T, sealed []byte, epoch, revision uint64) {
		written := catalog.Position{Epoch: epoch, Revision: revision}
		page, err := Open(peerKey, sealed, written)
		if err == nil && !Precedes(page.Position, written) {
			t.Errorf("%+v was accepted at %+v", page.Position, written)
		}
	})
}
