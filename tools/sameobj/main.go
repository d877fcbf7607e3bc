// Command sameobj compares two checkouts of this module and lists the declarations
// that differ in more than names, comments, layout and prose.
//
//	go run ./sameobj OLD NEW [OLDFOLDER=NEWFOLDER ...]
//
// Declarations are compared folder by folder; the further arguments name the folders
// that were renamed, relative to the roots.
//
// Each declaration is reduced to its syntax tree, in which an identifier stands for the
// object that it resolves to, numbered in the order of first use. A consistent renaming
// leaves the result as it is, also when two objects of one name get different names, or
// the other way round. Objects outside the module keep their names. Strings without
// blanks and struct tags are kept; of other strings only the format verbs are.
//
// The exit status is 1 if declarations differ.
package main

import (
	"fmt"
	"go/ast"
	"go/token"
	"go/types"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"golang.org/x/tools/go/packages"
)

var formatVerb = regexp.MustCompile(`%[-+# 0-9.*]*[a-zA-Z]`)

// declaration is a top-level declaration, or one specification of a group.
type declaration struct {
	position string // file:line
	name     string
	shape    string
}

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: sameobj OLD NEW [OLDFOLDER=NEWFOLDER ...]")
		os.Exit(2)
	}
	renamed := make(map[string]string)
	for _, argument := range os.Args[3:] {
		from, to, _ := strings.Cut(argument, "=")
		renamed[from] = to
	}
	before, after := load(os.Args[1], renamed), load(os.Args[2], nil)
	fmt.Printf("%d declarations before, %d after\n", len(before), len(after))
	removed, added := difference(before, after), difference(after, before)
	list("only in OLD", removed)
	list("only in NEW", added)
	if len(removed)+len(added) > 0 {
		os.Exit(1)
	}
}

// load returns the declarations of all packages of the module at root, tests included.
// Folders that are renamed have their new names in the shapes.
func load(root string, renamed map[string]string) []declaration {
	root, err := filepath.Abs(root)
	check(err)
	loaded, err := packages.Load(&packages.Config{
		Mode: packages.NeedName | packages.NeedSyntax | packages.NeedTypes | packages.NeedTypesInfo |
			packages.NeedImports | packages.NeedDeps | packages.NeedModule,
		Dir: root, Tests: true,
	}, "./...")
	check(err)
	// A file may belong to several variants of a package. The one with the most files
	// includes the tests.
	variants := make(map[string]*packages.Package)
	for _, p := range loaded {
		for _, packageErr := range p.Errors {
			check(packageErr)
		}
		if p.Module == nil || strings.HasSuffix(p.ID, ".test") {
			continue
		}
		for _, file := range p.Syntax {
			path := p.Fset.Position(file.Pos()).Filename
			if v := variants[path]; v == nil || len(p.Syntax) > len(v.Syntax) {
				variants[path] = p
			}
		}
	}
	var all []declaration
	for _, p := range loaded {
		for _, file := range p.Syntax {
			if path := p.Fset.Position(file.Pos()).Filename; variants[path] == p {
				relative, err := filepath.Rel(root, path)
				check(err)
				folder := filepath.Dir(relative)
				if name, ok := renamed[folder]; ok {
					folder = name
				}
				all = append(all, declarations(p, file, relative, folder)...)
			}
		}
	}
	return all
}

func declarations(p *packages.Package, file *ast.File, path, folder string) []declaration {
	var all []declaration
	add := func(n ast.Node, kind string) {
		r := reducer{info: p.TypesInfo, module: p.Module.Path, numbers: make(map[any]int)}
		r.shape.WriteString(folder + " ")
		if strings.HasSuffix(path, "_test.go") {
			r.shape.WriteString("test ")
		}
		r.shape.WriteString(kind)
		r.value(reflect.ValueOf(n))
		all = append(all, declaration{
			position: fmt.Sprintf("%s:%d", path, p.Fset.Position(n.Pos()).Line), name: r.firstName, shape: r.shape.String(),
		})
	}
	for _, d := range file.Decls {
		group, ok := d.(*ast.GenDecl)
		switch {
		case !ok || group.Tok == token.CONST && usesIota(group):
			add(d, "")
		case group.Tok != token.IMPORT:
			for _, spec := range group.Specs {
				add(spec, group.Tok.String())
			}
		}
	}
	return all
}

