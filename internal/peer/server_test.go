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

// EchoArgs and EchoReply are the argument and reply types of the test service.
type EchoArgs struct {
	Text string
	ctx  context.Context
}

func (a *EchoArgs) SetContext(ctx context.Context) { a.ctx = ctx }

type EchoReply struct{ Text string }

// echoService is the test service. Echo puts the ID of the calling host before the
// text. Block signals entered, then waits until release is closed or its context ends.
type echoService struct {
	remote         host.ID
	entered        chan struct{}
	release        chan struct{}
	cancelledCount *atomic.Int64
}

func (s *echoService) Echo(args *EchoArgs, reply *EchoReply) error {
	reply.Text = string(s.remote) + ":" + args.Text
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
		s.cancelledCount.Add(1)
		return args.ctx.Err()
	}
}

// testServer is a running server that provides the test service.
type testServer struct {
	server         *Server
	entered        chan struct{}
	release        chan struct{}
	cancelledCount atomic.Int64
	stop           context.CancelFunc
	runResult      chan error
}

func startTestServer(keys *TLS, limits Limits) *testServer {
	s := &testServer{entered: make(chan struct{}, 1000), release: make(chan struct{}), runResult: make(chan error, 1)}
	server, err := NewServer(ServerOptions{
		Self:       serverID,
		Listen:     netip.MustParseAddrPort("127.0.0.1:0"),
		TLS:        keys,
		Logger:     zerolog.Nop(),
		Registerer: prometheus.NewRegistry(),
		Limits:     limits,
	})
	Expect(err).NotTo(HaveOccurred())
	server.Register("Echo", func(remote host.ID) any {
		return &echoService{remote: remote, entered: s.entered, release: s.release, cancelledCount: &s.cancelledCount}
	})
	s.server = server
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	go func() { s.runResult <- server.Run(ctx) }()
	DeferCleanup(func() {
		cancel()
		Eventually(s.runResult, "10s").Should(Receive(BeNil()))
	})
	return s
}

// refusedCount returns how many refusals of a kind the server has counted.
func (s *testServer) refusedCount(kind Kind) float64 {
	return metricValue(s.server.metrics.refused.WithLabelValues(string(kind)))
}

// newClient returns a client that knows only the server.
func (s *testServer) newClient(self host.ID, keys *TLS, limits Limits) *Client {
	c := NewClient(ClientOptions{
		Self: self, TLS: keys, Logger: zerolog.Nop(), Registerer: prometheus.NewRegistry(), Limits: limits,
	})
	c.SetMembers(membership.View{Members: []membership.Member{
		{Host: host.Host{ID: serverID, PeerAddress: s.server.Addr()}, State: membership.Live},
	}})
	DeferCleanup(c.Close)
	return c
}

func callEcho(c *Client, text string) (string, error) {
	var reply EchoReply
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	err := c.Call(ctx, serverID, "Echo.Echo", &EchoArgs{Text: text}, &reply)
	return reply.Text, err
}

func expectEcho(c *Client) {
	GinkgoHelper()
	text, err := callEcho(c, "hi")
	Expect(err).NotTo(HaveOccurred())
	Expect(text).To(Equal(string(c.self) + ":hi"))
}

func errorOfKind(k Kind) *Error { return &Error{Kind: k} }

