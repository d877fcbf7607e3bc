package corecheck

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// forbiddenImports are packages that perform I/O or have a global source of randomness.
var forbiddenImports = []string{
	"net", "net/http", "net/rpc", "os", "os/exec", "os/signal", "syscall",
	"math/rand", "crypto/rand", "io/ioutil",
}

// forbiddenCalls are functions, by package name, that read the wall clock, sleep, start
// timers or use the global source of randomness. Seeded generators are allowed.
var forbiddenCalls = map[string][]string{
	"time": {"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick"},
	"rand": {"Int", "IntN", "Int64", "Int64N", "Uint32", "Uint64", "Float64", "Perm", "Shuffle", "N"},
}

func TestCorePackagesAreDeterministic(t *testing.T) {
	for _, name := range CorePackages {
		dir := filepath.Join("..", name)
		files, err := filepath.Glob(filepath.Join(dir, "*.go"))
		if err != nil {
			t.Fatal(err)
		}
		checkedFiles := 0
		for _, path := range files {
			if strings.HasSuffix(path, "_test.go") {
				continue
			}
			checkedFiles++
			checkFile(t, path)
		}
		if checkedFiles == 0 { // it has been renamed or removed
			t.Errorf("%s has no source file", dir)
		}
	}
}

// Guards against a check that finds nothing and so lets every package pass.
func TestViolationsFindsImportsAndCalls(t *testing.T) {
	path := filepath.Join(t.TempDir(), "bad.go")
	source := "package bad\nimport (\n\"net\"\n\"time\"\n)\nvar _ = net.Dial\nfunc f() time.Time { return time.Now() }\n"
	if err := os.WriteFile(path, []byte(source), 0o600); err != nil {
		t.Fatal(err)
	}
	if got := violations(t, path); len(got) != 2 {
		t.Fatalf("want a violation for the import and one for the call, got %q", got)
	}
}

// checkFile reports each violation in the file as a test error.
func checkFile(t *testing.T, path string) {
	t.Helper()
	for _, violation := range violations(t, path) {
		t.Error(violation)
	}
}

// violations returns one line for each forbidden import and each use of a forbidden
// function in the file.
func violations(t *testing.T, path string) []string {
	t.Helper()
	fset := token.NewFileSet()
	file, err := parser.ParseFile(fset, path, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var found []string
	for _, importSpec := range file.Imports {
		importPath, _ := strconv.Unquote(importSpec.Path.Value)
		for _, forbidden := range forbiddenImports {
			if importPath == forbidden {
				found = append(found, path+" imports "+importPath+": core packages must be deterministic, inject the dependency instead")
			}
		}
	}
	ast.Inspect(file, func(n ast.Node) bool {
		selector, ok := n.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		pkg, ok := selector.X.(*ast.Ident)
		if !ok || pkg.Obj != nil {
			return true
		}
		for _, call := range forbiddenCalls[pkg.Name] {
			if selector.Sel.Name == call {
				found = append(found, fset.Position(n.Pos()).String()+" uses "+pkg.Name+"."+call+": core packages must be deterministic, inject the dependency instead")
			}
		}
		return true
	})
	return found
}
