package peer

import (
	"time"

	. "github.com/onsi/gomega"

	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/standin/authority"
)

// testAuthority signs certificates of tests.
type testAuthority struct{ *authority.Authority }

func newTestAuthority() *testAuthority {
	created, err := authority.New()
	Expect(err).NotTo(HaveOccurred())
	return &testAuthority{created}
}

// files returns keys of the host that are valid for the given time from now.
func (a *testAuthority) files(id host.ID, validity time.Duration) TLSFiles {
	return a.filesAs(Identity{Host: id, DataCentre: "akl-a"}, validity)
}

func (a *testAuthority) filesAs(identity Identity, validity time.Duration) TLSFiles {
	keys, err := a.Issue(identity.URI(), validity)
	Expect(err).NotTo(HaveOccurred())
	return TLSFiles(keys)
}

// load returns valid keys of the host.
func (a *testAuthority) load(id host.ID) *TLS { return a.loadAs("akl-a", id) }

// loadAs returns valid keys of an identity in a data centre.
func (a *testAuthority) loadAs(dataCentre string, id host.ID) *TLS {
	loaded, err := LoadTLS(a.filesAs(Identity{Host: id, DataCentre: dataCentre}, time.Hour))
	Expect(err).NotTo(HaveOccurred())
	return loaded
}
