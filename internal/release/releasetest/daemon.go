// Package releasetest provides daemons of earlier commits to tests.
package releasetest

import (
	"errors"
	"testing"

	"github.com/oatlatch/oatlatch/internal/release"
)

// Production returns the path of the daemon that is in production. It skips the test in a clone
// without history.
func Production(t *testing.T) string {
	t.Helper()
	root, err := release.Root(t.Context())
	if err != nil {
		t.Skipf("no repository: %v", err)
	}
	commit, err := release.Production(root)
	if err != nil {
		t.Fatal(err)
	}
	daemon, err := release.Daemon(t.Context(), root, commit)
	if errors.Is(err, release.ErrNoHistory) {
		t.Skip(err)
	}
	if err != nil {
		t.Fatal(err)
	}
	return daemon
}
