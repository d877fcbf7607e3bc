package peer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/membership"
)

const (
	serverID host.ID = "akl-a/entry-1"
	clientID host.ID = "akl-a/entry-2"
)

// EchoArgs and EchoReply are the messages of the test service.
type EchoArgs struct {
	Text string
	ctx  context.Context
}

func (a *EchoArgs) SetContext(ctx context.Context) { a.ctx = ctx }

type EchoReply struct{ Text string }

// echoService answers from the caller's identity; its blocked methods wait for
// release or the end of their call.
type echoService struct {
	from     host.ID
	entered  chan struct{}
	release  chan struct{}
	canceled *atomic.Int64
}

func (s *echoService) Echo(args *EchoArgs, reply *EchoReply) error {
	reply.Text = string(s.from) + ":" + args.Text
	return nil
}

func (s *echoService) Fail(args *EchoArgs, reply *EchoReply) error {
	return errors.New("refused: " + args.Text)
}

func (s *echoService) Grow(args *EchoArgs, reply *EchoReply) error {
	reply.Text = string(make([]byte, 2*defaultMessageBytes))
	return nil
}

func (s *echoService) Block(args *EchoArgs, reply *EchoReply) error {
	s.entered <- struct{}{}
	select {
	case <-s.release:
		reply.Text = "released"
		return nil
	case <-args.ctx.Done():
		s.canceled.Add(1)
		return args.ctx.Err()
	}
}

// bench is a server under test.
type bench struct {
	server   *Server
	entered  chan struct{}
	release  chan struct{}
	canceled atomic.Int64
	stop     context.CancelFunc
	ended    chan error
}

func newBench(keys *TLS, limits Limits) *bench {
	b := &bench{entered: make(chan struct{}, 1000), release: make(chan struct{}), ended: make(chan error, 1)}
	server, err := NewServer(ServerOptions{
		Self:       serverID,
		Listen:     netip.MustParseAddrPort("127.0.0.1:0"),
		TLS:        keys,
		Logger:     zerolog.Nop(),
		Registerer: prometheus.NewRegistry(),
		Limits:     limits,
	})
	Expect(err).NotTo(HaveOccurred())
	server.Register("Echo", func(from host.ID) any {
		return &echoService{from: from, entered: b.entered, release: b.release, canceled: &b.canceled}
	})
	b.server = server
	ctx, cancel := context.WithCancel(context.Background())
	b.stop = cancel
	go func() { b.ended <- server.Run(ctx) }()
	DeferCleanup(func() {
		cancel()
		Eventually(b.ended, "10s").Should(Receive(BeNil()))
	})
	return b
}

func (b *bench) refused(kind Kind) float64 {
	return metricValue(b.server.metrics.refused.WithLabelValues(string(kind)))
}

func (b *bench) client(self host.ID, keys *TLS, limits Limits) *Client {
	c := NewClient(ClientOptions{
		Self: self, TLS: keys, Logger: zerolog.Nop(), Registerer: prometheus.NewRegistry(), Limits: limits,
	})
	c.SetMembers(membership.View{Members: []membership.Member{
		{Host: host.Host{ID: serverID, PeerAddress: b.server.Addr()}, State: membership.Live},
	}})
	DeferCleanup(c.Close)
	return c
}

func echo(c *Client, text string) (string, error) {
	var reply EchoReply
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	err := c.Call(ctx, serverID, "Echo.Echo", &EchoArgs{Text: text}, &reply)
	return reply.Text, err
}

func expectEcho(c *Client) {
	GinkgoHelper()
	text, err := echo(c, "hi")
	Expect(err).NotTo(HaveOccurred())
	Expect(text).To(Equal(string(c.self) + ":hi"))
}

func kind(k Kind) *Error { return &Error{Kind: k} }

