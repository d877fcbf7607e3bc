package main

import (
	"fmt"
	"os"
	"path/filepath"
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
