package core_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// forbiddenImports are packages that do I/O or keep hidden state.
var forbiddenImports = []string{"net", "os", "io/ioutil", "syscall", "math/rand", "log", "sync", "unsafe"}

// forbiddenCalls read the clock or a global source of random numbers.
var forbiddenCalls = []string{
	"time.Now", "time.Since", "time.Until", "time.Sleep", "time.After", "time.AfterFunc", "time.Tick",
	"time.NewTimer", "time.NewTicker", "rand.Int", "rand.IntN", "rand.N", "rand.Float64", "rand.Perm",
	"rand.Shuffle", "rand.Uint64", "rand.Uint32", "rand.Int64", "rand.Int64N", "rand.NormFloat64", "rand.ExpFloat64",
}

// Guards against a replayed trace that reaches other decisions than the recorded
// VM, because code in the core reads the clock, does I/O, uses global random
// numbers or starts goroutines.
func TestCoreDoesNoIO(t *testing.T) {
	g := NewWithT(t)
	files := 0
	err := filepath.WalkDir(".", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files++
		for _, finding := range impurities(t, path) {
			t.Errorf("%s: %s", path, finding)
		}
		return nil
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(files).To(BeNumerically(">", 4))
}

// impurities returns the forbidden imports, calls and go statements of a file.
func impurities(t *testing.T, path string) []string {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	var found []string
	for _, spec := range file.Imports {
		name, _ := strconv.Unquote(spec.Path.Value)
		for _, forbidden := range forbiddenImports {
			if name == forbidden || strings.HasPrefix(name, forbidden+"/") && name != "math/rand/v2" {
				found = append(found, "imports "+name)
			}
		}
	}
	ast.Inspect(file, func(node ast.Node) bool {
		switch n := node.(type) {
		case *ast.GoStmt:
			found = append(found, "starts a goroutine")
		case *ast.SelectorExpr:
			found = append(found, forbiddenSelector(n)...)
		}
		return true
	})
	return found
}

func forbiddenSelector(selector *ast.SelectorExpr) []string {
	pkg, ok := selector.X.(*ast.Ident)
	if !ok {
		return nil
	}
	name := pkg.Name + "." + selector.Sel.Name
	for _, forbidden := range forbiddenCalls {
		if name == forbidden {
			return []string{"calls " + name}
		}
	}
	return nil
}
