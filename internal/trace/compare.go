package trace

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/request"
)

// Finding is one comparison of a stated outcome, or one broken rule.
type Finding struct {
	// Line is the line of the stated outcome, or of the event that broke a rule.
	Line int
	// What names the thing stated.
	What string
	// Event and EventLine are the event that last decided it. EventLine is 0
	// when there was none.
	Event     string
	EventLine int
	// Expected and Found are in the form of the file.
	Expected string
	Found    string
	// Met tells whether they agree.
	Met bool
}

// Compare compares every stated outcome of the trace, the digest included, with
// the run, and adds a finding for each rule that the run broke.
func (r *Run) Compare(t *Trace) []Finding {
	var findings []Finding
	for _, stated := range t.Outcomes {
		findings = append(findings, r.compare(stated))
	}
	if t.Head.Dropped == 0 {
		findings = append(findings, r.Unasked...)
	}
	findings = append(findings, r.brokenRules()...)
	if t.DigestLine > 0 {
		findings = append(findings, finding(t.DigestLine, "digest of the decisions", point{}, t.Digest, r.Digest))
	}
	return findings
}

func (r *Run) compare(stated Stated) Finding {
	o := stated.Outcome
	switch {
	case o.Request != nil:
		return r.compareRequest(stated.Line, *o.Request)
	case o.Key != nil:
		return r.compareKey(stated.Line, *o.Key)
	case o.Server != nil:
		return r.compareServer(stated.Line, *o.Server)
	default:
		return r.compareVM(stated.Line, *o.VM)
	}
}

// finding compares two values by their JSON forms.
func finding(line int, what string, last point, expected, found any) Finding {
	f := Finding{Line: line, What: what, Event: last.event, EventLine: last.line}
	f.Expected, f.Found = form(expected), form(found)
	f.Met = f.Expected == f.Found
	return f
}

func form(value any) string {
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(value); err != nil {
		return err.Error()
	}
	return string(bytes.TrimSpace(out.Bytes()))
}

// nothing is found where a stated thing does not occur in the trace.
const nothing = "nothing: it does not occur in the trace"

func absent(line int, what string, expected any) Finding {
	return Finding{Line: line, What: what, Expected: form(expected), Found: nothing}
}

func (r *Run) compareRequest(line int, expected RequestOutcome) Finding {
	what := fmt.Sprintf("request %s on %s", expected.Request, expected.VM)
	run, ok := r.requests[requestKey{expected.VM, expected.Request}]
	if !ok {
		return absent(line, what, expected)
	}
	found := run.outcome()
	if expected.Tokens == nil {
		found.Tokens = nil
	}
	if expected.Servers == nil {
		found.Servers = nil
	}
	if expected.Dropped == nil {
		found.Dropped = nil
	}
	if expected.BadReceipts == nil {
		found.BadReceipts = nil
	}
	return finding(line, what, run.last, expected, found)
}

func (r *Run) compareKey(line int, expected KeyOutcome) Finding {
	what := fmt.Sprintf("key %s of account %s", expected.Key, expected.Account)
	found := KeyOutcome{Account: expected.Account, Key: expected.Key}
	seen := false
	var last point
	for _, run := range r.all {
		if run.arrived.Account != expected.Account || run.arrived.Key != expected.Key {
			continue
		}
		seen = true
		found.Executions += run.executions()
		if run.last.line > last.line {
			last = run.last
		}
	}
	if !seen {
		return absent(line, what, expected)
	}
	return finding(line, what, last, expected, found)
}

func (r *Run) compareServer(line int, expected ServerOutcome) Finding {
	what := "backend server " + expected.Server
	server, ok := r.servers[expected.Server]
	if !ok {
		return absent(line, what, expected)
	}
	found := server.outcome(expected.Server)
	if expected.LeavingAt == nil {
		found.LeavingAt = nil
	}
	var last point
	if server.dispatch != nil {
		last = *server.dispatch
	}
	return finding(line, what, last, expected, found)
}

func (r *Run) compareVM(line int, expected VMOutcome) Finding {
	what := "VM " + expected.VM
	p, ok := r.vms[expected.VM]
	if !ok {
		return absent(line, what, expected)
	}
	found := VMOutcome{VM: expected.VM, Releases: p.releases, Cut: p.cut}
	if expected.Releases == nil {
		found.Releases = nil
	}
	return finding(line, what, p.lastRelease, expected, found)
}

