// Package servicefiles finds, parses and checks the service files in directories.
package servicefiles

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

// Extension is the file name extension of service files.
const Extension = ".oatlatch"

// Services reads all service files in the directories and their subdirectories, and returns the
// services sorted by name. It checks every file on its own and for conflicts with the others.
// If files are invalid, the error is an inifile.Problems with all problems of all files.
// Otherwise it reports a directory or file that cannot be read, or a directory that contributes no
// service file.
func Services(dirs []string) ([]service.Service, error) {
	paths, err := findServiceFiles(dirs)
	if err != nil {
		return nil, err
	}
	var parsed []service.ParsedFile
	var problems inifile.Problems
	for _, path := range paths {
		data, err := readLimited(path)
		if err != nil {
			return nil, fmt.Errorf("cannot read the service file, check its permissions: %w", err)
		}
		s, found := service.Parse(path, data)
		problems = append(problems, found...)
		parsed = append(parsed, service.ParsedFile{File: path, Service: s})
	}
	problems = append(problems, service.CheckConflicts(parsed)...)
	if err := problems.Err(); err != nil {
		return nil, err
	}
	return sortedByName(parsed), nil
}

// findServiceFiles returns the sorted paths of the service files in the directories. Each
// directory must contribute a file that no earlier directory has.
func findServiceFiles(dirs []string) ([]string, error) {
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
			return nil, fmt.Errorf("%s has no service files beyond those of the directories before it, name a directory that holds *%s files", dir, Extension)
		}
	}
	sort.Strings(paths)
	return paths, nil
}

// readLimited reads at most one byte more than the maximum size of a file. The additional byte lets
// the parser detect a file that is too large, without the whole file being read into memory.
func readLimited(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return io.ReadAll(io.LimitReader(file, inifile.MaxBytes+1))
}

// sortedByName returns the services of the files, sorted by name.
func sortedByName(parsed []service.ParsedFile) []service.Service {
	services := make([]service.Service, len(parsed))
	for i, p := range parsed {
		services[i] = p.Service
	}
	sort.Slice(services, func(i, j int) bool { return services[i].Name < services[j].Name })
	return services
}