// usesIota reports whether the order of the group's constants matters.
func usesIota(group *ast.GenDecl) bool {
	found := false
	ast.Inspect(group, func(n ast.Node) bool {
		id, ok := n.(*ast.Ident)
		found = found || ok && id.Name == "iota"
		return !found
	})
	return found
}

// reducer writes the shape of one declaration.
type reducer struct {
	info      *types.Info
	module    string
	numbers   map[any]int
	shape     strings.Builder
	firstName string
}

func (r *reducer) value(v reflect.Value) {
	switch v.Kind() {
	case reflect.Interface, reflect.Pointer:
		switch n := v.Interface().(type) {
		case *ast.CommentGroup, *ast.Object, *ast.Scope:
			return
		case *ast.Ident:
			if n != nil {
				r.identifier(n)
				return
			}
		case *ast.BasicLit:
			if n != nil {
				r.literal(n)
				return
			}
		}
		if v.IsNil() {
			r.shape.WriteString("nil")
			return
		}
		r.value(v.Elem())
	case reflect.Slice:
		r.shape.WriteString("[")
		for i := range v.Len() {
			r.value(v.Index(i))
			r.shape.WriteString(",")
		}
		r.shape.WriteString("]")
	case reflect.Struct:
		r.shape.WriteString(v.Type().Name() + "{")
		for i := range v.NumField() {
			switch field := v.Field(i).Interface().(type) {
			case token.Pos:
				// These positions mark an alias, a variadic call and a channel's direction.
				if name := v.Type().Field(i).Name; name == "Assign" || name == "Ellipsis" || name == "Arrow" {
					fmt.Fprint(&r.shape, field.IsValid())
				}
			case token.Token, ast.ChanDir, bool:
				fmt.Fprint(&r.shape, field)
			default:
				r.value(v.Field(i))
			}
			r.shape.WriteString(";")
		}
		r.shape.WriteString("}")
	}
}

func (r *reducer) identifier(id *ast.Ident) {
	var key any
	switch object := r.info.ObjectOf(id).(type) {
	case nil: // the symbolic variable of a type switch
		key = id.Name
	case *types.PkgName:
		path := object.Imported().Path()
		if !r.inModule(path) {
			r.shape.WriteString("<" + path + ">")
			return
		}
		key = "package " + path
	case *types.Var:
		key = types.Object(object.Origin())
	case *types.Func:
		key = types.Object(object.Origin())
	default:
		key = types.Object(object)
	}
	if object, ok := key.(types.Object); ok && (object.Pkg() == nil || !r.inModule(object.Pkg().Path())) {
		path := ""
		if object.Pkg() != nil {
			path = object.Pkg().Path()
		}
		r.shape.WriteString("<" + path + "." + object.Name() + ">")
		return
	}
	number, ok := r.numbers[key]
	if !ok {
		number = len(r.numbers)
		r.numbers[key] = number
	}
	if r.firstName == "" {
		r.firstName = id.Name
	}
	fmt.Fprintf(&r.shape, "#%d", number)
}

func (r *reducer) inModule(path string) bool {
	path = strings.TrimSuffix(path, "_test") // of external test packages
	return path == r.module || strings.HasPrefix(path, r.module+"/")
}

func (r *reducer) literal(literal *ast.BasicLit) {
	text, err := strconv.Unquote(literal.Value)
	isTag := strings.Contains(text, `:"`)
	if literal.Kind != token.STRING || err != nil || isTag || !strings.ContainsAny(text, " \t\r\n") {
		r.shape.WriteString(literal.Value)
		return
	}
	r.shape.WriteString("prose" + strings.Join(formatVerb.FindAllString(text, -1), ""))
}

// difference returns the declarations of a that have no counterpart of the same shape
// in b.
func difference(a, b []declaration) []declaration {
	counts := make(map[string]int)
	for _, d := range b {
		counts[d.shape]++
	}
	var rest []declaration
	for _, d := range a {
		if counts[d.shape] > 0 {
			counts[d.shape]--
			continue
		}
		rest = append(rest, d)
	}
	return rest
}

func list(title string, all []declaration) {
	slices.SortFunc(all, func(a, b declaration) int { return strings.Compare(a.position, b.position) })
	fmt.Printf("== %s (%d)\n", title, len(all))
	for _, d := range all {
		fmt.Println(d.position, d.name)
	}
}

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "sameobj:", err)
		os.Exit(2)
	}
}
