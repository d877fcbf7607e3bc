package config

import (
	"fmt"
	"strings"

	"github.com/oatlatch/oatlatch/internal/host"
)

// Keys in the platform's key-value store.
const (
	// HeadKey is the key of the head. A configuration is published by writing its head.
	HeadKey = "oatlatch/head"
	// PagePrefix is the prefix of the keys of pages.
	PagePrefix = "oatlatch/pages/"
	// ConfirmationPrefix is the prefix of the keys of confirmations.
	ConfirmationPrefix = "oatlatch/adopted/"
)

// ConfirmationKey returns the key of the host's confirmation.
func ConfirmationKey(id host.ID) string {
	return ConfirmationPrefix + strings.ReplaceAll(string(id), "/", "~")
}

// Key returns the page's key in the platform's store. Keys sort by version.
func (r PageRef) Key() string {
	return fmt.Sprintf("%s%016x-%s", PagePrefix, uint64(r.Version), r.Hash)
}

// ParsePageKey returns the version in the key of a page, and whether the key is well formed.
func ParsePageKey(key string) (Version, bool) {
	var version uint64
	var hash string
	n, err := fmt.Sscanf(strings.TrimPrefix(key, PagePrefix), "%16x-%s", &version, &hash)
	return Version(version), err == nil && n == 2 && strings.HasPrefix(key, PagePrefix)
}
