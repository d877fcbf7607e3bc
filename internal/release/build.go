package release

import (
	"archive/tar"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
)

// deployFile is the file, from the root of the repository, that names the commit in production.
const deployFile = "deploy/system.toml"

// ErrNoHistory means that the repository does not hold a commit.
var ErrNoHistory = errors.New("the commit is not in this clone: fetch the whole history with git fetch --unshallow")

// productionPattern matches the commit in the deploy file.
var productionPattern = regexp.MustCompile(`(?m)^production = "([0-9a-f]{7,40})"$`)

// Root returns the root directory of the repository that holds the current directory.
func Root(ctx context.Context) (string, error) {
	out, err := git(ctx, ".", "rev-parse", "--show-toplevel")
	if err != nil {
		return "", err
	}
	return strings.TrimSpace(string(out)), nil
}

// Production returns the commit that the deploy file in the root directory of the repository
// names as the one in production.
func Production(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, deployFile))
	if err != nil {
		return "", fmt.Errorf("read the commit in production: %w", err)
	}
	match := productionPattern.FindSubmatch(text)
	if match == nil {
		return "", fmt.Errorf("%s names no commit: add production = \"COMMIT\"", deployFile)
	}
	return string(match[1]), nil
}

// Daemon returns the path of the oatlatchd of a commit. It is built once and kept in the user's
// cache directory.
func Daemon(ctx context.Context, root, commit string) (string, error) {
	out, err := git(ctx, root, "rev-parse", "--verify", "--quiet", commit+"^{commit}")
	if err != nil {
		return "", fmt.Errorf("%w: %s", ErrNoHistory, commit)
	}
	commit = strings.TrimSpace(string(out))
	cache, err := os.UserCacheDir()
	if err != nil {
		return "", fmt.Errorf("directory for daemons of earlier commits: %w", err)
	}
	dir := filepath.Join(cache, "oatlatch", "daemons")
	daemon := filepath.Join(dir, commit)
	if _, err := os.Stat(daemon); err == nil {
		return daemon, nil
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", fmt.Errorf("directory for daemons of earlier commits: %w", err)
	}
	return daemon, build(ctx, root, commit, daemon)
}

// build builds the daemon of the commit in a directory of its own and moves it to the path, so
// that concurrent builds do not disturb each other.
func build(ctx context.Context, root, commit, daemon string) (err error) {
	dir, err := os.MkdirTemp("", "oatlatch-release")
	if err != nil {
		return fmt.Errorf("directory for a build: %w", err)
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	source, err := git(ctx, root, "archive", "--format=tar", commit)
	if err != nil {
		return err
	}
	if err := extract(bytes.NewReader(source), dir); err != nil {
		return err
	}
	built := fmt.Sprintf("%s.%d", daemon, os.Getpid())
	command := exec.CommandContext(ctx, "go", "build", "-ldflags=-linkmode=external", "-o", built, "./cmd/oatlatchd")
	command.Dir = dir
	if out, err := command.CombinedOutput(); err != nil {
		return fmt.Errorf("build commit %s: %w: %s", commit, err, out)
	}
	if err := os.Rename(built, daemon); err != nil {
		return fmt.Errorf("keep the daemon of commit %s: %w", commit, err)
	}
	return nil
}

// extract writes the files of a tar archive to a directory.
func extract(archive io.Reader, dir string) error {
	for r := tar.NewReader(archive); ; {
		header, err := r.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read the files of a commit: %w", err)
		}
		if header.Typeflag != tar.TypeReg || !filepath.IsLocal(header.Name) {
			continue
		}
		path := filepath.Join(dir, header.Name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			return fmt.Errorf("write the files of a commit: %w", err)
		}
		content, err := io.ReadAll(r)
		if err != nil {
			return fmt.Errorf("read the files of a commit: %w", err)
		}
		if err := os.WriteFile(path, content, 0o600); err != nil {
			return fmt.Errorf("write the files of a commit: %w", err)
		}
	}
}

// git runs git in a directory and returns its output.
func git(ctx context.Context, dir string, args ...string) ([]byte, error) {
	command := exec.CommandContext(ctx, "git", args...)
	command.Dir = dir
	var failure bytes.Buffer
	command.Stderr = &failure
	out, err := command.Output()
	if err != nil {
		return nil, fmt.Errorf("git %s: %w: %s", args[0], err, strings.TrimSpace(failure.String()))
	}
	return out, nil
}