// leavingGrace is how long after the first word that a server leaves another
// VM may still give it work: "a few seconds" of the users' promise.
const leavingGrace = 3 * time.Second

// brokenRules checks what must hold in every trace, stated or not.
func (r *Run) brokenRules() []Finding {
	var broken []Finding
	for _, run := range r.all {
		broken = append(broken, run.brokenRules()...)
	}
	broken = append(broken, r.keysRunTwice()...)
	broken = append(broken, r.keysThatRan()...)
	for _, name := range sortedNames(r.servers) {
		server := r.servers[name]
		if server.late != nil {
			what := "backend server " + name + " leaves"
			broken = append(broken, rule(*server.late, what, "no new work after "+leavingGrace.String(), "work at "+server.late.at.String()))
		}
	}
	for _, name := range r.order {
		broken = append(broken, releasesGoBack(r.vms[name])...)
	}
	return broken
}

func rule(at point, what, expected, found string) Finding {
	return Finding{Line: at.line, What: what, Event: at.event, EventLine: at.line, Expected: expected, Found: found}
}

// brokenRules checks that "not run" is true.
func (run *requestRun) brokenRules() []Finding {
	if run.refusal == nil || run.refusal.Execution != "not_run" || run.executions() == 0 {
		return nil
	}
	what := fmt.Sprintf("request %s on %s is refused as not_run", run.key.id, run.key.vm)
	return []Finding{rule(run.last, what, "0 executions", fmt.Sprintf("%d executions", run.executions()))}
}

// keysThatRan finds the refusals as "not run" of a key which had been dispatched
// before, on whatever VM. One for another body tells of that body alone.
func (r *Run) keysThatRan() []Finding {
	type key struct{ account, key string }
	byKey := make(map[key][]*requestRun)
	for _, run := range r.all {
		if run.arrived.KeyGiven && !run.arrived.Idempotent {
			k := key{run.arrived.Account, run.arrived.Key}
			byKey[k] = append(byKey[k], run)
		}
	}
	var broken []Finding
	for _, run := range r.all {
		if run.arrived.Idempotent || run.refusal == nil || run.refusal.Execution != request.NotRun ||
			run.refusal.Reason == request.ReasonBodyDiffers {
			continue
		}
		for _, other := range byKey[key{run.arrived.Account, run.arrived.Key}] {
			if n := other.executionsBefore(run.last); n > 0 && other != run {
				what := fmt.Sprintf("request %s on %s is refused as not_run", run.key.id, run.key.vm)
				broken = append(broken, rule(run.last, what, "no earlier execution of its key",
					fmt.Sprintf("%d of request %s on %s", n, other.key.id, other.key.vm)))
			}
		}
	}
	return broken
}

// keysRunTwice finds the keys of non-idempotent requests that ran more than once.
func (r *Run) keysRunTwice() []Finding {
	type key struct{ account, key string }
	ran := make(map[key]int)
	var broken []Finding
	for _, run := range r.all {
		if run.arrived.Idempotent {
			continue
		}
		k := key{run.arrived.Account, run.arrived.Key}
		if k.key == "" {
			k.key = "request " + string(run.key.id) + " on " + run.key.vm
		}
		executions := run.executions()
		ran[k] += executions
		if executions > 0 && ran[k] > 1 {
			what := fmt.Sprintf("non-idempotent key %s of account %s", k.key, k.account)
			broken = append(broken, rule(run.last, what, "at most 1 execution", fmt.Sprintf("%d executions", ran[k])))
		}
	}
	return broken
}

// releasesGoBack finds a release in force that is older than the one before it.
func releasesGoBack(p *process) []Finding {
	for i := 1; i < len(p.releases); i++ {
		before, after := p.releases[i-1], p.releases[i]
		if after.Release < before.Release {
			what := "VM " + p.vm.Name + " has a release in force"
			return []Finding{rule(p.lastRelease, what, fmt.Sprintf("%d or newer", before.Release), fmt.Sprint(after.Release))}
		}
	}
	return nil
}

func sortedNames(servers map[string]*serverRun) []string {
	names := make([]string, 0, len(servers))
	for name := range servers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
