package testutil

import (
	"os/exec"
	"path/filepath"
	"testing"
)

// Build makes the product's program as strangers do, and returns its path. Arguments are
// further ones of `go build`.
func Build(tb testing.TB, arguments ...string) string {
	tb.Helper()
	program := filepath.Join(tb.TempDir(), "oleandershunt")
	command := append([]string{"build", "-o", program}, arguments...)
	output, err := exec.Command("go", append(command, "oleandershunt.example/oleandershunt/cmd/oleandershunt")...).CombinedOutput()
	if err != nil {
		tb.Fatalf("%v: %s", err, output)
	}
	return program
}
