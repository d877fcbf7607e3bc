package formats

import (
	"bytes"
	"encoding/gob"
	"encoding/hex"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/catalogrpc"
	"github.com/oatlatch/oatlatch/internal/evidencerpc"
	"github.com/oatlatch/oatlatch/internal/feed"
	"github.com/oatlatch/oatlatch/internal/gobpack"
	"github.com/oatlatch/oatlatch/internal/snapshot"
)

// format is one kind of message or record.
type format struct {
	encode func() ([]byte, error)
	// decode decodes a message to the type that this build has, and want is the sample.
	decode func([]byte) (any, error)
	want   any
}

// gobFormat is the format of the arguments and replies of calls between hosts.
func gobFormat[T any](want T) format {
	return format{
		encode: func() ([]byte, error) {
			var b bytes.Buffer
			err := gob.NewEncoder(&b).Encode(&want)
			return b.Bytes(), err
		},
		decode: func(b []byte) (any, error) {
			var got T
			err := gob.NewDecoder(bytes.NewReader(b)).Decode(&got)
			return got, err
		},
		want: want,
	}
}

// packedFormat is the format of catalogs in replies and of pages for hosts that start.
func packedFormat[T any](want T) format {
	return format{
		encode: func() ([]byte, error) { return gobpack.Pack(&want) },
		decode: func(b []byte) (any, error) {
			var got T
			err := gobpack.Unpack(b, &got)
			return got, err
		},
		want: want,
	}
}

// samplePeerKey authenticates the sample of a snapshot.
var samplePeerKey = []byte("0123456789abcdef0123456789abcdef")

var formats = map[string]format{
	"page":           packedFormat(samplePage),
	"update":         packedFormat(sampleUpdate),
	"watch-args":     gobFormat(catalogrpc.WatchArgs{Have: sampleHave, Wait: 1500}),
	"watch-reply":    gobFormat(catalogrpc.WatchReply{Known: true, Behind: true, Packed: []byte{1, 2}}),
	"list-reply":     gobFormat(catalogrpc.ListReply{Ready: true, Packed: []byte{1, 2}}),
	"progress-args":  gobFormat(catalogrpc.ProgressArgs{Own: sampleProgress, Age: 700, Wait: 1500}),
	"progress-reply": gobFormat(catalogrpc.ProgressReply{Ready: true, Known: feed.PeerProgress{Progress: sampleProgress, Age: 700, Isolated: true}}),
	"exchange-args":  gobFormat(evidencerpc.ExchangeArgs{Report: sampleReport, Version: 4, Wait: 4000}),
	"exchange-reply": gobFormat(evidencerpc.ExchangeReply{Total: sampleReport, Version: 5}),
	"snapshot": {
		encode: func() ([]byte, error) { return snapshot.Seal(samplePeerKey, &samplePage, sampleConfiguration.Version) },
		decode: func(b []byte) (any, error) {
			page, err := snapshot.Open(samplePeerKey, b, catalog.Position{Epoch: samplePosition.Epoch, Revision: samplePosition.Revision + 1})
			return page.Changes, err
		},
	},
}

// record is set to the name of a build to record what it writes.
var record = os.Getenv("OATLATCH_RECORD_BUILD")

// TestRecordedBuilds guards against a change after which hosts cannot read what a released build
// writes: while hosts are replaced one after the other, both builds run. What a released build
// reads of this one is covered by TestTwoBuildsSideBySide and by the soak of two builds.
func TestRecordedBuilds(t *testing.T) {
	if record != "" {
		recordBuild(t, filepath.Join("testdata", record))
		return
	}
	builds, err := filepath.Glob("testdata/*")
	if err != nil || len(builds) == 0 {
		t.Fatalf("no recorded build, error %v", err)
	}
	for _, build := range builds {
		for name, f := range formats {
			t.Run(filepath.Base(build)+" "+name, func(t *testing.T) {
				g := NewWithT(t)
				text, err := os.ReadFile(filepath.Join(build, name+".hex"))
				g.Expect(err).NotTo(HaveOccurred())
				recorded, err := hex.DecodeString(strings.TrimSpace(string(text)))
				g.Expect(err).NotTo(HaveOccurred())
				got, err := f.decode(recorded)
				g.Expect(err).NotTo(HaveOccurred())
				if f.want != nil {
					g.Expect(got).To(Equal(f.want))
				} else {
					g.Expect(got).NotTo(BeEmpty())
				}
			})
		}
	}
}

// recordBuild writes the samples as this build encodes them.
func recordBuild(t *testing.T, dir string) {
	g := NewWithT(t)
	g.Expect(os.MkdirAll(dir, 0o755)).To(Succeed())
	for name, f := range formats {
		encoded, err := f.encode()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(os.WriteFile(filepath.Join(dir, name+".hex"), []byte(hex.EncodeToString(encoded)+"\n"), 0o600)).To(Succeed())
	}
}
