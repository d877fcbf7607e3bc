package peer

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	"go.uber.org/goleak"

	"github.com/oatlatch/oatlatch/internal/standin/testflags"
)

func TestMain(m *testing.M) {
	testflags.SetTestFlags(testflags.Options{})
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction(
		"github.com/onsi/ginkgo/v2/internal/interrupt_handler.(*InterruptHandler).registerForInterrupts.func2"))
}

func TestPeer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "peer")
}

// metricValue returns the current value of a counter or gauge.
func metricValue(metric prometheus.Metric) float64 {
	var content dto.Metric
	Expect(metric.Write(&content)).To(Succeed())
	return content.GetCounter().GetValue() + content.GetGauge().GetValue()
}
