package peer

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
)

// OperatorsDataCentre stands in place of the data centre in the identity of an
// operator's certificate. Such a certificate reads hosts' admin pages and is
// refused as a peer's.
const OperatorsDataCentre = "operators"

// errOperator is why an operator's certificate is refused on a peer connection.
var errOperator = errors.New("an operator's certificate cannot be used between hosts")

// AdminConfig returns the configuration by which a host serves its admin pages.
// Each connection uses the keys in force when it begins.
func (t *TLS) AdminConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return t.config(x509.ExtKeyUsageClientAuth), nil
		},
	}
}

// ReaderConfig returns the configuration by which admin pages are read. It
// accepts every host that the authority has signed.
func (t *TLS) ReaderConfig() *tls.Config { return t.config(x509.ExtKeyUsageServerAuth) }
