// Package authority is a stand-in for the certificate authority that signs the
// certificates of entry hosts. It serves tests
// and trials.
package authority

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net/url"
	"time"
)

const (
	// validity is how long the authority's own certificate is valid.
	validity = 24 * time.Hour
	// backdate is how long before their issue certificates begin to be valid.
	backdate = 3 * time.Hour
	// serialBits is the size of certificates' random serial numbers.
	serialBits = 127
)

// Authority signs certificates.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// Keys are one holder's keys as PEM text.
type Keys struct {
	CA          string
	Certificate string
	Key         string
}

// New returns an authority with a key of its own.
func New() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("authority: %w", err)
	}
	template := &x509.Certificate{
		Subject: pkix.Name{CommonName: "oatlatch stand-in authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-backdate), NotAfter: time.Now().Add(validity), KeyUsage: x509.KeyUsageCertSign,
	}
	certificate, err := sign(template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	return &Authority{certificate: certificate, key: key}, nil
}

// Issue returns keys for the identity in the URI that are valid until the given
// time from now, which may be negative.
func (a *Authority) Issue(identity *url.URL, until time.Duration) (Keys, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Keys{}, fmt.Errorf("authority: %w", err)
	}
	template := &x509.Certificate{
		URIs: []*url.URL{identity}, KeyUsage: x509.KeyUsageDigitalSignature,
		NotBefore: time.Now().Add(-backdate), NotAfter: time.Now().Add(until),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	certificate, err := sign(template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return Keys{}, err
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Keys{}, fmt.Errorf("authority: %w", err)
	}
	return Keys{
		CA:          encode("CERTIFICATE", a.certificate.Raw),
		Certificate: encode("CERTIFICATE", certificate.Raw),
		Key:         encode("PRIVATE KEY", private),
	}, nil
}

func sign(template, parent *x509.Certificate, public *ecdsa.PublicKey, by *ecdsa.PrivateKey) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("authority: %w", err)
	}
	template.SerialNumber = serial
	der, err := x509.CreateCertificate(rand.Reader, template, parent, public, by)
	if err != nil {
		return nil, fmt.Errorf("authority: %w", err)
	}
	return x509.ParseCertificate(der)
}

func encode(kind string, der []byte) string {
	return string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}))
}
