package gossip

import (
	"context"
	"encoding/hex"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/feed"
)

var (
	peerKey      = []byte("0123456789abcdef0123456789abcdef")
	otherPeerKey = []byte("fedcba9876543210fedcba9876543210")
)

func newKeys(t testing.TB, current, former []byte) *Keys {
	t.Helper()
	k, err := NewKeys(current, former)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// recordedMessage is a message as the first build with messages sends it, without its tag, and
// recorded is its content.
const recordedMessage = "08021207656e7472792d31180220f9d7372867300138024084d83748025096d73758bc056001"

var recorded = feed.Message{Kind: feed.Answer, PeerProgress: feed.PeerProgress{
	Progress: catalog.Progress{
		Have:   catalog.Have{Position: catalog.Position{Epoch: 2, Revision: 912377}, Version: 103, Overrides: 1},
		Newest: catalog.Position{Epoch: 2, Revision: 912388}, Operator: catalog.Position{Epoch: 2, Revision: 912278},
	},
	Age: 700 * time.Millisecond, Isolated: true,
}}

// TestRecordedMessage guards against a change of the format that hosts of other builds cannot
// read during an upgrade, in either direction.
func TestRecordedMessage(t *testing.T) {
	g := NewWithT(t)
	message, err := hex.DecodeString(recordedMessage)
	g.Expect(err).NotTo(HaveOccurred())
	host, m, err := decode(message)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(host).To(Equal("entry-1"))
	g.Expect(m).To(Equal(recorded))
	g.Expect(encode("entry-1", &recorded)).To(Equal(message))

	later := protowire.AppendVarint(protowire.AppendTag(message, 200, protowire.VarintType), 7)
	later = protowire.AppendString(protowire.AppendTag(later, 201, protowire.BytesType), "a field of a later build")
	later = protowire.AppendFixed64(protowire.AppendTag(later, fieldVersion, protowire.Fixed64Type), 9)
	_, m, err = decode(later)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(m).To(Equal(recorded), "unknown fields, and known ones of another type, are ignored")
}

func TestOnlyHostsWithThePeerKeyAreBelieved(t *testing.T) {
	g := NewWithT(t)
	sealed := newKeys(t, peerKey, nil).seal("entry-1", &recorded)
	host, m, err := newKeys(t, otherPeerKey, peerKey).open(sealed)
	g.Expect(err).NotTo(HaveOccurred(), "the former key is in use as well")
	g.Expect(host).To(Equal("entry-1"))
	g.Expect(m).To(Equal(recorded))
	_, _, err = newKeys(t, otherPeerKey, nil).open(sealed)
	g.Expect(err).To(MatchError(errTag))
	for i := range sealed {
		changed := append([]byte(nil), sealed...)
		changed[i] ^= 1
		_, _, err = newKeys(t, peerKey, nil).open(changed)
		g.Expect(err).To(MatchError(errTag))
		_, _, err = newKeys(t, peerKey, nil).open(sealed[:i])
		g.Expect(err).To(MatchError(errTag))
	}
}

// FuzzDecode guards against a message that panics a host. Only hosts with the peer key can send
// one, but a later build may have a fault.
func FuzzDecode(f *testing.F) {
	message, _ := hex.DecodeString(recordedMessage)
	f.Add(message)
	f.Add(message[:5])
	f.Fuzz(func(t *testing.T, message []byte) {
		host, m, err := decode(message)
		if err != nil {
			return
		}
		again, second, err := decode(encode(host, &m))
		m.Age = max(time.Millisecond, m.Age)
		if err != nil || again != host || second != m {
			t.Errorf("%+v of %q became %+v of %q, error %v", m, host, second, again, err)
		}
	})
}

// TestQuestionIsAnswered covers the way from socket to socket, and bytes of strangers.
func TestQuestionIsAnswered(t *testing.T) {
	g := NewWithT(t)
	received := make(chan string, 4)
	open := func(name string, key []byte, answers bool) *Socket {
		s, err := NewSocket(Options{
			Self: name, Listen: netip.MustParseAddrPort("127.0.0.1:0"), Keys: newKeys(t, key, nil), Logger: zerolog.Nop(), Registerer: prometheus.NewRegistry(),
			Receive: func(from string, m feed.Message) (feed.Message, bool) {
				received <- name + " from " + from + ": " + m.Kind.String()
				return feed.Message{Kind: feed.Answer}, answers
			},
		})
		g.Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- s.Run(ctx) }()
		t.Cleanup(func() {
			cancel()
			g.Expect(<-ended).To(Succeed())
		})
		return s
	}
	asked, asking, stranger := open("a", peerKey, true), open("b", peerKey, false), open("c", otherPeerKey, false)
	to := asked.conn.LocalAddr().(interface{ AddrPort() netip.AddrPort }).AddrPort()
	stranger.Send(to, &feed.Message{Kind: feed.Ask})
	asking.Send(to, &feed.Message{Kind: feed.Ask})
	g.Expect(<-received).To(Equal("a from b: ask"))
	g.Expect(<-received).To(Equal("b from a: answer"))
}
