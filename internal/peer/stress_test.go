package peer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a server under stress", func() {
	It("frees the resources of connections that send random bytes", func() {
		const attempts = 200
		s := startTestServer(nil, Limits{})
		validClient := s.newClient("akl-a/entry-3", nil, Limits{})
		expectEcho(validClient)
		random := rand.New(rand.NewPCG(20261203, 1))
		for range attempts {
			conn, err := net.Dial("tcp", s.server.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			_, err = sendGreeting(conn, "akl-a/abuser")
			Expect(err).NotTo(HaveOccurred())
			payload := make([]byte, 1+random.IntN(200))
			for i := range payload {
				payload[i] = byte(random.Uint32())
			}
			// The server may close the connection before everything is written.
			_, _ = conn.Write(payload)
			Expect(conn.Close()).To(Succeed())
			Eventually(func() float64 { return metricValue(s.server.metrics.connections) }).Should(Equal(1.0))
		}
		Expect(metricValue(s.server.metrics.inFlight)).To(BeZero())
		expectEcho(validClient)
		Expect(metricValue(validClient.metrics.dials.WithLabelValues(resultOK))).To(Equal(1.0))
	})

	It("answers, refuses or times out each of many concurrent calls with short deadlines", func() {
		const callers, calls = 16, 100
		s := startTestServer(nil, Limits{})
		c := s.newClient(clientID, nil, Limits{InFlight: callers})
		var wg sync.WaitGroup
		failures := make(chan error, callers*calls)
		for caller := range callers {
			random := rand.New(rand.NewPCG(20261203, uint64(caller)))
			wg.Go(func() {
				for range calls {
					ctx, cancel := context.WithTimeout(context.Background(), time.Duration(random.IntN(2000))*time.Microsecond)
					var reply EchoReply
					err := c.Call(ctx, serverID, "Echo.Echo", &EchoArgs{Text: "x"}, &reply)
					cancel()
					if err == nil && reply.Text != string(clientID)+":x" {
						err = errors.New("received the reply of another call: " + reply.Text)
					}
					failures <- err
				}
			})
		}
		wg.Wait()
		close(failures)
		for err := range failures {
			Expect(err).To(Or(BeNil(), MatchError(errorOfKind(Timeout)), MatchError(errorOfKind(Busy))))
		}
		Eventually(func() float64 { return metricValue(c.metrics.inFlight) }).Should(BeZero())
		Eventually(func() float64 { return metricValue(s.server.metrics.inFlight) }).Should(BeZero())
		expectEcho(c)
		Expect(metricValue(c.metrics.dials.WithLabelValues(resultOK))).To(Equal(1.0))
	})
})
