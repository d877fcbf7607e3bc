package peer

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strings"
	"sync/atomic"
	"time"
)

// pemMarker distinguishes inline PEM text from the path of a file.
const pemMarker = "-----BEGIN "

// KeySources contains the keys of a host. Each field is either PEM text or the path of a
// PEM file.
type KeySources struct {
	// CA contains the certificates of the authorities that sign hosts' certificates.
	CA string
	// Certificate is the host's certificate chain, leaf first.
	Certificate string
	// Key is the private key of the certificate.
	Key string
}

// TLS holds a host's keys for mutual TLS. Reload replaces them; existing connections
// keep the keys that they were established with.
type TLS struct {
	sources KeySources
	current atomic.Pointer[keySet]
	// now is the clock for checking the validity periods of certificates.
	now func() time.Time
}

// keySet is a certificate with its private key, the identity in the certificate, and
// the CAs that peers' certificates are verified against.
type keySet struct {
	roots       *x509.CertPool
	certificate tls.Certificate
	identity    Identity
}

// LoadTLS reads the keys and verifies the host's certificate.
func LoadTLS(sources KeySources) (*TLS, error) {
	t := &TLS{sources: sources, now: time.Now}
	loaded, err := t.loadKeys()
	if err != nil {
		return nil, err
	}
	t.current.Store(loaded)
	return t, nil
}

// Reload reads the keys again. If they are invalid or for another identity, it returns
// an error and the previous keys stay in use.
func (t *TLS) Reload() error {
	loaded, err := t.loadKeys()
	if err != nil {
		return err
	}
	if previous := t.Identity(); loaded.identity != previous {
		return &Error{Kind: InvalidKeys, Err: fmt.Errorf("the new certificate is for %s, this host is %s", loaded.identity.URI(), previous.URI())}
	}
	t.current.Store(loaded)
	return nil
}

// Replace makes the host use the keys of the sources from now on. If they are invalid or
// for another identity, it returns an error and the previous keys stay in use. It must not
// be called concurrently with Reload.
func (t *TLS) Replace(sources KeySources) error {
	previous := t.sources
	t.sources = sources
	if err := t.Reload(); err != nil {
		t.sources = previous
		return err
	}
	return nil
}

// Identity returns the identity in the host's certificate.
func (t *TLS) Identity() Identity {
	return t.current.Load().identity
}

// NotAfter returns the time when the host's certificate expires.
func (t *TLS) NotAfter() time.Time {
	return t.current.Load().certificate.Leaf.NotAfter
}

func (t *TLS) loadKeys() (*keySet, error) {
	caPEM, err := readPEM("CA", t.sources.CA)
	if err != nil {
		return nil, err
	}
	chainPEM, err := readPEM("certificate", t.sources.Certificate)
	if err != nil {
		return nil, err
	}
	keyPEM, err := readPEM("key", t.sources.Key)
	if err != nil {
		return nil, err
	}
	loaded := &keySet{roots: x509.NewCertPool()}
	if !loaded.roots.AppendCertsFromPEM(caPEM) {
		return nil, &Error{Kind: InvalidKeys, Err: errors.New("CA contains no certificate")}
	}
	if loaded.certificate, err = tls.X509KeyPair(chainPEM, keyPEM); err != nil {
		return nil, &Error{Kind: InvalidKeys, Err: err}
	}
	if loaded.identity, err = certificateIdentity(loaded.certificate.Leaf); err != nil {
		return nil, err
	}
	if err := loaded.verifyChain(loaded.certificate.Leaf, nil, t.now(), x509.ExtKeyUsageClientAuth); err != nil {
		return nil, err
	}
	return loaded, nil
}

// readPEM returns value if it is PEM text, and otherwise the contents of the file at
// that path. Its messages contain the name of the setting and not the value, which may
// be a private key.
func readPEM(name, value string) ([]byte, error) {
	if strings.Contains(value, pemMarker) {
		return []byte(value), nil
	}
	if value == "" {
		return nil, &Error{Kind: InvalidKeys, Err: fmt.Errorf("%s is not set", name)}
	}
	content, err := os.ReadFile(value)
	var pathError *fs.PathError
	if errors.As(err, &pathError) {
		err = pathError.Err // without the path
	}
	if err != nil {
		return nil, &Error{Kind: InvalidKeys, Err: fmt.Errorf("cannot read %s: %w", name, err)}
	}
	return content, nil
}

// verifyChain verifies that a certificate is valid and signed by one of the CAs.
func (k *keySet) verifyChain(leaf *x509.Certificate, intermediates []*x509.Certificate, now time.Time, usage x509.ExtKeyUsage) error {
	intermediatePool := x509.NewCertPool()
	for _, certificate := range intermediates {
		intermediatePool.AddCert(certificate)
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots:         k.roots,
		Intermediates: intermediatePool,
		CurrentTime:   now,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	var invalid x509.CertificateInvalidError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &invalid) && invalid.Reason == x509.Expired:
		return &Error{Kind: Expired, Err: err}
	default:
		return &Error{Kind: UnknownAuthority, Err: err}
	}
}

// config returns the TLS configuration of one connection. usage is the key usage that
// the peer's certificate must allow. The configuration replaces the default verification,
// because a host's certificate contains its identity and no DNS name or IP address.
func (t *TLS) config(usage x509.ExtKeyUsage) *tls.Config {
	current := t.current.Load()
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{current.certificate},
		ClientAuth:             tls.RequireAnyClientCert,
		InsecureSkipVerify:     true, // VerifyConnection verifies the chain and the identity.
		SessionTicketsDisabled: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return current.verifyConnection(state, t.now(), usage)
		},
	}
}

// verifyConnection verifies that the peer's certificate is valid and contains an
// identity.
func (k *keySet) verifyConnection(state tls.ConnectionState, now time.Time, usage x509.ExtKeyUsage) error {
	if len(state.PeerCertificates) == 0 {
		return &Error{Kind: NoCertificate}
	}
	leaf := state.PeerCertificates[0]
	if err := k.verifyChain(leaf, state.PeerCertificates[1:], now, usage); err != nil {
		return err
	}
	_, err := certificateIdentity(leaf)
	return err
}
