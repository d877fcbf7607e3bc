package config

import (
	"fmt"
	"strings"

	"github.com/oatlatch/oatlatch/internal/host"
)

// Keys of the platform's store.
const (
	// HeadKey holds the head. Writing it is what publishes a configuration.
	HeadKey = "oatlatch/head"
	// PagePrefix precedes the keys of pages.
	PagePrefix = "oatlatch/pages/"
	// AdoptedPrefix precedes the keys under which hosts confirm released addresses.
	AdoptedPrefix = "oatlatch/adopted/"
)

// AdoptedKey returns the key under which the host confirms released addresses.
func AdoptedKey(id host.ID) string {
	return AdoptedPrefix + strings.ReplaceAll(string(id), "/", "~")
}

// Key returns the store's key of the page. Keys sort by version.
func (r PageRef) Key() string {
	return fmt.Sprintf("%s%016x-%s", PagePrefix, uint64(r.Version), r.Hash)
}

// ParsePageKey returns the version in the key of a page.
func ParsePageKey(key string) (Version, bool) {
	var version uint64
	var hash string
	n, err := fmt.Sscanf(strings.TrimPrefix(key, PagePrefix), "%16x-%s", &version, &hash)
	return Version(version), err == nil && n == 2 && strings.HasPrefix(key, PagePrefix)
}
