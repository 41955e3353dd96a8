package soak

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"oleandershunt.example/oleandershunt/platform/standin"
)

// request is what a caller did and got.
type request struct {
	id, route, vm string
	// boot counts the processes of the VM up to the one that was asked.
	boot        int
	sent, ended time.Time
	// status is the answer's; 0 without one.
	status int
	// execution is what a refusal says became of the request.
	execution string
	// whole says that the answer was a server's own, complete and this request's.
	whole bool
	// wrong says what an answer that looked complete had wrong.
	wrong string
	// err is why there was no whole answer.
	err string
	// left is when the caller left by itself; zero when it didn't.
	left time.Time
	// version is the one whose own route a probe asks for; 0 for others.
	version int
}

// span is a time in which something was disturbed.
type span struct{ from, to time.Time }

// spans are the disturbances of something.
type spans []span

// quiet tells whether nothing was disturbed between two moments, and for some time before.
func (s *spans) quiet(from, to time.Time, before time.Duration) bool {
	return s == nil || !slices.ContainsFunc(*s, func(d span) bool { return d.from.Before(to) && d.to.After(from.Add(-before)) })
}

// leaving is a server's planned leave.
type leaving struct {
	server string
	at     time.Time
}

// rated is a request rate that a server set for a time.
type rated struct {
	server    string
	perSecond float64
	from, to  time.Time
}

// applied is a version of the configuration, and when it was confirmed.
type applied struct {
	version      int
	sent, stored time.Time
}

// facts are what was seen in a run.
type facts struct {
	bounds   standin.Bounds
	requests []request
	arrivals []standin.Arrival
	// vms, servers and store are the disturbances, planned stops of VMs apart.
	vms, servers, stops map[string]*spans
	store               spans
	leavings            []leaving
	versions            []applied
	rates               []rated
	// ended lists processes that ended by themselves, and slowStops those that had to be
	// killed after a planned stop.
	ended, slowStops []string
	// unexplained lists failed requests without a line in their VM's log.
	unexplained []string
	// races lists VMs whose log has reports of the race detector.
	races []string
	// leaks says what VMs hold at the end that they didn't hold at first.
	leaks []string
	// before and after are the parts of requests served before the faults and after them.
	before, after float64
}

// finding is a promise that was broken, and by what.
type finding struct{ check, detail string }

// untimed are the checks whose findings no slow machine can bring about.
var untimed = map[string]bool{
	"wrong answer": true, "not run, it said": true, "ran twice": true, "too many servers": true, "nobody asked": true,
	"request changed": true, "account wrong": true, "data race": true, "failure without a line": true, "process ended by itself": true,
}

// The margins of checks. A request passes two hops on loopback, on a machine that does other
// things too.
const (
	// slip is how much later than a bound something may be seen.
	slip = 250 * time.Millisecond
	// promptly is how much later than its time limit a request must have its answer.
	promptly = 500 * time.Millisecond
	// workedOn is how long a server may go on for a caller that left, and mostLeft the part
	// of these where it is longer.
	workedOn = 500 * time.Millisecond
	mostLeft = 0.25
	// recovered is the part of what was served before that must be served after.
	recovered = 0.8
)

// check returns what was broken.
func check(f *facts) []finding {
	ran := make(map[string][]standin.Arrival)
	for _, a := range f.arrivals {
		if a.Ran {
			ran[a.ID] = append(ran[a.ID], a)
		}
	}
	sent := make(map[string]request, len(f.requests))
	var found []finding
	for _, r := range f.requests {
		sent[r.id] = r
		found = append(found, f.checkAnswer(r, ran[r.id])...)
	}
	found = append(found, f.checkArrivals(sent)...)
	found = append(found, f.checkRepeats()...)
	found = append(found, f.checkLeaving(sent)...)
	found = append(found, f.checkPauses(sent)...)
	found = append(found, f.checkSaidLeaving(sent)...)
	found = append(found, f.checkVersions()...)
	for _, rate := range f.rates {
		found = append(found, f.checkRate(rate, sent)...)
	}
	found = append(found, f.checkLeft(ran)...)
	for check, list := range map[string][]string{
		"process ended by itself": f.ended, "stop past its grace": f.slowStops, "failure without a line": f.unexplained, "leak": f.leaks,
		"data race": f.races,
	} {
		for _, detail := range list {
			found = append(found, finding{check, detail})
		}
	}
	if f.after < recovered*f.before {
		found = append(found, finding{"not recovered", fmt.Sprintf("%.2f served before, %.2f after", f.before, f.after)})
	}
	slices.SortStableFunc(found, func(a, b finding) int { return cmp.Compare(a.check, b.check) })
	return found
}

