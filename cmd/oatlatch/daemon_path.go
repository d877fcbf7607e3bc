package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/oatlatch/oatlatch/internal/release"
)

// daemonPath returns the path of the daemon to run, by default that of the oatlatchd beside
// this program.
func daemonPath(path string) (string, error) {
	if path != "" {
		return path, nil
	}
	self, err := os.Executable()
	if err != nil {
		return "", fmt.Errorf("cannot find oatlatchd, set its path with --daemon: %w", err)
	}
	return filepath.Join(filepath.Dir(self), "oatlatchd"), nil
}

// earlierDaemon returns the path of the daemon of a commit, or of the one in production.
func earlierDaemon(ctx context.Context, commit string) (string, error) {
	root, err := release.Root(ctx)
	if err != nil {
		return "", fmt.Errorf("find the repository, run this in a clone: %w", err)
	}
	if commit == "production" {
		if commit, err = release.Production(root); err != nil {
			return "", err
		}
	}
	return release.Daemon(ctx, root, commit)
}
