package peer

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
)

// Guards against bytes that no method accounts for, and against peers that create time series
// by calling methods that do not exist.
var _ = Describe("Traffic by method", func() {
	It("accounts for the bytes of both sides", func() {
		server := startTestServer(nil, Limits{})
		client := server.newClient("quay-1", nil, Limits{})
		expectEcho(client)
		for _, method := range []string{"Echo.Missing", "None.Echo"} {
			Expect(client.CallAddress(context.Background(), server.server.Addr(), method, &EchoArgs{}, &EchoReply{})).NotTo(Succeed())
		}
		served, made := server.server.metrics.traffic, client.metrics.traffic
		echo, sent := served.method("Echo.Echo"), made.method("Echo.Echo")
		Expect(metricValue(echo.calls)).To(BeEquivalentTo(1))
		Expect(metricValue(sent.calls)).To(BeEquivalentTo(1))
		Expect(metricValue(echo.in)).To(Equal(metricValue(sent.out)))
		Expect(metricValue(echo.in)).To(BeNumerically(">", 0))
		Eventually(func() float64 { return metricValue(echo.out) }).Should(Equal(metricValue(sent.in)))
		Expect(metricValue(served.method(unknownMethod).calls)).To(BeEquivalentTo(2))
		series := make(chan prometheus.Metric, 10)
		served.calls.Collect(series)
		Expect(series).To(HaveLen(2), "Echo.Echo and unknown")
	})
})
