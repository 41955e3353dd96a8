package core_test

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/request"
)

var refuseLine = regexp.MustCompile(`(?m)^  refuse \S+ (\w+) (\w+) `)

// Guards against an untested combination of refusal reason and execution. The
// scripts must show every documented combination and no other.
func TestScriptsCoverEveryRefusal(t *testing.T) {
	g := NewWithT(t)
	paths, err := filepath.Glob("testdata/*.txt")
	g.Expect(err).NotTo(HaveOccurred())
	shown := map[string]bool{}
	for _, path := range paths {
		script, err := os.ReadFile(path)
		g.Expect(err).NotTo(HaveOccurred())
		for _, match := range refuseLine.FindAllStringSubmatch(string(script), -1) {
			reason, execution := request.Reason(match[1]), request.Execution(match[2])
			g.Expect(slices.Contains(reason.Executions(), execution)).To(BeTrue(), "%s: %s", path, match[0])
			shown[match[1]+" "+match[2]] = true
		}
	}
	for _, reason := range request.Reasons() {
		for _, execution := range reason.Executions() {
			g.Expect(shown).To(HaveKey(string(reason)+" "+string(execution)), "no script covers it")
		}
	}
}
