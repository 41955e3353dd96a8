package claim_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// TestScripts runs the scripts under testdata. Each is a shrunk counterexample that
// the property test found in an earlier version of the code, or with one safeguard
// removed, and opens with the failure that it guards against.
func TestScripts(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.script")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	NewWithT(t).Expect(paths).NotTo(BeEmpty())
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			g := NewWithT(t)
			text, err := os.ReadFile(path)
			g.Expect(err).NotTo(HaveOccurred())
			w := newCluster("a", "b", "c")
			outcomes := 0
			for number, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
				if strings.HasPrefix(line, "#") || line == "" {
					continue
				}
				g.Expect(w.run(line)).To(Succeed(), "%s:%d: %s", path, number+1, line)
				if strings.HasPrefix(line, "expect-") {
					outcomes++
				}
			}
			g.Expect(outcomes).To(BeNumerically(">", 0), "a script must check at least one outcome")
			g.Expect(w.violated()).To(BeFalse())
		})
	}
}
