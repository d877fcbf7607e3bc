package registration

import (
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"time"

	"github.com/oatlatch/oatlatch/internal/peer"
)

const (
	// PeerKeySize is the size in bytes of a new peer key, which is the secret that the
	// entry hosts share, and the minimum size of any peer key.
	PeerKeySize = 32
	// peerAuthorityName is the common name of the certificate authority. It is also the
	// HKDF info, which makes the authority's key differ from any other key derived from
	// the peer key.
	peerAuthorityName = "oatlatch peer authority"
	// serialBits is the size in bits of the random serial numbers of certificates.
	serialBits = 127
)

// Validity period of all certificates. It covers any time that a host's clock may show,
// because clocks may jump and trust depends only on the peer key.
var (
	certificateNotBefore = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	certificateNotAfter  = time.Date(2200, 1, 1, 0, 0, 0, 0, time.UTC)
)

// NewPeerKey returns a random peer key.
func NewPeerKey() []byte {
	key := make([]byte, PeerKeySize)
	// crypto/rand.Read never returns an error (documented since Go 1.24).
	_, _ = rand.Read(key)
	return key
}

// IssueKeys returns a TLS key and certificate for the identity. The certificate is
// signed by an authority whose key is derived from the peer key, so hosts with the
// same peer key trust each other. Hosts with the former key, if there is one, are trusted
// as well.
func IssueKeys(peerKey, formerKey []byte, identity peer.Identity) (peer.KeySources, error) {
	authority, authorityKey, authorityDER, err := newAuthority(peerKey)
	if err != nil {
		return peer.KeySources{}, err
	}
	trusted := encodePEM("CERTIFICATE", authorityDER)
	if formerKey != nil {
		_, _, formerDER, err := newAuthority(formerKey)
		if err != nil {
			return peer.KeySources{}, err
		}
		trusted += encodePEM("CERTIFICATE", formerDER)
	}
	certificate, key, err := issueCertificate(authority, authorityKey, identity)
	if err != nil {
		return peer.KeySources{}, err
	}
	return peer.KeySources{CA: trusted, Certificate: certificate, Key: key}, nil
}

// newAuthority returns the certificate authority of the peer key, with its private key and
// its certificate in DER format.
func newAuthority(peerKey []byte) (*x509.Certificate, ed25519.PrivateKey, []byte, error) {
	if len(peerKey) < PeerKeySize {
		return nil, nil, nil, fmt.Errorf("the peer key has %d bytes, but must have at least %d: remove it from the store and restart the hosts", len(peerKey), PeerKeySize)
	}
	seed, err := hkdf.Key(sha256.New, peerKey, nil, peerAuthorityName, ed25519.SeedSize)
	if err != nil {
		return nil, nil, nil, fmt.Errorf("derive the key of the peer authority: %w", err)
	}
	key := ed25519.NewKeyFromSeed(seed)
	authority := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: peerAuthorityName}, NotBefore: certificateNotBefore, NotAfter: certificateNotAfter,
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, authority, authority, key.Public(), key)
	if err != nil {
		return nil, nil, nil, fmt.Errorf("create the certificate of the peer authority: %w", err)
	}
	return authority, key, der, nil
}

// issueCertificate returns a new certificate for the identity, signed by the authority,
// and the certificate's private key, both in PEM format.
func issueCertificate(authority *x509.Certificate, authorityKey ed25519.PrivateKey, identity peer.Identity) (certificate, key string, err error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return "", "", fmt.Errorf("generate a peer key pair: %w", err)
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return "", "", fmt.Errorf("generate a serial number for the peer certificate: %w", err)
	}
	template := &x509.Certificate{
		SerialNumber: serial, NotBefore: certificateNotBefore, NotAfter: certificateNotAfter, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	template.URIs = append(template.URIs, identity.URI())
	der, err := x509.CreateCertificate(rand.Reader, template, authority, public, authorityKey)
	if err != nil {
		return "", "", fmt.Errorf("create the peer certificate: %w", err)
	}
	pkcs8, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return "", "", fmt.Errorf("encode the private key of the peer certificate: %w", err)
	}
	return encodePEM("CERTIFICATE", der), encodePEM("PRIVATE KEY", pkcs8), nil
}

func encodePEM(blockType string, der []byte) string {
	return string(pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}))
}
