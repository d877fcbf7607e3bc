package peer

import (
	"crypto/x509"
	"fmt"
	"net/url"
	"strings"

	"github.com/oatlatch/oatlatch/internal/host"
)

// identityScheme is the scheme of the URI SAN (subject alternative name) that contains
// a host's identity.
const identityScheme = "oatlatch"

// Identity identifies the host or operator that a certificate was issued to.
type Identity struct {
	Host       host.ID
	DataCentre string
}

// URI returns the identity as a URI SAN, oatlatch://<data centre>/<host id>.
func (i Identity) URI() *url.URL {
	return &url.URL{Scheme: identityScheme, Host: i.DataCentre, Path: "/" + string(i.Host)}
}

// certificateIdentity returns the identity in the certificate's only URI SAN of
// identityScheme.
func certificateIdentity(certificate *x509.Certificate) (Identity, error) {
	var found []Identity
	for _, uri := range certificate.URIs {
		if uri.Scheme != identityScheme {
			continue
		}
		id := strings.TrimPrefix(uri.Path, "/")
		if id == "" || uri.Host == "" {
			return Identity{}, &Error{Kind: WrongIdentity, Err: fmt.Errorf("URI SAN %q lacks a data centre or a host ID", uri)}
		}
		found = append(found, Identity{Host: host.ID(id), DataCentre: uri.Host})
	}
	if len(found) != 1 {
		return Identity{}, &Error{Kind: WrongIdentity, Err: fmt.Errorf("certificate has %d URI SANs of scheme %s, want one", len(found), identityScheme)}
	}
	return found[0], nil
}
