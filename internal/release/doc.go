// Package release builds the daemons of earlier commits from the repository's history, so that
// tests can run hosts of two builds side by side, as an upgrade does.
package release
