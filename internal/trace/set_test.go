package trace

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

var update = flag.Bool("update", false, "write testdata/traces anew from the scenarios")

const (
	setDirectory = "../../testdata/traces"
	smallestSet  = 20
)

func setFiles(t *testing.T) []string {
	files, err := filepath.Glob(filepath.Join(setDirectory, "*.trace"))
	g := NewWithT(t)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(files)).To(BeNumerically(">=", smallestSet))
	return files
}

// TestRegenerate plays every scenario on the core as it is. Stated outcomes come
// from the scenarios; a core that doesn't meet them fails here, and the file
// stays as it was.
func TestRegenerate(t *testing.T) {
	for _, sc := range scenarios() {
		t.Run(sc.name, func(t *testing.T) {
			g := NewWithT(t)
			s := newScript(t, sc.deployment)
			newPlay(s).run(sc.faults)
			s.trace.finishHead(sc.head())
			var text bytes.Buffer
			g.Expect(s.trace.Write(&text)).To(Succeed())
			played, err := Read(bytes.NewReader(text.Bytes()))
			g.Expect(err).NotTo(HaveOccurred())
			run := Replay(played)
			for _, finding := range run.Compare(played) {
				g.Expect(finding.Met).To(BeTrue(), finding.describe(sc.name))
			}
			if !*update {
				return
			}
			played.Digest = run.Digest
			var out bytes.Buffer
			g.Expect(played.Write(&out)).To(Succeed())
			g.Expect(os.WriteFile(filepath.Join(setDirectory, sc.name+".trace"), out.Bytes(), 0o644)).To(Succeed())
		})
	}
}

// finishHead takes the scenario's words and the promises that its outcomes state.
func (t *Trace) finishHead(head Head) {
	head.Version, head.Deployment, head.VMs = t.Head.Version, t.Head.Deployment, t.Head.VMs
	for _, promise := range Promises() {
		if t.states(promise) {
			head.Promises = append(head.Promises, promise)
		}
	}
	t.Head = head
}

func TestSetReplays(t *testing.T) {
	for _, file := range setFiles(t) {
		t.Run(filepath.Base(file), func(t *testing.T) {
			g := NewWithT(t)
			recorded, err := ReadFile(file)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(recorded.DigestLine).NotTo(BeZero())
			for _, finding := range Replay(recorded).Compare(recorded) {
				g.Expect(finding.Met).To(BeTrue(), "%s\nIf the core was changed on purpose: go test ./internal/trace -run Regenerate -update", finding.describe(file))
			}
		})
	}
}

func TestSetStatesEachPromiseUnderEachFailure(t *testing.T) {
	g := NewWithT(t)
	type cell struct {
		promise Promise
		failure Failure
	}
	alone, paired := map[cell]bool{}, map[cell]bool{}
	deployments := map[string]bool{}
	for _, file := range setFiles(t) {
		recorded, err := ReadFile(file)
		g.Expect(err).NotTo(HaveOccurred())
		head := recorded.Head
		deployments[head.Deployment] = true
		g.Expect([]string{head.Symptom, head.Sequence, head.Cause}).NotTo(ContainElement(BeEmpty()), file)
		for _, promise := range head.Promises {
			g.Expect(recorded.states(promise)).To(BeTrue(), "%s claims %s and states nothing of it", file, promise)
			for _, failure := range head.Failures {
				if len(head.Failures) == 1 {
					alone[cell{promise, failure}] = true
				} else {
					paired[cell{promise, failure}] = true
				}
			}
		}
	}
	g.Expect(deployments).To(HaveLen(2))
	for _, promise := range Promises() {
		for _, failure := range Failures() {
			g.Expect(alone[cell{promise, failure}]).To(BeTrue(), "%s under %s alone", promise, failure)
			g.Expect(paired[cell{promise, failure}]).To(BeTrue(), "%s under %s with another", promise, failure)
		}
	}
}

