package servicefiles_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/oatlatch/oatlatch/internal/inifile"
	"github.com/oatlatch/oatlatch/internal/servicefiles"
)

func TestExamplesAreAccepted(t *testing.T) {
	services, err := servicefiles.Services([]string{"../../examples/amarres", "../../examples/kowhai-lane"})
	if err != nil {
		t.Fatal(err)
	}
	want := map[string]int{"berth-desk": 14, "plan-store": 4, "call-desk": 14, "summary-store": 4}
	if len(services) != len(want) {
		t.Fatalf("want %d services, got %d", len(want), len(services))
	}
	for _, s := range services {
		if len(s.Upstreams) != want[s.Name] {
			t.Errorf("%s: want %d upstreams, got %d", s.Name, want[s.Name], len(s.Upstreams))
		}
	}
}

func TestAllProblemsAreReportedInOneRun(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{"a": "[service]\nname = A B\n", "b": "", "c": strings.Repeat("x", inifile.MaxBytes+100)} {
		if err := os.WriteFile(filepath.Join(dir, name+servicefiles.Extension), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	_, err := servicefiles.Services([]string{dir})
	var problems inifile.Problems
	if !errors.As(err, &problems) {
		t.Fatalf("want inifile.Problems, got %v", err)
	}
	for _, want := range []string{"a.oatlatch:service.name", "a.oatlatch:service.region", "b.oatlatch: the file is empty", "c.oatlatch: the file is too large"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%s is not reported in:\n%v", want, err)
		}
	}
}

func TestDirectoryWithoutServiceFiles(t *testing.T) {
	if _, err := servicefiles.Services([]string{t.TempDir()}); err == nil || !strings.Contains(err.Error(), "name a directory") {
		t.Fatalf("want an error that names the remedy, got %v", err)
	}
}
