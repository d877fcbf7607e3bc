package peer

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync/atomic"
	"time"
)

// pemMarker tells inline PEM from a path.
const pemMarker = "-----BEGIN "

// TLSFiles are the keys of one host: each is inline PEM or the path of a PEM file.
type TLSFiles struct {
	// CA holds the certificates of the authorities that sign hosts' certificates.
	CA string
	// Certificate is the host's own chain, leaf first.
	Certificate string
	// Key is the private key of the certificate.
	Key string
}

// TLS holds the keys of mutual TLS. Reload replaces them; connections in use keep
// the keys with which they were set up.
type TLS struct {
	files   TLSFiles
	current atomic.Pointer[keys]
	// now is the clock against which certificates are verified.
	now func() time.Time
}

// keys is one consistent set of loaded keys.
type keys struct {
	authorities *x509.CertPool
	certificate tls.Certificate
	identity    Identity
}

// LoadTLS reads and checks the keys.
func LoadTLS(files TLSFiles) (*TLS, error) {
	t := &TLS{files: files, now: time.Now}
	loaded, err := t.load()
	if err != nil {
		return nil, err
	}
	t.current.Store(loaded)
	return t, nil
}

// Reload reads the keys again. When they are not valid or name another host, the
// former keys stay in force and an error is returned.
func (t *TLS) Reload() error {
	loaded, err := t.load()
	if err != nil {
		return err
	}
	if was := t.Identity(); loaded.identity != was {
		return &Error{Kind: BadKeys, Err: fmt.Errorf("new certificate is for %s, this host is %s", loaded.identity.URI(), was.URI())}
	}
	t.current.Store(loaded)
	return nil
}

// Identity returns the identity in the host's own certificate.
func (t *TLS) Identity() Identity {
	return t.current.Load().identity
}

// NotAfter returns when the host's own certificate expires.
func (t *TLS) NotAfter() time.Time {
	return t.current.Load().certificate.Leaf.NotAfter
}

func (t *TLS) load() (*keys, error) {
	authority, err := readPEM("CA", t.files.CA)
	if err != nil {
		return nil, err
	}
	chain, err := readPEM("certificate", t.files.Certificate)
	if err != nil {
		return nil, err
	}
	key, err := readPEM("key", t.files.Key)
	if err != nil {
		return nil, err
	}
	loaded := &keys{authorities: x509.NewCertPool()}
	if !loaded.authorities.AppendCertsFromPEM(authority) {
		return nil, &Error{Kind: BadKeys, Err: errors.New("CA holds no certificate")}
	}
	if loaded.certificate, err = tls.X509KeyPair(chain, key); err != nil {
		return nil, &Error{Kind: BadKeys, Err: err}
	}
	if loaded.identity, err = identityOf(loaded.certificate.Leaf); err != nil {
		return nil, err
	}
	if err := loaded.verify(loaded.certificate.Leaf, nil, t.now(), x509.ExtKeyUsageClientAuth); err != nil {
		return nil, err
	}
	return loaded, nil
}

// readPEM returns the inline PEM or the content of the file. Its errors never
// contain the value, which may be a key.
func readPEM(name, value string) ([]byte, error) {
	if strings.Contains(value, pemMarker) {
		return []byte(value), nil
	}
	if value == "" {
		return nil, &Error{Kind: BadKeys, Err: fmt.Errorf("%s is not set", name)}
	}
	content, err := os.ReadFile(value)
	if err != nil {
		return nil, &Error{Kind: BadKeys, Err: fmt.Errorf("cannot read %s: %w", name, err)}
	}
	return content, nil
}

// verify checks the chain of a certificate.
func (k *keys) verify(leaf *x509.Certificate, intermediates []*x509.Certificate, now time.Time, usage x509.ExtKeyUsage) error {
	pool := x509.NewCertPool()
	for _, certificate := range intermediates {
		pool.AddCert(certificate)
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots:         k.authorities,
		Intermediates: pool,
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
		return &Error{Kind: WrongAuthority, Err: err}
	}
}

// config returns the configuration of one connection. It verifies the chain and
// the identity of the peer by itself, because hosts are named by identity, not by
// DNS name or IP address.
func (t *TLS) config(usage x509.ExtKeyUsage) *tls.Config {
	current := t.current.Load()
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{current.certificate},
		ClientAuth:             tls.RequireAnyClientCert,
		InsecureSkipVerify:     true, // VerifyConnection verifies the chain and the identity.
		SessionTicketsDisabled: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return current.verifyState(state, t.now(), usage)
		},
	}
}

// verifyState checks the certificate that the peer has presented.
func (k *keys) verifyState(state tls.ConnectionState, now time.Time, usage x509.ExtKeyUsage) error {
	if len(state.PeerCertificates) == 0 {
		return &Error{Kind: NoCertificate}
	}
	leaf := state.PeerCertificates[0]
	if err := k.verify(leaf, state.PeerCertificates[1:], now, usage); err != nil {
		return err
	}
	_, err := identityOf(leaf)
	return err
}
