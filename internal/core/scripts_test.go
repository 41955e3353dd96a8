package core_test

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core"
	"oleandershunt.example/oleandershunt/internal/core/config"
	"oleandershunt.example/oleandershunt/internal/core/route"
)

var rewrite = flag.Bool("rewrite", false, "replace the expected actions in the scripts by the actual ones")

// TestScripts runs the scripts in testdata. Each script gives the events of one or
// more machines and the expected actions. Lines without indentation are input:
//
//	options maxAttempts=2             settings, before the first event
//	record Pipeline p model=m ...     a record of the configuration in force
//	delete Pipeline p                 deletes the record in the next release
//	release 10ms                      puts the records so far in force on all machines;
//	                                  without it they are in force from the start
//	unconfigured                      starts machines without a configuration
//	vm a                              adds a machine; without it there is one
//	> 10ms request_arrived request=r  an event with its time; "a> " names the machine
//	> 5s wait                         advances the time
//	notes                             shows the notes from here on
//
// Indented lines are the expected actions. Machines get a Tick when one that they
// asked for is due. Health actions, WakeAt and, by default, notes are left out.
func TestScripts(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txt")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	NewWithT(t).Expect(paths).NotTo(BeEmpty())
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txt"), func(t *testing.T) {
			g := NewWithT(t)
			script, err := os.ReadFile(path)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(script)).To(And(ContainSubstring("# Symptom:"), ContainSubstring("Sequence:"), ContainSubstring("Cause:")))
			s := &scriptRun{t: t, machines: map[string]*scriptMachine{}}
			got := s.run(string(script))
			if *rewrite {
				g.Expect(os.WriteFile(path, []byte(got), 0o644)).To(Succeed())
				return
			}
			g.Expect(got).To(Equal(string(script)))
		})
	}
}

type scriptRun struct {
	t       *testing.T
	options core.Options
	// documents are the records defined so far.
	documents []api.Document
	releases  uint64
	machines  map[string]*scriptMachine
	notes     bool
	// unconfigured says that machines start without a configuration.
	unconfigured bool
	out          strings.Builder
}

type scriptMachine struct {
	*core.Machine
	wakeAt core.Time
}

var eventLine = regexp.MustCompile(`^(\w*)> (\S+) (\w+)(.*)$`)

func (s *scriptRun) run(script string) string {
	s.options = core.Options{Policy: route.PolicyLeastInFlight, Seed: 1, MaxAttempts: 4, DataCentre: "d1"}
	lines := bufio.NewScanner(strings.NewReader(script))
	for lines.Scan() {
		line := lines.Text()
		if strings.HasPrefix(line, "  ") {
			continue
		}
		s.out.WriteString(line + "\n")
		s.input(line)
	}
	return s.out.String()
}

func (s *scriptRun) input(line string) {
	g := NewWithT(s.t)
	if match := eventLine.FindStringSubmatch(line); match != nil {
		at, err := time.ParseDuration(match[2])
		g.Expect(err).NotTo(HaveOccurred(), line)
		s.event(s.machine(match[1]), at, match[3], match[4])
		return
	}
	words := strings.Fields(line)
	switch {
	case len(words) == 0 || words[0] == "#":
	case words[0] == "options":
		g.Expect(json.Unmarshal(fields(words[1:]), &s.options)).To(Succeed(), line)
	case words[0] == "record":
		s.documents = append(s.documents, document(words[1], words[2], words[3:]))
	case words[0] == "delete":
		s.documents = slices.DeleteFunc(s.documents, func(d api.Document) bool { return d.Key() == words[1]+"/"+words[2] })
	case words[0] == "release":
		s.release(words[1])
	case words[0] == "unconfigured":
		s.unconfigured = true
	case words[0] == "vm":
		s.machine(words[1])
	case words[0] == "notes":
		s.notes = true
	default:
		s.t.Fatalf("not an input line: %q", line)
	}
}

func document(kind, name string, words []string) api.Document {
	return api.Document{
		Header: api.Header{Kind: api.Kind(kind), SchemaVersion: api.SchemaV1, Name: name},
		Spec:   fields(words),
	}
}

func (s *scriptRun) machine(name string) *scriptMachine {
	m, ok := s.machines[name]
	if !ok {
		options := s.options
		options.VM = name
		m = &scriptMachine{Machine: core.New(options)}
		s.machines[name] = m
		if !s.unconfigured {
			s.releases = max(s.releases, 1)
			m.Step(0, core.ConfigInForce{Set: s.set()})
		}
	}
	return m
}

func (s *scriptRun) set() *config.Set {
	set, err := config.Build(s.releases, s.documents)
	NewWithT(s.t).Expect(err).NotTo(HaveOccurred())
	return set
}

