package peer

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

	"github.com/oatlatch/oatlatch/internal/host"
)

// testAuthority signs certificates of tests.
type testAuthority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newTestAuthority() *testAuthority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "test"},
		NotBefore:             time.Now().Add(-3 * time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	certificate, err := x509.ParseCertificate(der)
	Expect(err).NotTo(HaveOccurred())
	return &testAuthority{certificate: certificate, key: key}
}

// files returns keys of the host that are valid for the given time from now.
func (a *testAuthority) files(id host.ID, validity time.Duration) TLSFiles {
	return a.filesAs(Identity{Host: id, DataCentre: "akl-a"}, validity)
}

func (a *testAuthority) filesAs(identity Identity, validity time.Duration) TLSFiles {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		NotBefore:    time.Now().Add(-2 * time.Hour),
		NotAfter:     time.Now().Add(validity),
		URIs:         []*url.URL{identity.URI()},
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	Expect(err).NotTo(HaveOccurred())
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	return TLSFiles{
		CA:          string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.certificate.Raw})),
		Certificate: string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})),
		Key:         string(pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: encoded})),
	}
}

// load returns valid keys of the host.
func (a *testAuthority) load(id host.ID) *TLS {
	loaded, err := LoadTLS(a.files(id, time.Hour))
	Expect(err).NotTo(HaveOccurred())
	return loaded
}

// loadAs returns valid keys of an identity outside the test's data centre.
func (a *testAuthority) loadAs(dataCentre string, id host.ID) *TLS {
	loaded, err := LoadTLS(a.filesAs(Identity{Host: id, DataCentre: dataCentre}, time.Hour))
	Expect(err).NotTo(HaveOccurred())
	return loaded
}