// checkAnswer holds an answer against the promises, and against what servers saw.
func (f *facts) checkAnswer(r request, ran []standin.Arrival) []finding {
	var found []finding
	say := func(check, format string, args ...any) {
		found = append(found, finding{check, r.id + " " + r.route + " by " + r.vm + ": " + fmt.Sprintf(format, args...)})
	}
	if r.wrong != "" {
		say("wrong answer", "%s", r.wrong)
	}
	if standin.Promised(r.status) && len(ran) > 0 {
		say("not run, it said", "status %d, and %s ran it", r.status, ran[0].Server)
	}
	if r.execution == "not_run" && len(ran) > 0 {
		say("not run, it said", "execution %s, and %s ran it", r.execution, ran[0].Server)
	}
	if r.route == standin.OnceRoute && len(ran) > 1 {
		say("ran twice", "by %s and %s", ran[0].Server, ran[1].Server)
	}
	if len(ran) > 3 {
		say("too many servers", "%d ran it", len(ran))
	}
	calm := f.vms[r.vm].quiet(r.sent, r.ended, f.bounds.Contact)
	if late := r.ended.Sub(r.sent) - standin.Timeout; calm && late > promptly {
		say("answer past its time", "%s late", late.Round(time.Millisecond))
	}
	if r.err != "" && r.left.IsZero() && calm && f.lostByPlan(r, ran) {
		say("lost by planned work", "%s", r.err)
	}
	return found
}

// lostByPlan tells whether a request that ended without a whole answer did so beside
// planned work only: of its VM, its servers or the operator.
func (f *facts) lostByPlan(r request, ran []standin.Arrival) bool {
	if r.status != 0 && r.status != 200 {
		return false // it was told
	}
	if !f.store.quiet(r.sent, r.ended, f.bounds.Contact) {
		return false
	}
	for _, disturbed := range f.servers {
		if !disturbed.quiet(r.sent, r.ended, f.bounds.Contact) {
			return false
		}
	}
	// A request that crossed the close of its connection reached no server.
	return len(ran) > 0
}

// checkArrivals holds what servers got against what callers sent.
func (f *facts) checkArrivals(sent map[string]request) []finding {
	var found []finding
	for _, a := range f.arrivals {
		r, ok := sent[a.ID]
		switch {
		case !ok:
			found = append(found, finding{"nobody asked", a.ID + " at " + a.Server})
		case a.Body != bodyOf(a.ID), a.Path != pathOf(r.route, a.ID):
			found = append(found, finding{"request changed", fmt.Sprintf("%s at %s: %s %q", a.ID, a.Server, a.Path, a.Body)})
		case a.Account != standin.Account || a.KeyPassed:
			found = append(found, finding{"account wrong", fmt.Sprintf("%s at %s: %q, key passed on: %t", a.ID, a.Server, a.Account, a.KeyPassed)})
		}
	}
	return found
}

// checkRepeats holds the repeats in each window against the bound.
func (f *facts) checkRepeats() []finding {
	repeats := make(map[string][]time.Time)
	seen := make(map[string]bool)
	arrivals := slices.Clone(f.arrivals)
	slices.SortStableFunc(arrivals, func(a, b standin.Arrival) int { return a.At.Compare(b.At) })
	for _, a := range arrivals {
		if seen[a.ID] {
			repeats[a.Service] = append(repeats[a.Service], a.At)
		}
		seen[a.ID] = true
	}
	var found []finding
	for service, list := range repeats {
		for i, end := range list {
			begin := end.Add(-f.bounds.RepeatWindow)
			count := 0
			for _, at := range list[:i+1] {
				if at.After(begin) {
					count++
				}
			}
			requests := max(f.sentTo(service, begin, end), f.sentTo(service, begin.Add(-f.bounds.RepeatWindow), begin),
				f.sentTo(service, begin.Add(-f.bounds.RepeatWindow/2), end.Add(-f.bounds.RepeatWindow/2)))
			if bound := f.bounds.RepeatRatio*float64(requests) + f.bounds.RepeatSlack; float64(count) > bound {
				return append(found, finding{"too many repeats", fmt.Sprintf("%s: %d in a window, %.0f are allowed", service, count, bound)})
			}
		}
	}
	return found
}

