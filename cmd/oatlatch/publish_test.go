package main

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/oatlatch/oatlatch"
	"github.com/oatlatch/oatlatch/internal/publish"
	"github.com/oatlatch/oatlatch/internal/standin/platform"
)

// startPlatform runs a stand-in of the platform until the test ends.
func startPlatform(t *testing.T) *platform.Server {
	t.Helper()
	server, err := platform.New(platform.Options{})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = server.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return server
}

// publishDirs returns a command that publishes the directories to the server.
func publishDirs(server *platform.Server, dirs ...string) *publishCommand {
	return &publishCommand{
		platformFlags: platformFlags{Platform: []string{server.URL()}, Deadline: time.Second},
		Operator:      "test", Dirs: dirs,
	}
}

func TestRepeatedPublishWritesNothing(t *testing.T) {
	server := startPlatform(t)
	command := publishDirs(server, "../../examples/amarres")
	if err := command.Run(context.Background()); err != nil {
		t.Fatal(err)
	}
	writes := server.Calls().Writes
	if writes == 0 {
		t.Fatal("nothing was written")
	}
	if err := command.Run(context.Background()); err != nil {
		t.Fatal(err)
	}
	if again := server.Calls().Writes; again != writes {
		t.Errorf("publishing without changes made %d writes, want none", again-writes)
	}
}

func TestInvalidFilesAreNotPublished(t *testing.T) {
	server := startPlatform(t)
	dir := t.TempDir()
	example, err := os.ReadFile("../../examples/amarres/plan-store.oatlatch")
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string]string{
		"a": string(example),
		"b": string(example),
		"c": strings.Replace(string(example), "weight = 1", "weight = 0", 1),
	} {
		if err := os.WriteFile(filepath.Join(dir, name+".oatlatch"), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	var problems oatlatch.Problems
	if err := publishDirs(server, dir).Run(context.Background()); !errors.As(err, &problems) {
		t.Fatalf("want an error of type Problems, got %v", err)
	}
	var out strings.Builder
	printError(&out, problems)
	for _, want := range []string{"b.oatlatch:service.name: ", "b.oatlatch:service.address: ", "c.oatlatch:upstream tanger-quay-01.weight: "} {
		if !strings.Contains(out.String(), filepath.Join(dir, want)) {
			t.Errorf("no line starts with %s in\n%s", want, out.String())
		}
	}
	if calls := server.Calls(); calls.Writes != 0 {
		t.Errorf("invalid files caused %d writes, want none", calls.Writes)
	}
}

// TestOnlyPublishReportsThatNothingWasPublished guards against a message about a publication
// that nobody asked for.
func TestOnlyPublishReportsThatNothingWasPublished(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "a.oatlatch"), []byte("[service]\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for want, err := range map[string]error{
		" problems\n":                    (&checkFilesCommand{Dirs: []string{dir}}).Run(),
		" problems, nothing published\n": publishDirs(startPlatform(t), dir).Run(context.Background()),
	} {
		var out strings.Builder
		printError(&out, err)
		if !strings.HasSuffix(out.String(), want) {
			t.Errorf("want %q at the end of\n%s", want, out.String())
		}
	}
}

func TestConflictErrorNamesTheOtherOperator(t *testing.T) {
	server := startPlatform(t)
	if err := publishDirs(server, "../../examples/amarres").Run(context.Background()); err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	for name, weight := range map[string]string{"first": "2", "second": "3"} {
		example, err := os.ReadFile("../../examples/amarres/plan-store.oatlatch")
		if err != nil {
			t.Fatal(err)
		}
		if err := os.Mkdir(filepath.Join(dir, name), 0o700); err != nil {
			t.Fatal(err)
		}
		text := strings.Replace(string(example), "weight = 1", "weight = "+weight, 1)
		if err := os.WriteFile(filepath.Join(dir, name, "plan-store.oatlatch"), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	first, second := publishDirs(server, filepath.Join(dir, "first")), publishDirs(server, filepath.Join(dir, "second"))
	first.Base, second.Base = 1, 1
	if err := first.Run(context.Background()); err != nil {
		t.Fatal(err)
	}
	var conflict *publish.ConflictError
	if err := second.Run(context.Background()); !errors.As(err, &conflict) {
		t.Fatalf("want a ConflictError, got %v", err)
	}
	if !strings.Contains(conflict.Error(), "test") {
		t.Errorf("the conflict error does not name the other operator: %v", conflict)
	}
}
