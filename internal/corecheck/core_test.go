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

// forbiddenImports do I/O or bring a global source of randomness.
var forbiddenImports = []string{
	"net", "net/http", "net/rpc", "os", "os/exec", "os/signal", "syscall",
	"math/rand", "crypto/rand", "io/ioutil",
}

// forbiddenCalls read the wall clock, wait on it, or draw from the global source.
var forbiddenCalls = map[string][]string{
	"time": {"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick"},
	"rand": {"Int", "IntN", "Int64", "Int64N", "Uint32", "Uint64", "Float64", "Perm", "Shuffle", "N"},
}

func TestCorePackagesAreDeterministic(t *testing.T) {
	checked := 0
	for _, name := range CorePackages {
		dir := filepath.Join("..", name)
		files, err := filepath.Glob(filepath.Join(dir, "*.go"))
		if err != nil {
			t.Fatal(err)
		}
		for _, path := range files {
			if strings.HasSuffix(path, "_test.go") {
				continue
			}
			checked++
			checkFile(t, path)
		}
	}
	if checked == 0 {
		t.Fatal("no core source file was found: correct CorePackages")
	}
}

func TestCheckFileFindsViolations(t *testing.T) {
	path := filepath.Join(t.TempDir(), "bad.go")
	source := "package bad\nimport (\n\"net\"\n\"time\"\n)\nvar _ = net.Dial\nfunc f() time.Time { return time.Now() }\n"
	if err := os.WriteFile(path, []byte(source), 0o600); err != nil {
		t.Fatal(err)
	}
	if got := violations(t, path); len(got) != 2 {
		t.Fatalf("want a violation for the import and one for the call, got %q", got)
	}
}

func checkFile(t *testing.T, path string) {
	t.Helper()
	for _, violation := range violations(t, path) {
		t.Error(violation)
	}
}

// violations returns one line for each forbidden import or call in the file.
func violations(t *testing.T, path string) []string {
	t.Helper()
	fset := token.NewFileSet()
	file, err := parser.ParseFile(fset, path, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var found []string
	for _, spec := range file.Imports {
		imported, _ := strconv.Unquote(spec.Path.Value)
		for _, forbidden := range forbiddenImports {
			if imported == forbidden {
				found = append(found, path+" imports "+imported+": inject it instead")
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
				found = append(found, fset.Position(n.Pos()).String()+" uses "+pkg.Name+"."+call+": inject it instead")
			}
		}
		return true
	})
	return found
}
