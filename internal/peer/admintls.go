package peer

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
)

// OperatorsDataCentre takes the place of the data centre in the identity of an
// operator's certificate. Such a certificate gives access to hosts' admin addresses
// and is refused on connections between hosts.
const OperatorsDataCentre = "operators"

// errOperatorCertificate is the cause in the error for a client that presents an
// operator's certificate on a connection between hosts.
var errOperatorCertificate = errors.New("an operator's certificate cannot be used between hosts")

// AdminServerConfig returns the TLS configuration of a host's admin listener. Each
// connection uses the keys that are current when it starts.
func (t *TLS) AdminServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return t.config(x509.ExtKeyUsageClientAuth), nil
		},
	}
}

// AdminClientConfig returns the TLS configuration of a client of hosts' admin
// addresses. It accepts the certificate of any host that is signed by a configured CA.
func (t *TLS) AdminClientConfig() *tls.Config { return t.config(x509.ExtKeyUsageServerAuth) }
