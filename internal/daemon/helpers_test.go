package daemon_test

import (
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/internal/consul"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/peer"
	"github.com/oatlatch/oatlatch/internal/settings"
	"github.com/oatlatch/oatlatch/internal/standin/authority"
)

func newCA() *authority.Authority {
	ca, err := authority.New()
	Expect(err).NotTo(HaveOccurred())
	return ca
}

// issueTLS returns the TLS settings of a host as inline PEM.
func issueTLS(ca *authority.Authority, id host.ID) settings.TLS {
	keyPair, err := ca.Issue(peer.Identity{Host: id, DataCentre: "casa-quay"}.URI(), time.Hour)
	Expect(err).NotTo(HaveOccurred())
	return settings.TLS(keyPair)
}

// newPlatformClient returns a client of the platform for publishing.
func newPlatformClient(address string) *consul.HTTPClient {
	client, err := consul.NewHTTPClient(consul.Options{
		Addresses: []string{address}, Timeout: time.Second, CallsPerSecond: 100,
		Logger: zerolog.Nop(), Registerer: prometheus.NewRegistry(), Now: time.Now, Seed: 1,
	})
	Expect(err).NotTo(HaveOccurred())
	return client
}
