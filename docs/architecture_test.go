// Package docs holds the pages of the project. Its test keeps the architecture page true to the code.
package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const moduleRoot = ".."

// reference matches a quoted word of the page that may name a package, as `internal/agent`, or something declared in
// one, as `fleet.State.Apply`.
var reference = regexp.MustCompile("`([a-z][a-z0-9/-]*)((?:\\.[A-Za-z_][A-Za-z0-9_]*){0,2})`")

// fileName matches what has the form of a reference and names a file.
var fileName = regexp.MustCompile(`\.(toml|json|jsonl|md|go|log|db|pem|key|crt)$`)

// declarations returns the names that a package's files declare: functions, types, variables and constants by
// themselves, methods, fields and interface methods behind their type. It returns nil where the folder has no Go files.
func declarations(t *testing.T, folder string) map[string]bool {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(moduleRoot, folder, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	var names map[string]bool
	for _, file := range files {
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		if names == nil {
			names = map[string]bool{}
		}
		for _, declaration := range parsed.Decls {
			declare(names, declaration)
		}
	}
	return names
}

func declare(names map[string]bool, declaration ast.Decl) {
	switch declaration := declaration.(type) {
	case *ast.FuncDecl:
		name := declaration.Name.Name
		if declaration.Recv != nil {
			name = receiverType(declaration.Recv.List[0].Type) + "." + name
		}
		names[name] = true
	case *ast.GenDecl:
		for _, spec := range declaration.Specs {
			switch spec := spec.(type) {
			case *ast.TypeSpec:
				names[spec.Name.Name] = true
				declareMembers(names, spec)
			case *ast.ValueSpec:
				for _, name := range spec.Names {
					names[name.Name] = true
				}
			}
		}
	}
}

func declareMembers(names map[string]bool, spec *ast.TypeSpec) {
	var members *ast.FieldList
	switch definition := spec.Type.(type) {
	case *ast.StructType:
		members = definition.Fields
	case *ast.InterfaceType:
		members = definition.Methods
	default:
		return
	}
	for _, member := range members.List {
		for _, name := range member.Names {
			names[spec.Name.Name+"."+name.Name] = true
		}
	}
}

func receiverType(expression ast.Expr) string {
	switch expression := expression.(type) {
	case *ast.StarExpr:
		return receiverType(expression.X)
	case *ast.IndexExpr:
		return receiverType(expression.X)
	case *ast.Ident:
		return expression.Name
	}
	return ""
}

func TestEveryNameOnTheArchitecturePageExists(t *testing.T) {
	const minReferences = 50 // fewer: the pattern above no longer matches what the page writes
	text, err := os.ReadFile("ARCHITECTURE.md")
	if err != nil {
		t.Fatal(err)
	}
	packages := map[string]map[string]bool{}
	checked := 0
	for _, match := range reference.FindAllStringSubmatch(string(text), -1) {
		folder, name := match[1], strings.TrimPrefix(match[2], ".")
		isPackage := strings.Contains(folder, "/") || name != ""
		if !isPackage || fileName.MatchString(match[1]+match[2]) {
			continue
		}
		checked++
		if _, read := packages[folder]; !read {
			packages[folder] = declarations(t, folder)
		}
		switch {
		case packages[folder] == nil:
			t.Errorf("%s names a package that does not exist", match[0])
		case name != "" && !packages[folder][name]:
			t.Errorf("%s names something that package %s does not declare", match[0], folder)
		}
	}
	if checked < minReferences {
		t.Errorf("%d references were found on the page, want at least %d", checked, minReferences)
	}
}
