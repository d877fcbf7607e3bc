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

var _ = Describe("a server under abuse", func() {
	It("survives random bytes and frees what they took", func() {
		const attempts = 200
		b := newBench(nil, Limits{})
		good := b.client("akl-a/entry-3", nil, Limits{})
		expectEcho(good)
		random := rand.New(rand.NewPCG(20261203, 1))
		for range attempts {
			conn, err := net.Dial("tcp", b.server.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			_, err = sendGreeting(conn, "akl-a/abuser")
			Expect(err).NotTo(HaveOccurred())
			payload := make([]byte, 1+random.IntN(200))
			for i := range payload {
				payload[i] = byte(random.Uint32())
			}
			// The server may have hung up before all was written.
			_, _ = conn.Write(payload)
			Expect(conn.Close()).To(Succeed())
			Eventually(func() float64 { return metricValue(b.server.metrics.connections) }).Should(Equal(1.0))
		}
		Expect(metricValue(b.server.metrics.inFlight)).To(BeZero())
		expectEcho(good)
		Expect(metricValue(good.metrics.dials.WithLabelValues(resultOK))).To(Equal(1.0))
	})

	It("answers or refuses every one of many concurrent calls with short deadlines", func() {
		const callers, calls = 16, 100
		b := newBench(nil, Limits{})
		c := b.client(clientID, nil, Limits{InFlight: callers})
		var wait sync.WaitGroup
		failures := make(chan error, callers*calls)
		for caller := range callers {
			random := rand.New(rand.NewPCG(20261203, uint64(caller)))
			wait.Go(func() {
				for range calls {
					ctx, cancel := context.WithTimeout(context.Background(), time.Duration(random.IntN(2000))*time.Microsecond)
					var reply EchoReply
					err := c.Call(ctx, serverID, "Echo.Echo", &EchoArgs{Text: "x"}, &reply)
					cancel()
					if err == nil && reply.Text != string(clientID)+":x" {
						err = errors.New("answer of another call: " + reply.Text)
					}
					failures <- err
				}
			})
		}
		wait.Wait()
		close(failures)
		for err := range failures {
			Expect(err).To(Or(BeNil(), MatchError(kind(Timeout)), MatchError(kind(Busy))))
		}
		Eventually(func() float64 { return metricValue(c.metrics.inFlight) }).Should(BeZero())
		Eventually(func() float64 { return metricValue(b.server.metrics.inFlight) }).Should(BeZero())
		expectEcho(c)
		Expect(metricValue(c.metrics.dials.WithLabelValues(resultOK))).To(Equal(1.0))
	})
})
