package testutil

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Defect is a deliberate mistake, by which a check shows that it can fail. It is built in by
// an overlay over one file, so that the program itself never contains it.
type Defect struct {
	Name string
	// File is the path from the module's root; Old, which it has once, becomes Bad.
	File, Old, Bad string
}

// Overlay writes the file with the defect, and returns the overlay that `go build` takes.
func (d Defect) Overlay(tb testing.TB, root string) string {
	tb.Helper()
	return Overlay(tb, root, d)
}

// Overlay writes the files with several changes, and returns the overlay that `go build` takes. A
// change without Old adds a file.
func Overlay(tb testing.TB, root string, changes ...Defect) string {
	tb.Helper()
	directory, replaced := tb.TempDir(), make(map[string]string)
	for i, change := range changes {
		original := filepath.Join(root, change.File)
		if replaced[original] != "" {
			tb.Fatalf("two changes of %s", change.File)
		}
		replaced[original] = filepath.Join(directory, fmt.Sprintf("changed%d.go", i))
		write(tb, replaced[original], change.apply(tb, original))
	}
	list, err := json.Marshal(map[string]any{"Replace": replaced})
	if err != nil {
		tb.Fatal(err)
	}
	file := filepath.Join(directory, "overlay.json")
	write(tb, file, string(list))
	return file
}

// apply returns the file's text after the change.
func (d Defect) apply(tb testing.TB, original string) string {
	tb.Helper()
	if d.Old == "" {
		return d.Bad
	}
	source, err := os.ReadFile(original)
	if err != nil {
		tb.Fatal(err)
	}
	if strings.Count(string(source), d.Old) != 1 {
		tb.Fatalf("the line that defect %q replaces has changed: %s", d.Name, d.Old)
	}
	return strings.Replace(string(source), d.Old, d.Bad, 1)
}

func write(tb testing.TB, file, text string) {
	tb.Helper()
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		tb.Fatal(err)
	}
}