func (f *facts) sentTo(service string, from, to time.Time) int {
	count := 0
	for _, r := range f.requests {
		if serviceOf(r.route) == service && r.sent.After(from) && !r.sent.After(to) {
			count++
		}
	}
	return count
}

func serviceOf(route string) string {
	if route == standin.StreamRoute {
		return standin.ModelService
	}
	return standin.PlainService
}

// checkLeaving looks for requests at servers that were known to leave.
func (f *facts) checkLeaving(sent map[string]request) []finding {
	var found []finding
	for _, gone := range f.leavings {
		for _, a := range f.arrivals {
			r := sent[a.ID]
			late := a.At.Sub(gone.at) - f.bounds.DrainWithin
			if a.Server != gone.server || late <= slip || !f.store.quiet(gone.at, a.At, f.bounds.Contact) ||
				!f.vms[r.vm].quiet(gone.at, a.At, f.bounds.Contact) || !f.servers[a.Server].quiet(gone.at, a.At, f.bounds.Contact) {
				continue
			}
			found = append(found, finding{"leaving server", fmt.Sprintf("%s by %s at %s, %s too late", a.ID, r.vm, a.Server, late.Round(time.Millisecond))})
		}
	}
	return found
}

// checkVersions holds the answers to probes against the versions that may be in force.
func (f *facts) checkVersions() []finding {
	var found []finding
	type process struct {
		vm   string
		boot int
	}
	seen := make(map[process]request) // of the newest version that the process has served
	for _, r := range f.requests {
		if r.version == 0 || r.ended.IsZero() {
			continue
		}
		p := process{r.vm, r.boot}
		if in, ok := f.inForce(r); ok && r.status == 404 && in == r.version {
			found = append(found, finding{"configuration late", fmt.Sprintf("%s at %s: version %d refused", r.id, r.vm, r.version)})
		} else if ok && r.status == 200 && r.version < in {
			found = append(found, finding{"configuration late", fmt.Sprintf("%s at %s: version %d served, %d is in force", r.id, r.vm, r.version, in)})
		}
		if newest, ok := seen[p]; ok && r.status == 200 && r.version < newest.version && r.sent.Sub(newest.ended) > f.slack(r) {
			found = append(found, finding{"configuration went back", fmt.Sprintf("%s at %s: version %d after %d", r.id, r.vm, r.version, newest.version)})
		}
		if r.status == 200 && r.version > seen[p].version {
			seen[p] = r
		}
	}
	return found
}

// slack is how long after a version was seen an older one may still be: longer at a VM that
// is disturbed.
func (f *facts) slack(r request) time.Duration {
	if f.vms[r.vm].quiet(r.sent, r.ended, f.bounds.Contact) {
		return slip
	}
	return 8 * slip
}

// inForce is the version that must be in force for a request. False when more than one may
// be, or its VM isn't held to it.
func (f *facts) inForce(r request) (int, bool) {
	if !f.vms[r.vm].quiet(r.sent, r.ended, f.bounds.Contact) || !f.stops[r.vm].quiet(r.sent, r.ended, f.bounds.Contact) ||
		!f.store.quiet(r.sent, r.ended, f.bounds.Contact+f.bounds.ApplyWithin) {
		return 0, false
	}
	version := 0
	for _, v := range f.versions {
		switch {
		case v.sent.After(r.ended):
			return version, version != 0
		case r.sent.Sub(v.stored) > f.bounds.ApplyWithin+slip:
			version = v.version
		default:
			return 0, false
		}
	}
	return version, version != 0
}

// checkLeft looks for work that goes on for callers that left.
func (f *facts) checkLeft(ran map[string][]standin.Arrival) []finding {
	all, long := 0, 0
	for _, r := range f.requests {
		if r.left.IsZero() || !f.vms[r.vm].quiet(r.sent, r.left, f.bounds.Contact) || !f.stops[r.vm].quiet(r.sent, r.left, f.bounds.Contact) {
			continue
		}
		for _, a := range ran[r.id] {
			if !f.servers[a.Server].quiet(r.sent, r.left.Add(workedOn), f.bounds.Contact) {
				continue
			}
			all++
			if a.Ended.IsZero() || a.Ended.Sub(r.left) > workedOn {
				long++
			}
		}
	}
	const few = 3
	if long > few && float64(long) > mostLeft*float64(all) {
		return []finding{{"work for callers that left", fmt.Sprintf("%d of %d", long, all)}}
	}
	return nil
}
