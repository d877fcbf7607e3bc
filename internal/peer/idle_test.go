package peer

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The idle timeout of a server", func() {
	// Guards against a server that closes a connection, and cancels its call, because the
	// call takes longer than the idle timeout.
	It("does not run while a call is in progress", func() {
		const idle = 100 * time.Millisecond
		s := startTestServer(nil, Limits{IdleTimeout: idle})
		c := s.newClient(clientID, nil, Limits{})
		time.AfterFunc(5*idle, func() { close(s.release) })
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		var reply EchoReply
		Expect(c.Call(ctx, serverID, "Echo.Block", &EchoArgs{}, &reply)).To(Succeed())
		Expect(reply.Text).To(Equal("released"))
		Expect(s.cancelledCount.Load()).To(BeZero())
		Eventually(func() float64 { return metricValue(s.server.metrics.connections) }, "5s").Should(BeZero())
	})
})
