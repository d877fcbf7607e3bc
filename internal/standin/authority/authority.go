// Package authority implements a certificate authority for testing. It stands in
// for the one that signs the certificates of entry hosts.
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
	// caValidity is how long the authority's own certificate is valid.
	caValidity = 24 * time.Hour
	// backdate is how far in the past the validity of a certificate starts.
	backdate = 3 * time.Hour
	// serialBits is the size of the random serial numbers in bits.
	serialBits = 127
)

// Authority is a certificate authority with a self-signed certificate.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// KeyPair holds a certificate and its private key, along with the certificate
// of the authority, all PEM-encoded.
type KeyPair struct {
	CA          string
	Certificate string
	Key         string
}

// New generates the private key and the self-signed certificate of an authority.
func New() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("authority: cannot generate the key of the authority: %w", err)
	}
	template := &x509.Certificate{
		Subject: pkix.Name{CommonName: "oatlatch stand-in authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-backdate), NotAfter: time.Now().Add(caValidity), KeyUsage: x509.KeyUsageCertSign,
	}
	certificate, err := signCertificate(template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	return &Authority{certificate: certificate, key: key}, nil
}

// Issue generates a private key and signs a certificate for it, for both server
// and client authentication, with the identity as its URI name. The certificate
// expires after validity; a negative validity issues an expired one.
func (a *Authority) Issue(identity *url.URL, validity time.Duration) (KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, fmt.Errorf("authority: cannot generate a private key: %w", err)
	}
	template := &x509.Certificate{
		URIs: []*url.URL{identity}, KeyUsage: x509.KeyUsageDigitalSignature,
		NotBefore: time.Now().Add(-backdate), NotAfter: time.Now().Add(validity),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	certificate, err := signCertificate(template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return KeyPair{}, err
	}
	privateDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return KeyPair{}, fmt.Errorf("authority: cannot encode the private key: %w", err)
	}
	return KeyPair{
		CA:          encodePEM("CERTIFICATE", a.certificate.Raw),
		Certificate: encodePEM("CERTIFICATE", certificate.Raw),
		Key:         encodePEM("PRIVATE KEY", privateDER),
	}, nil
}

// signCertificate gives the template a random serial number and signs it with the
// signer's key.
func signCertificate(template, parent *x509.Certificate, publicKey *ecdsa.PublicKey, signer *ecdsa.PrivateKey) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("authority: cannot generate a serial number: %w", err)
	}
	template.SerialNumber = serial
	der, err := x509.CreateCertificate(rand.Reader, template, parent, publicKey, signer)
	if err != nil {
		return nil, fmt.Errorf("authority: cannot create the certificate: %w", err)
	}
	return x509.ParseCertificate(der)
}

func encodePEM(blockType string, der []byte) string {
	return string(pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}))
}