var _ = Describe("calls over mutual TLS", func() {
	var authority *testAuthority
	var b *bench
	var good *Client

	BeforeEach(func() {
		authority = newTestAuthority()
		b = newBench(authority.load(serverID), Limits{HandshakeTimeout: 500 * time.Millisecond})
		good = b.client(clientID, authority.load(clientID), Limits{})
		expectEcho(good)
	})

	// A good peer's connection is never disturbed by what others send.
	AfterEach(func() {
		expectEcho(good)
		Expect(metricValue(good.metrics.dials.WithLabelValues(resultOK))).To(Equal(1.0))
	})

	It("refuses a certificate of another CA", func() {
		other := newTestAuthority()
		keys := other.files(clientID, time.Hour)
		keys.CA = authority.files(clientID, time.Hour).CA
		loaded := &TLS{files: keys, now: time.Now}
		_, err := loaded.load()
		Expect(err).To(MatchError(kind(WrongAuthority)))

		_, err = echo(b.client(clientID, other.load(clientID), Limits{}), "hi")
		Expect(err).To(MatchError(kind(WrongAuthority)))
		Eventually(func() float64 { return b.refused(Interrupted) + b.refused(WrongAuthority) }).Should(Equal(1.0))
	})

	It("refuses a client that the server's CA has not signed", func() {
		other := newTestAuthority().load(clientID)
		other.current.Load().authorities = authority.load(clientID).current.Load().authorities
		_, err := echo(b.client(clientID, other, Limits{}), "hi")
		Expect(err).To(HaveOccurred())
		Eventually(func() float64 { return b.refused(WrongAuthority) }).Should(Equal(1.0))
	})

	It("refuses an expired certificate", func() {
		expired := &TLS{files: authority.files(clientID, -time.Hour), now: func() time.Time { return time.Now().Add(-90 * time.Minute) }}
		loaded, err := expired.load()
		Expect(err).NotTo(HaveOccurred())
		expired.current.Store(loaded)
		expired.now = time.Now
		_, err = echo(b.client(clientID, expired, Limits{}), "hi")
		Expect(err).To(HaveOccurred())
		Eventually(func() float64 { return b.refused(Expired) }).Should(Equal(1.0))
		_, err = LoadTLS(expired.files)
		Expect(err).To(MatchError(kind(Expired)))
	})

	It("refuses a caller that greets with another identity than its certificate's", func() {
		_, err := echo(b.client("akl-a/entry-9", authority.load(clientID), Limits{}), "hi")
		Expect(err).To(MatchError(kind(WrongIdentity)))
		Expect(b.refused(WrongIdentity)).To(Equal(1.0))
	})

	It("refuses to call another host at a member's address", func() {
		c := b.client(clientID, authority.load(clientID), Limits{})
		c.SetMembers(membership.View{Members: []membership.Member{
			{Host: host.Host{ID: "akl-a/entry-3", PeerAddress: b.server.Addr()}, State: membership.Live},
		}})
		err := c.Call(context.Background(), "akl-a/entry-3", "Echo.Echo", &EchoArgs{}, &EchoReply{})
		Expect(err).To(MatchError(kind(WrongIdentity)))
		err = c.Call(context.Background(), serverID, "Echo.Echo", &EchoArgs{}, &EchoReply{})
		Expect(err).To(MatchError(kind(UnknownHost)))
	})

	It("refuses plain TCP, garbage and silence", func() {
		_, err := echo(b.client(clientID, nil, Limits{}), "hi")
		Expect(err).To(HaveOccurred())
		Eventually(func() float64 { return b.refused(NotTLS) }).Should(Equal(1.0))
		silent, err := net.Dial("tcp", b.server.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer silent.Close()
		Eventually(func() float64 { return b.refused(Stalled) }, "3s").Should(Equal(1.0))
	})

	It("rotates keys without dropping a connection in use", func() {
		serverKeys := b.server.options.TLS
		files := authority.files(serverID, 30*time.Minute)
		was := serverKeys.NotAfter()
		serverKeys.files = files
		Expect(serverKeys.Reload()).To(Succeed())
		Expect(serverKeys.NotAfter()).NotTo(Equal(was))
		expectEcho(good)
		expectEcho(b.client("akl-a/entry-4", authority.load("akl-a/entry-4"), Limits{}))

		serverKeys.files = authority.files("akl-a/entry-7", time.Hour)
		Expect(serverKeys.Reload()).To(MatchError(kind(BadKeys)))
		serverKeys.files.Key = "/nonexistent"
		Expect(serverKeys.Reload()).To(MatchError(kind(BadKeys)))
		Expect(serverKeys.Identity().Host).To(Equal(serverID))
	})
})

var _ = Describe("bounds of calls", func() {
	It("refuses oversized messages on either side and keeps the connection", func() {
		b := newBench(nil, Limits{})
		c := b.client(clientID, nil, Limits{})
		_, err := echo(c, string(make([]byte, 2*defaultMessageBytes)))
		Expect(err).To(MatchError(kind(TooLarge)))
		expectEcho(c)
		var reply EchoReply
		Expect(c.Call(context.Background(), serverID, "Echo.Grow", &EchoArgs{}, &reply)).To(MatchError(kind(TooLarge)))
		expectEcho(c)
		Expect(metricValue(c.metrics.dials.WithLabelValues(resultOK))).To(Equal(1.0))
	})

	It("closes the connection of a peer that sends more than the limit or garbage", func() {
		b := newBench(nil, Limits{})
		good := b.client("akl-a/entry-3", nil, Limits{})
		expectEcho(good)
		_, err := echo(b.client(clientID, nil, Limits{MessageBytes: 8 << 20}), string(make([]byte, 2*defaultMessageBytes)))
		Expect(err).To(HaveOccurred())
		Eventually(func() float64 { return b.refused(TooLarge) }).Should(BeNumerically(">=", 1.0))

		raw, err := net.Dial("tcp", b.server.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer raw.Close()
		_, err = sendGreeting(raw, "akl-a/entry-5")
		Expect(err).NotTo(HaveOccurred())
		_, err = raw.Write([]byte{0x03, 0xff, 0xfe, 0xfd, 0x01, 0x02})
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() float64 { return b.refused(Garbage) }).Should(Equal(1.0))
		expectEcho(good)
	})

	It("tells a method's error from a refusal", func() {
		c := newBench(nil, Limits{}).client(clientID, nil, Limits{})
		err := c.Call(context.Background(), serverID, "Echo.Fail", &EchoArgs{Text: "x"}, &EchoReply{})
		Expect(err).To(MatchError(kind(Failed)))
		Expect(err.Error()).To(ContainSubstring("refused: x"))
		Expect(c.Call(context.Background(), serverID, "Echo.None", &EchoArgs{}, &EchoReply{})).To(MatchError(kind(Failed)))
		expectEcho(c)
	})

	It("caps the calls in flight on both sides", func() {
		b := newBench(nil, Limits{InFlight: 2})
		c := b.client(clientID, nil, Limits{InFlight: 3})
		results := make(chan error, 4)
		call := func() {
			results <- c.Call(context.Background(), serverID, "Echo.Block", &EchoArgs{}, &EchoReply{})
		}
		go call()
		go call()
		Eventually(b.entered).Should(Receive())
		Eventually(b.entered).Should(Receive())
		go call()
		Eventually(results).Should(Receive(MatchError(kind(Busy))))
		Expect(b.refused(Busy)).To(Equal(1.0))
		close(b.release)
		Eventually(results).Should(Receive(BeNil()))
		Eventually(results).Should(Receive(BeNil()))
		expectEcho(c)
	})

	It("carries cancellation and deadline to the method", func() {
		b := newBench(nil, Limits{})
		c := b.client(clientID, nil, Limits{})
		ctx, cancel := context.WithCancel(context.Background())
		result := make(chan error, 1)
		go func() { result <- c.Call(ctx, serverID, "Echo.Block", &EchoArgs{}, &EchoReply{}) }()
		Eventually(b.entered).Should(Receive())
		cancel()
		Eventually(result).Should(Receive(MatchError(kind(Cancelled))))
		Eventually(b.canceled.Load).Should(Equal(int64(1)))
		short, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		Expect(c.Call(short, serverID, "Echo.Block", &EchoArgs{}, &EchoReply{})).To(HaveOccurred())
		Eventually(b.canceled.Load).Should(Equal(int64(2)))
		expectEcho(c)
	})

	It("finishes calls in progress before it stops", func() {
		b := newBench(nil, Limits{})
		c := b.client(clientID, nil, Limits{})
		result := make(chan error, 1)
		var reply EchoReply
		go func() { result <- c.Call(context.Background(), serverID, "Echo.Block", &EchoArgs{}, &reply) }()
		Eventually(b.entered).Should(Receive())
		b.stop()
		Eventually(func() error { _, err := echo(c, "hi"); return err }).Should(MatchError(kind(Closed)))
		close(b.release)
		Eventually(result).Should(Receive(BeNil()))
		Expect(reply.Text).To(Equal("released"))
	})

	It("is not held up by a peer that never answers", func() {
		b := newBench(nil, Limits{})
		c := b.client(clientID, nil, Limits{InFlight: 2, StallTimeout: 100 * time.Millisecond, HandshakeTimeout: time.Second})
		mute, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer mute.Close()
		accepted := make(chan net.Conn, 8)
		go func() {
			for {
				conn, err := mute.Accept()
				if err != nil {
					close(accepted)
					return
				}
				_, _ = acceptGreeting(conn, "akl-a/mute", "")
				accepted <- conn
			}
		}()
		address := netip.MustParseAddrPort(mute.Addr().String())
		ask := func() error {
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			return c.CallAddress(ctx, address, "Echo.Echo", &EchoArgs{}, &EchoReply{})
		}
		Expect(ask()).To(MatchError(kind(Timeout)))
		Expect(ask()).To(MatchError(kind(Timeout)))
		Expect(ask()).To(MatchError(kind(Busy)))
		expectEcho(c)
		// The stalled connection is replaced, which frees its slots.
		Eventually(ask, "3s").Should(MatchError(kind(Timeout)))
		expectEcho(c)
		Expect(c.Close()).To(Succeed())
		mute.Close()
		for conn := range accepted {
			conn.Close()
		}
	})

	It("serves and calls without TLS on loopback only", func() {
		_, err := NewServer(ServerOptions{Self: serverID, Listen: netip.MustParseAddrPort("0.0.0.0:0"), Registerer: prometheus.NewRegistry()})
		Expect(err).To(MatchError(kind(BadKeys)))
		c := newBench(nil, Limits{}).client(clientID, nil, Limits{})
		err = c.CallAddress(context.Background(), netip.MustParseAddrPort("192.0.2.1:9"), "Echo.Echo", &EchoArgs{}, &EchoReply{})
		Expect(err).To(MatchError(kind(BadKeys)))
	})
})
