package peer

import (
	"time"

	. "github.com/onsi/gomega"

	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/standin/authority"
)

// testAuthority is a certificate authority for tests.
type testAuthority struct{ *authority.Authority }

func newTestAuthority() *testAuthority {
	created, err := authority.New()
	Expect(err).NotTo(HaveOccurred())
	return &testAuthority{created}
}

// issueSources returns keys of a host in data centre akl-a that are valid for the given
// time from now. If the time is negative, they have already expired.
func (a *testAuthority) issueSources(id host.ID, validity time.Duration) KeySources {
	return a.issueSourcesFor(Identity{Host: id, DataCentre: "akl-a"}, validity)
}

// issueSourcesFor returns keys with the given identity. The meaning of validity is the
// same as for issueSources.
func (a *testAuthority) issueSourcesFor(identity Identity, validity time.Duration) KeySources {
	keys, err := a.Issue(identity.URI(), validity)
	Expect(err).NotTo(HaveOccurred())
	return KeySources(keys)
}

// issueTLS returns loaded keys of a host in data centre akl-a that are valid for an hour.
func (a *testAuthority) issueTLS(id host.ID) *TLS { return a.issueTLSIn("akl-a", id) }

// issueTLSIn returns loaded keys of a host in the given data centre that are valid for
// an hour.
func (a *testAuthority) issueTLSIn(dataCentre string, id host.ID) *TLS {
	loaded, err := LoadTLS(a.issueSourcesFor(Identity{Host: id, DataCentre: dataCentre}, time.Hour))
	Expect(err).NotTo(HaveOccurred())
	return loaded
}