// release puts the records so far in force on every machine.
func (s *scriptRun) release(at string) {
	now, err := time.ParseDuration(at)
	NewWithT(s.t).Expect(err).NotTo(HaveOccurred())
	s.releases++
	for _, name := range slices.Sorted(maps.Keys(s.machines)) {
		m := s.machines[name]
		s.print(m, m.Step(now, core.ConfigInForce{Set: s.set()}), "")
	}
}

// event advances the machine's time to an event, with the Ticks that are due, and
// steps it.
func (s *scriptRun) event(m *scriptMachine, at core.Time, name, rest string) {
	for m.wakeAt != 0 && m.wakeAt <= at {
		due := m.wakeAt
		m.wakeAt = 0
		s.print(m, m.Step(due, core.Tick{}), fmt.Sprintf("  at %v", due))
	}
	if name == "wait" {
		return
	}
	event, err := core.DecodeEvent(name, fields(strings.Fields(rest)))
	NewWithT(s.t).Expect(err).NotTo(HaveOccurred(), rest)
	s.print(m, m.Step(at, event), "")
}

func (s *scriptRun) print(m *scriptMachine, actions []core.Action, heading string) {
	for _, action := range actions {
		if wake, ok := action.(core.WakeAt); ok && (m.wakeAt == 0 || wake.At < m.wakeAt) {
			m.wakeAt = wake.At
		}
		text := s.format(action)
		if text == "" {
			continue
		}
		if heading != "" {
			s.out.WriteString(heading + "\n")
			heading = ""
		}
		s.out.WriteString("  " + text + "\n")
	}
}

func (s *scriptRun) format(action core.Action) string {
	switch a := action.(type) {
	case core.Dispatch:
		var servers []string
		for _, stage := range a.Path {
			servers = append(servers, stage.Server)
		}
		return fmt.Sprintf("dispatch %s attempt=%d path=%s from=%d", a.Request, a.Attempt, strings.Join(servers, ","), a.FromToken)
	case core.Refuse:
		return fmt.Sprintf("refuse %s %s %s retry=%v", a.Request, a.Reason, a.Execution, a.RetryAfter.Round(time.Millisecond))
	case core.Move:
		return fmt.Sprintf("move %s attempt=%d leaves=%s", a.Request, a.Attempt, a.Server)
	case core.ServerLeaving:
		return fmt.Sprintf("server_leaving %s %s streams=%d staying=%d left=%v", a.Server, a.Phase, a.Streams, a.Staying, a.Left)
	case core.Claim:
		return fmt.Sprintf("claim %s %s/%s body=%d", a.Request, a.Key.Account, a.Key.Key, a.BodyHash)
	case core.Peek:
		return fmt.Sprintf("peek %s %s/%s body=%d", a.Request, a.Key.Account, a.Key.Key, a.BodyHash)
	case core.ClaimSettled:
		return fmt.Sprintf("claim_settled %s %s/%s %s", a.Request, a.Key.Account, a.Key.Key, a.Execution)
	case core.PublishPoisonFinding:
		f := a.Finding
		return fmt.Sprintf("poison_verdict %s/%s body=%d crashes=%d condemned=%v", f.Account, f.Pipeline, f.BodyHash, f.Crashes, f.Condemned)
	case core.ConfirmSuspicion:
		return fmt.Sprintf("confirm_suspicion %s", a.Request)
	case core.LocalAccountUsage:
		return fmt.Sprintf("account_usage_here %v", a.Accounts)
	case core.Note:
		if s.notes {
			return strings.TrimSpace(fmt.Sprintf("note %s %s %s", a.Request, a.Step, a.Text))
		}
	}
	return ""
}

var durationValue = regexp.MustCompile(`^[0-9.]+(ns|us|ms|s|m|h)$`)

// fields converts key=value words to a JSON object. A dot in a key separates the
// names of nested fields.
func fields(words []string) []byte {
	object := map[string]any{}
	for _, word := range words {
		key, value, _ := strings.Cut(word, "=")
		into := object
		parts := strings.Split(key, ".")
		for _, part := range parts[:len(parts)-1] {
			inner, ok := into[part].(map[string]any)
			if !ok {
				inner = map[string]any{}
				into[part] = inner
			}
			into = inner
		}
		into[parts[len(parts)-1]] = scalar(value)
	}
	data, _ := json.Marshal(object)
	return data
}

func scalar(value string) any {
	if durationValue.MatchString(value) {
		d, _ := time.ParseDuration(value)
		return d.Nanoseconds()
	}
	if number, err := strconv.ParseFloat(value, 64); err == nil {
		return number
	}
	if json.Valid([]byte(value)) {
		return json.RawMessage(value)
	}
	return value
}
