package relay_test

import (
	"bytes"
	"fmt"
	"go/ast"
	"go/importer"
	"go/parser"
	"go/token"
	"go/types"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

const module = "oleandershunt.example/oleandershunt/"

// decodedTypes lists by package the types that hold decoded messages of servers, the operator
// and the settings.
var decodedTypes = map[string][]string{
	"internal/relay":             {"ResponseInfo", "Report"},
	"internal/core/backpressure": {"Signals"},
	"internal/core/backends":     {"Server", "LayerRange"},
	"internal/core/routes":       {"Route", "Share", "Service", "Account", "Limits", "Engine", "Card"},
	"internal/edge":              {"Settings"},
}

// decidingPackages are the packages that act on them.
var decidingPackages = []string{
	"internal/relay", "internal/edge", "internal/core/backpressure", "internal/core/backends", "internal/core/spread", "internal/core/routes",
}

// Guards against a field of the platform's protocol that is decoded and then ignored.
func TestEachDecodedFieldIsRead(t *testing.T) {
	g := NewWithT(t)
	source := newSource(t)
	declared, read := make(map[string]string), make(map[string]bool)
	for _, path := range decidingPackages {
		files, info := source.check(g, path)
		for _, name := range decodedTypes[path] {
			for _, field := range fieldsOf(files, name) {
				declared[source.key(field.Pos(), field.Name)] = name + "." + field.Name
			}
		}
		for _, file := range files {
			for selector := range readSelectors(file) {
				if selected, ok := info.Selections[selector]; ok && selected.Kind() == types.FieldVal {
					read[source.key(selected.Obj().Pos(), selected.Obj().Name())] = true
				}
			}
		}
	}
	g.Expect(len(declared)).To(BeNumerically(">", 20))
	var unread []string
	for key, field := range declared {
		if !read[key] {
			unread = append(unread, field)
		}
	}
	g.Expect(unread).To(BeEmpty(), "decoded fields that no code reads")
}

// source type-checks packages against the export data of their imports.
type source struct {
	set      *token.FileSet
	importer types.Importer
}

func newSource(t *testing.T) *source {
	g := NewWithT(t)
	arguments := []string{"list", "-deps", "-export", "-f", "{{.ImportPath}}\t{{.Export}}"}
	for _, path := range decidingPackages {
		arguments = append(arguments, module+path)
	}
	list, err := exec.Command("go", arguments...).Output()
	g.Expect(err).NotTo(HaveOccurred())
	exports := make(map[string]string)
	for line := range strings.Lines(string(list)) {
		path, file, _ := strings.Cut(strings.TrimSpace(line), "\t")
		exports[path] = file
	}
	set := token.NewFileSet()
	open := func(path string) (io.ReadCloser, error) {
		data, err := os.ReadFile(exports[path])
		return io.NopCloser(bytes.NewReader(data)), err
	}
	return &source{set: set, importer: importer.ForCompiler(set, "gc", open)}
}

// check returns the files of a package, without tests, with their type information.
func (s *source) check(g *WithT, path string) ([]*ast.File, *types.Info) {
	names, err := filepath.Glob("../../" + path + "/*.go")
	g.Expect(err).NotTo(HaveOccurred())
	var files []*ast.File
	for _, name := range names {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(s.set, name, nil, 0)
		g.Expect(err).NotTo(HaveOccurred())
		files = append(files, file)
	}
	info := &types.Info{Selections: make(map[*ast.SelectorExpr]*types.Selection)}
	_, err = (&types.Config{Importer: s.importer}).Check(module+path, s.set, files, info)
	g.Expect(err).NotTo(HaveOccurred())
	return files, info
}

// key identifies a field independent of the package that refers to it.
func (s *source) key(at token.Pos, name string) string {
	position := s.set.Position(at)
	return fmt.Sprintf("%s:%d %s", filepath.Base(position.Filename), position.Line, name)
}

// fieldsOf returns the fields of a struct.
func fieldsOf(files []*ast.File, name string) []*ast.Ident {
	var fields []*ast.Ident
	for _, file := range files {
		ast.Inspect(file, func(node ast.Node) bool {
			if spec, ok := node.(*ast.TypeSpec); ok && spec.Name.Name == name {
				for _, field := range spec.Type.(*ast.StructType).Fields.List {
					fields = append(fields, field.Names...)
				}
			}
			return true
		})
	}
	return fields
}

// readSelectors returns the selectors of a file that aren't assigned to.
func readSelectors(file *ast.File) map[*ast.SelectorExpr]bool {
	read := make(map[*ast.SelectorExpr]bool)
	ast.Inspect(file, func(node ast.Node) bool {
		if selector, ok := node.(*ast.SelectorExpr); ok {
			read[selector] = true
		}
		return true
	})
	ast.Inspect(file, func(node ast.Node) bool {
		if assigned, ok := node.(*ast.AssignStmt); ok {
			for _, left := range assigned.Lhs {
				if selector, ok := left.(*ast.SelectorExpr); ok {
					delete(read, selector)
				}
			}
		}
		return true
	})
	return read
}
