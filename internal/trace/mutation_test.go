package trace

import (
	"flag"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/testutil"
)

var mutate = flag.Bool("mutate", false, "build the program with each named defect and expect the traces to catch it")

var defects = []testutil.Defect{
	{
		Name: "retry after dispatch", File: "internal/core/request/request.go",
		Old: "return r.Idempotent || r.Execution == NotRun", Bad: "return true",
	},
	{
		Name: "release goes back", File: "internal/core/core.go",
		Old: "if e.Set.Release <= m.config.Release {", Bad: "if e.Set.Release == m.config.Release {",
	},
	{
		Name: "duplicate token", File: "internal/engine/receipts.go",
		Old: "if frame.Token.Index != e.NextIndex {", Bad: "if frame.Token.Index > e.NextIndex {",
	},
	{
		Name: "dispatch to a leaving server", File: "internal/core/routing.go",
		Old: "server.Eligible, server.Incarnation = m.eligible(record)", Bad: "server.Eligible = true",
	},
	{
		Name: "lease not rechecked", File: "internal/core/requests_dispatch.go",
		Old: "case !r.Idempotent && now >= r.ValidUntil:", Bad: "case false:",
	},
	{
		Name: "not run told of a key that may have run", File: "internal/core/requests_peek.go",
		Old: "if !r.MayBeRepeat(now) ||", Bad: "if true ||",
	},
	{
		Name: "receipts unchecked", File: "internal/engine/receipts.go",
		Old: "if server, err := e.Check(frame); err != nil {", Bad: "if server := \"\"; false {",
	},
	{
		Name: "frames of a former attempt delivered", File: "internal/engine/receipts.go",
		Old: "case !e.Own(frame):", Bad: "case false:",
	},
}

// Symptom: the promises are broken and CI is green. Sequence: somebody makes one
// of these mistakes. Cause: a proof that can't fail. Each defect must make at
// least one trace of the set miss an outcome.
func TestMutationsAreCaught(t *testing.T) {
	if !*mutate {
		t.Skip("run with -mutate, as CI does")
	}
	root, err := filepath.Abs("../..")
	g := NewWithT(t)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(replayWith(t, root, nil)).To(BeEmpty(), "without a defect every outcome is met")
	for _, d := range defects {
		t.Run(d.Name, func(t *testing.T) {
			caught := replayWith(t, root, &d)
			NewWithT(t).Expect(caught).NotTo(BeEmpty())
			t.Logf("defect %q is caught by %d traces: %s", d.Name, len(caught), strings.Join(caught, ", "))
		})
	}
}

var missedLine = regexp.MustCompile(`traces/([\w-]+)\.trace:\d+: MISSED: (request|key|backend server|VM|non-idempotent)`)

// replayWith builds the program with a defect, replays the set and names the
// traces that missed an outcome other than the digest.
func replayWith(t *testing.T, root string, d *testutil.Defect) []string {
	g := NewWithT(t)
	var arguments []string
	if d != nil {
		arguments = []string{"-overlay", d.Overlay(t, root)}
	}
	program := testutil.Build(t, arguments...)
	files, err := filepath.Glob(filepath.Join(root, "testdata/traces/*.trace"))
	g.Expect(err).NotTo(HaveOccurred())
	replay := exec.CommandContext(t.Context(), program, append([]string{"replay"}, files...)...)
	text, err := replay.CombinedOutput()
	var caught []string
	for _, match := range missedLine.FindAllStringSubmatch(string(text), -1) {
		caught = append(caught, match[1])
	}
	caught = slices.Compact(caught)
	g.Expect(err != nil).To(Equal(strings.Contains(string(text), "MISSED:")), "the exit code says what the text says")
	return caught
}