// Symptom: a proof that can't fail. Sequence: a stated outcome is changed in any
// trace of the set. Cause: a part of an outcome that nothing compares.
func TestEveryChangedOutcomeIsMissedAndNamed(t *testing.T) {
	g := NewWithT(t)
	changed := 0
	for _, file := range setFiles(t) {
		recorded, err := ReadFile(file)
		g.Expect(err).NotTo(HaveOccurred())
		run := Replay(recorded)
		for _, stated := range recorded.Outcomes {
			for _, wrong := range changes(t, stated.Outcome) {
				finding := run.compare(Stated{Line: stated.Line, Outcome: wrong})
				g.Expect(finding.Met).To(BeFalse(), "%s:%d: %s", file, stated.Line, form(wrong))
				g.Expect(finding.Line).To(Equal(stated.Line))
				changed++
			}
		}
	}
	g.Expect(changed).To(BeNumerically(">", 1000))
}

// Symptom: a replay in CI passes on a file that proves nothing. Sequence: a trace is cut
// off before its outcomes, which stand at its end. Cause: nothing to compare is taken
// for nothing missed.
func TestATraceWithoutOutcomesIsAnError(t *testing.T) {
	g := NewWithT(t)
	cut := 0
	for _, file := range setFiles(t) {
		recorded, err := ReadFile(file)
		g.Expect(err).NotTo(HaveOccurred())
		data, err := os.ReadFile(file)
		g.Expect(err).NotTo(HaveOccurred())
		lines := bytes.SplitAfter(data, []byte("\n"))
		first := len(lines)
		for _, stated := range recorded.Outcomes {
			first = min(first, stated.Line)
		}
		short := filepath.Join(t.TempDir(), filepath.Base(file))
		g.Expect(os.WriteFile(short, bytes.Join(lines[:first-1], nil), 0o600)).To(Succeed())
		if _, err := ReadFile(short); err != nil {
			continue // what is broken is an error already
		}
		cut++
		var out bytes.Buffer
		g.Expect(ReplayFiles(&out, []string{short}, false)).To(MatchError(ErrNoOutcome))
		g.Expect(out.String()).To(ContainSubstring("states no outcome"))
	}
	g.Expect(cut).To(BeNumerically(">", 0))
}

// changes gives an outcome with each of its values changed in turn.
func changes(t *testing.T, outcome Outcome) []Outcome {
	var wrong []Outcome
	data, err := json.Marshal(outcome)
	g := NewWithT(t)
	g.Expect(err).NotTo(HaveOccurred())
	for leaf := 0; ; leaf++ {
		var tree any
		decoder := json.NewDecoder(bytes.NewReader(data))
		decoder.UseNumber()
		g.Expect(decoder.Decode(&tree)).To(Succeed())
		left := leaf
		tree = changeLeaf(tree, &left)
		if left >= 0 {
			return wrong
		}
		text, err := json.Marshal(tree)
		g.Expect(err).NotTo(HaveOccurred())
		var changed Outcome
		g.Expect(json.Unmarshal(text, &changed)).To(Succeed())
		wrong = append(wrong, changed)
	}
}

// changeLeaf changes the value at which left comes to 0, and leaves left below 0 then.
func changeLeaf(tree any, left *int) any {
	switch v := tree.(type) {
	case map[string]any:
		keys := make([]string, 0, len(v))
		for key := range v {
			keys = append(keys, key)
		}
		slices.Sort(keys)
		for _, key := range keys {
			v[key] = changeLeaf(v[key], left)
		}
		return v
	case []any:
		for i := range v {
			v[i] = changeLeaf(v[i], left)
		}
		return v
	}
	*left--
	if *left != -1 {
		return tree
	}
	switch v := tree.(type) {
	case json.Number:
		n, _ := v.Int64()
		return n + 1
	case bool:
		return !v
	case string:
		return strings.ToUpper(v) + "x"
	}
	return tree
}