var _ = Describe("calls over mutual TLS", func() {
	var authority *testAuthority
	var s *testServer
	var validClient *Client

	BeforeEach(func() {
		authority = newTestAuthority()
		s = startTestServer(authority.issueTLS(serverID), Limits{HandshakeTimeout: 500 * time.Millisecond})
		validClient = s.newClient(clientID, authority.issueTLS(clientID), Limits{})
		expectEcho(validClient)
	})

	// Refused connections must not affect the connection of a valid client.
	AfterEach(func() {
		expectEcho(validClient)
		Expect(metricValue(validClient.metrics.dials.WithLabelValues(resultOK))).To(Equal(1.0))
	})

	It("refuses a certificate that another CA has signed", func() {
		otherAuthority := newTestAuthority()
		keys := otherAuthority.issueSources(clientID, time.Hour)
		keys.CA = authority.issueSources(clientID, time.Hour).CA
		loaded := &TLS{sources: keys, now: time.Now}
		_, err := loaded.loadKeys()
		Expect(err).To(MatchError(errorOfKind(UnknownAuthority)))

		_, err = callEcho(s.newClient(clientID, otherAuthority.issueTLS(clientID), Limits{}), "hi")
		Expect(err).To(MatchError(errorOfKind(UnknownAuthority)))
		Eventually(func() float64 { return s.refusedCount(Interrupted) + s.refusedCount(UnknownAuthority) }).Should(Equal(1.0))
	})

	It("refuses a client that the server's CA has not signed", func() {
		untrusted := newTestAuthority().issueTLS(clientID)
		untrusted.current.Load().roots = authority.issueTLS(clientID).current.Load().roots
		_, err := callEcho(s.newClient(clientID, untrusted, Limits{}), "hi")
		Expect(err).To(HaveOccurred())
		Eventually(func() float64 { return s.refusedCount(UnknownAuthority) }).Should(Equal(1.0))
	})

	It("refuses an expired certificate", func() {
		expired := &TLS{sources: authority.issueSources(clientID, -time.Hour), now: func() time.Time { return time.Now().Add(-90 * time.Minute) }}
		loaded, err := expired.loadKeys()
		Expect(err).NotTo(HaveOccurred())
		expired.current.Store(loaded)
		expired.now = time.Now
		_, err = callEcho(s.newClient(clientID, expired, Limits{}), "hi")
		Expect(err).To(HaveOccurred())
		Eventually(func() float64 { return s.refusedCount(Expired) }).Should(Equal(1.0))
		_, err = LoadTLS(expired.sources)
		Expect(err).To(MatchError(errorOfKind(Expired)))
	})

	It("refuses a client whose greeting doesn't match its certificate", func() {
		_, err := callEcho(s.newClient("akl-a/entry-9", authority.issueTLS(clientID), Limits{}), "hi")
		Expect(err).To(MatchError(errorOfKind(WrongIdentity)))
		Eventually(func() float64 { return s.refusedCount(WrongIdentity) }).Should(Equal(1.0))
	})

	It("refuses to call a member whose address belongs to another host", func() {
		c := s.newClient(clientID, authority.issueTLS(clientID), Limits{})
		c.SetMembers(membership.View{Members: []membership.Member{
			{Host: host.Host{ID: "akl-a/entry-3", PeerAddress: s.server.Addr()}, State: membership.Live},
		}})
		err := c.Call(context.Background(), "akl-a/entry-3", "Echo.Echo", &EchoArgs{}, &EchoReply{})
		Expect(err).To(MatchError(errorOfKind(WrongIdentity)))
		err = c.Call(context.Background(), serverID, "Echo.Echo", &EchoArgs{}, &EchoReply{})
		Expect(err).To(MatchError(errorOfKind(UnknownHost)))
	})

	It("refuses connections without TLS and connections that send nothing", func() {
		_, err := callEcho(s.newClient(clientID, nil, Limits{}), "hi")
		Expect(err).To(HaveOccurred())
		Eventually(func() float64 { return s.refusedCount(NotTLS) }).Should(Equal(1.0))
		silent, err := net.Dial("tcp", s.server.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer silent.Close()
		Eventually(func() float64 { return s.refusedCount(Stalled) }, "3s").Should(Equal(1.0))
	})

	It("reloads keys without closing established connections", func() {
		serverKeys := s.server.options.TLS
		sources := authority.issueSources(serverID, 30*time.Minute)
		oldExpiry := serverKeys.NotAfter()
		serverKeys.sources = sources
		Expect(serverKeys.Reload()).To(Succeed())
		Expect(serverKeys.NotAfter()).NotTo(Equal(oldExpiry))
		expectEcho(validClient)
		expectEcho(s.newClient("akl-a/entry-4", authority.issueTLS("akl-a/entry-4"), Limits{}))

		serverKeys.sources = authority.issueSources("akl-a/entry-7", time.Hour)
		Expect(serverKeys.Reload()).To(MatchError(errorOfKind(InvalidKeys)))
		serverKeys.sources.Key = "/nonexistent"
		Expect(serverKeys.Reload()).To(MatchError(errorOfKind(InvalidKeys)))
		Expect(serverKeys.Identity().Host).To(Equal(serverID))
	})
})

var _ = Describe("limits of calls", func() {
	It("refuses to send oversized requests and replies and keeps the connection", func() {
		s := startTestServer(nil, Limits{})
		c := s.newClient(clientID, nil, Limits{})
		_, err := callEcho(c, string(make([]byte, 2*defaultMessageBytes)))
		Expect(err).To(MatchError(errorOfKind(TooLarge)))
		expectEcho(c)
		var reply EchoReply
		Expect(c.Call(context.Background(), serverID, "Echo.Grow", &EchoArgs{}, &reply)).To(MatchError(errorOfKind(TooLarge)))
		expectEcho(c)
		Expect(metricValue(c.metrics.dials.WithLabelValues(resultOK))).To(Equal(1.0))
	})

	It("closes the connection of a client that sends an oversized or malformed message", func() {
		s := startTestServer(nil, Limits{})
		validClient := s.newClient("akl-a/entry-3", nil, Limits{})
		expectEcho(validClient)
		_, err := callEcho(s.newClient(clientID, nil, Limits{MessageBytes: 8 << 20}), string(make([]byte, 2*defaultMessageBytes)))
		Expect(err).To(HaveOccurred())
		Eventually(func() float64 { return s.refusedCount(TooLarge) }).Should(BeNumerically(">=", 1.0))

		raw, err := net.Dial("tcp", s.server.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer raw.Close()
		_, err = sendGreeting(raw, "akl-a/entry-5")
		Expect(err).NotTo(HaveOccurred())
		_, err = raw.Write([]byte{0x03, 0xff, 0xfe, 0xfd, 0x01, 0x02})
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() float64 { return s.refusedCount(Malformed) }).Should(Equal(1.0))
		expectEcho(validClient)
	})

	It("reports the errors of methods and unknown methods as failed", func() {
		c := startTestServer(nil, Limits{}).newClient(clientID, nil, Limits{})
		err := c.Call(context.Background(), serverID, "Echo.Fail", &EchoArgs{Text: "x"}, &EchoReply{})
		Expect(err).To(MatchError(errorOfKind(Failed)))
		Expect(err.Error()).To(ContainSubstring("refused: x"))
		Expect(c.Call(context.Background(), serverID, "Echo.None", &EchoArgs{}, &EchoReply{})).To(MatchError(errorOfKind(Failed)))
		expectEcho(c)
	})

	It("limits the calls in flight on both sides", func() {
		s := startTestServer(nil, Limits{InFlight: 2})
		c := s.newClient(clientID, nil, Limits{InFlight: 3})
		results := make(chan error, 4)
		call := func() {
			results <- c.Call(context.Background(), serverID, "Echo.Block", &EchoArgs{}, &EchoReply{})
		}
		go call()
		go call()
		Eventually(s.entered).Should(Receive())
		Eventually(s.entered).Should(Receive())
		go call()
		Eventually(results).Should(Receive(MatchError(errorOfKind(Busy))))
		Expect(s.refusedCount(Busy)).To(Equal(1.0))
		close(s.release)
		Eventually(results).Should(Receive(BeNil()))
		Eventually(results).Should(Receive(BeNil()))
		expectEcho(c)
	})

	It("passes cancellation and deadline to the method's context", func() {
		s := startTestServer(nil, Limits{})
		c := s.newClient(clientID, nil, Limits{})
		ctx, cancel := context.WithCancel(context.Background())
		result := make(chan error, 1)
		go func() { result <- c.Call(ctx, serverID, "Echo.Block", &EchoArgs{}, &EchoReply{}) }()
		Eventually(s.entered).Should(Receive())
		cancel()
		Eventually(result).Should(Receive(MatchError(errorOfKind(Cancelled))))
		Eventually(s.cancelledCount.Load).Should(Equal(int64(1)))
		shortCtx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		Expect(c.Call(shortCtx, serverID, "Echo.Block", &EchoArgs{}, &EchoReply{})).To(HaveOccurred())
		Eventually(s.cancelledCount.Load).Should(Equal(int64(2)))
		expectEcho(c)
	})

	It("finishes calls in progress before it stops", func() {
		s := startTestServer(nil, Limits{})
		c := s.newClient(clientID, nil, Limits{})
		result := make(chan error, 1)
		var reply EchoReply
		go func() { result <- c.Call(context.Background(), serverID, "Echo.Block", &EchoArgs{}, &reply) }()
		Eventually(s.entered).Should(Receive())
		s.stop()
		Eventually(func() error { _, err := callEcho(c, "hi"); return err }).Should(MatchError(errorOfKind(Closed)))
		close(s.release)
		Eventually(result).Should(Receive(BeNil()))
		Expect(reply.Text).To(Equal("released"))
	})

	It("calls other hosts while one peer never responds", func() {
		s := startTestServer(nil, Limits{})
		c := s.newClient(clientID, nil, Limits{InFlight: 2, StallTimeout: 100 * time.Millisecond, HandshakeTimeout: time.Second})
		silentListener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer silentListener.Close()
		accepted := make(chan net.Conn, 8)
		go func() {
			for {
				conn, err := silentListener.Accept()
				if err != nil {
					close(accepted)
					return
				}
				_, _ = acceptGreeting(conn, "akl-a/mute", "")
				accepted <- conn
			}
		}()
		address := netip.MustParseAddrPort(silentListener.Addr().String())
		call := func() error {
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			return c.CallAddress(ctx, address, "Echo.Echo", &EchoArgs{}, &EchoReply{})
		}
		Expect(call()).To(MatchError(errorOfKind(Timeout)))
		Expect(call()).To(MatchError(errorOfKind(Timeout)))
		Expect(call()).To(MatchError(errorOfKind(Busy)))
		expectEcho(c)
		// The stalled connection is closed, which frees the slots of its calls.
		Eventually(call, "3s").Should(MatchError(errorOfKind(Timeout)))
		expectEcho(c)
		Expect(c.Close()).To(Succeed())
		silentListener.Close()
		for conn := range accepted {
			conn.Close()
		}
	})

	It("serves and calls without TLS only on loopback addresses", func() {
		_, err := NewServer(ServerOptions{Self: serverID, Listen: netip.MustParseAddrPort("0.0.0.0:0"), Registerer: prometheus.NewRegistry()})
		Expect(err).To(MatchError(errorOfKind(InvalidKeys)))
		c := startTestServer(nil, Limits{}).newClient(clientID, nil, Limits{})
		err = c.CallAddress(context.Background(), netip.MustParseAddrPort("192.0.2.1:9"), "Echo.Echo", &EchoArgs{}, &EchoReply{})
		Expect(err).To(MatchError(errorOfKind(InvalidKeys)))
	})
})
