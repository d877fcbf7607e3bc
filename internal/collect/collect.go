// Package collect reads the service files of directories.
package collect

import (
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"sort"

	"github.com/oatlatch/oatlatch/internal/inifile"
	"github.com/oatlatch/oatlatch/internal/service"
)

// Extension marks service files.
const Extension = ".oatlatch"

// Directories reads every service file under the directories and checks them
// one by one and together. The services are sorted by name. The error is
// inifile.Problems when files are at fault, or an error of the file system.
func Directories(dirs []string) ([]service.Service, error) {
	paths, err := find(dirs)
	if err != nil {
		return nil, err
	}
	var parsed []service.Parsed
	var problems inifile.Problems
	for _, path := range paths {
		data, err := read(path)
		if err != nil {
			return nil, fmt.Errorf("cannot read the service file, check its permissions: %w", err)
		}
		s, found := service.Parse(path, data)
		problems = append(problems, found...)
		parsed = append(parsed, service.Parsed{File: path, Service: s})
	}
	problems = append(problems, service.CheckTogether(parsed)...)
	if err := problems.Err(); err != nil {
		return nil, err
	}
	return sorted(parsed), nil
}

func find(dirs []string) ([]string, error) {
	var paths []string
	seen := make(map[string]bool)
	for _, dir := range dirs {
		before := len(seen)
		err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			if !d.IsDir() && filepath.Ext(path) == Extension && !seen[filepath.Clean(path)] {
				seen[filepath.Clean(path)] = true
				paths = append(paths, path)
			}
			return nil
		})
		if err != nil {
			return nil, fmt.Errorf("cannot collect service files, name a directory that can be read: %w", err)
		}
		if len(seen) == before {
			return nil, fmt.Errorf("%s has no new service file, name a directory that holds *%s files", dir, Extension)
		}
	}
	sort.Strings(paths)
	return paths, nil
}

// read returns at most one byte more than the largest allowed file, so that the
// parser can refuse a larger one without holding it in memory.
func read(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return io.ReadAll(io.LimitReader(file, inifile.MaxBytes+1))
}

func sorted(parsed []service.Parsed) []service.Service {
	services := make([]service.Service, len(parsed))
	for i, p := range parsed {
		services[i] = p.Service
	}
	sort.Slice(services, func(i, j int) bool { return services[i].Name < services[j].Name })
	return services
}
