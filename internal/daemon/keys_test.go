package daemon_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/url"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/internal/platform"
	"github.com/oatlatch/oatlatch/internal/settings"
)

// authority signs the certificates of hosts.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority() *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	certificate, err := x509.ParseCertificate(der)
	Expect(err).NotTo(HaveOccurred())
	return &authority{certificate: certificate, key: key}
}

// issue returns the TLS settings of a host as inline PEM.
func (a *authority) issue(id, dataCentre string) settings.TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), URIs: []*url.URL{{Scheme: "oatlatch", Host: dataCentre, Path: "/" + id}},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	Expect(err).NotTo(HaveOccurred())
	private, err := x509.MarshalPKCS8PrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	return settings.TLS{
		CA:          encode("CERTIFICATE", a.certificate.Raw),
		Certificate: encode("CERTIFICATE", der),
		Key:         encode("PRIVATE KEY", private),
	}
}

func encode(kind string, der []byte) string {
	return string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}))
}

// openPlatform returns a client of the platform for publishing.
func openPlatform(address string) *platform.HTTP {
	port, err := platform.NewHTTP(platform.Options{
		Addresses: []string{address}, Deadline: time.Second, CallsPerSecond: 100,
		Logger: zerolog.Nop(), Registerer: prometheus.NewRegistry(), Now: time.Now, Seed: 1,
	})
	Expect(err).NotTo(HaveOccurred())
	return port
}
