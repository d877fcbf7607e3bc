package publishrunner_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/oatlatch/oatlatch/internal/consul/fake"
	"github.com/oatlatch/oatlatch/internal/publishrunner"
	"github.com/oatlatch/oatlatch/internal/service"
)

// BenchmarkScalingPublish counts the platform calls needed to publish one changed service,
// for different numbers of services.
func BenchmarkScalingPublish(b *testing.B) {
	for _, count := range []int{300, 600, 1200} {
		b.Run(fmt.Sprintf("services=%d", count), func(b *testing.B) {
			client := fake.NewClient(fake.NewStore())
			services := make([]service.Service, count)
			for i := range services {
				services[i] = svc(fmt.Sprintf("service-%d", i), i+1)
			}
			publishOnce(b, client, services)
			before := client.Calls()
			for b.Loop() {
				services[0].DrainLimit++
				publishOnce(b, client, services)
			}
			calls := client.Calls().Sub(before)
			b.ReportMetric(float64(calls.Reads())/float64(b.N), "reads/publication")
			b.ReportMetric(float64(calls.Writes)/float64(b.N), "writes/publication")
		})
	}
}

func publishOnce(b *testing.B, client *fake.Client, services []service.Service) {
	b.Helper()
	if _, err := publishrunner.Publish(context.Background(), client, publishrunner.Options{Operator: "slope"}, services); err != nil {
		b.Fatal(err)
	}
}
