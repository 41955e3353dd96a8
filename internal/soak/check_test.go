package soak

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/platform/standin"
)

// at is a moment of a test's day, in seconds.
func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// ran is an arrival that a server ran.
func ran(id, server, route string, from, to float64) standin.Arrival {
	return standin.Arrival{
		ID: id, Server: server, Service: serviceOf(route), Account: standin.Account, Body: bodyOf(id), Path: pathOf(route, id),
		At: at(from), Ran: true, Ended: at(to),
	}
}

// asked is a request with a whole answer.
func asked(id, route string, from, to float64) request {
	return request{id: id, route: route, vm: "vm-1", boot: 1, sent: at(from), ended: at(to), status: 200, whole: true}
}

// sendMany has a VM send so many requests to a server within a time.
func sendMany(f *facts, vm string, count int, from, to float64) {
	for i := range count {
		when := from + (to-from)*float64(i)/float64(count)
		id := fmt.Sprint(vm, "-", i)
		r := asked(id, standin.OnceRoute, when, when+0.01)
		r.vm = vm
		f.requests, f.arrivals = append(f.requests, r), append(f.arrivals, ran(id, "s1", standin.OnceRoute, when, when+0.01))
	}
}

// refused has a server refuse a VM's request and ask for a pause.
func refused(f *facts, vm string, when float64, pause time.Duration) {
	r, a := asked("refused-"+vm, standin.OnceRoute, when, when+0.01), ran("refused-"+vm, "s1", standin.OnceRoute, when, when)
	r.vm, r.status, a.Ran, a.Pause = vm, 503, false, pause
	f.requests, f.arrivals = append(f.requests, r), append(f.arrivals, a)
}

// saidLeaving has a server say in an answer to a VM that it leaves.
func saidLeaving(f *facts, vm string, when float64) {
	r, a := asked("said-"+vm, standin.OnceRoute, when, when+0.01), ran("said-"+vm, "s1", standin.OnceRoute, when, when+0.01)
	r.vm, a.Leaving = vm, true
	f.requests, f.arrivals = append(f.requests, r), append(f.arrivals, a)
}

func nothing() *facts {
	return &facts{bounds: bounds, vms: map[string]*spans{}, servers: map[string]*spans{}, stops: map[string]*spans{}}
}

// checks are the names of what was found.
func checks(f *facts) []string {
	var names []string
	for _, found := range check(f) {
		names = append(names, found.check)
	}
	return names
}

// Each check must fail where its promise is broken, and only there: what a disturbance
// excuses is not a finding.
func TestChecks(t *testing.T) {
	for name, c := range map[string]struct {
		set   func(f *facts)
		found []string
	}{
		"nothing wrong": {set: func(f *facts) {
			f.requests = []request{asked("r1", standin.OnceRoute, 1, 1.1)}
			f.arrivals = []standin.Arrival{ran("r1", "s1", standin.OnceRoute, 1, 1.1)}
		}},
		"an answer of another request": {set: func(f *facts) {
			r := asked("r1", standin.FreeRoute, 1, 1.1)
			r.wrong = "answer to r2"
			f.requests = []request{r}
		}, found: []string{"wrong answer"}},
		"a promise of not having run that is false": {set: func(f *facts) {
			r := asked("r1", standin.OnceRoute, 1, 1.1)
			r.status, r.execution = 503, "not_run"
			f.requests = []request{r}
			f.arrivals = []standin.Arrival{ran("r1", "s1", standin.OnceRoute, 1, 1.1)}
		}, found: []string{"not run, it said", "not run, it said"}},
		"an unknown end that had run": {set: func(f *facts) {
			r := asked("r1", standin.OnceRoute, 1, 1.1)
			r.status, r.execution = 502, "may_have_run"
			f.requests = []request{r}
			f.arrivals = []standin.Arrival{ran("r1", "s1", standin.OnceRoute, 1, 1.1)}
		}},
		"a request that may run once runs twice": {set: func(f *facts) {
			f.requests = []request{asked("r1", standin.OnceRoute, 1, 1.1)}
			f.arrivals = []standin.Arrival{ran("r1", "s1", standin.OnceRoute, 1, 1.1), ran("r1", "s2", standin.OnceRoute, 1.1, 1.2)}
		}, found: []string{"ran twice"}},
		"a request nobody sent": {set: func(f *facts) {
			f.arrivals = []standin.Arrival{ran("r1", "s1", standin.FreeRoute, 1, 1.1)}
		}, found: []string{"nobody asked"}},
		"a changed body": {set: func(f *facts) {
			a := ran("r1", "s1", standin.FreeRoute, 1, 1.1)
			a.Body = "{}"
			f.requests, f.arrivals = []request{asked("r1", standin.FreeRoute, 1, 1.1)}, []standin.Arrival{a}
		}, found: []string{"request changed"}},
		"the key passed on": {set: func(f *facts) {
			a := ran("r1", "s1", standin.FreeRoute, 1, 1.1)
			a.KeyPassed = true
			f.requests, f.arrivals = []request{asked("r1", standin.FreeRoute, 1, 1.1)}, []standin.Arrival{a}
		}, found: []string{"account wrong"}},
		"an answer long after its time": {set: func(f *facts) {
			f.requests = []request{asked("r1", standin.FreeRoute, 1, 8)}
		}, found: []string{"answer past its time"}},
		"the same by a frozen VM": {set: func(f *facts) {
			f.requests = []request{asked("r1", standin.FreeRoute, 1, 8)}
			f.vms["vm-1"] = &spans{{at(2), at(4)}}
		}},
		"a cut beside a planned stop": {set: func(f *facts) {
			r := asked("r1", standin.StreamRoute, 1, 2)
			r.err, r.whole = "unexpected EOF", false
			f.requests, f.arrivals = []request{r}, []standin.Arrival{ran("r1", "s1", standin.StreamRoute, 1, 2)}
		}, found: []string{"lost by planned work"}},
		"a cut beside a server's crash": {set: func(f *facts) {
			r := asked("r1", standin.StreamRoute, 1, 2)
			r.err, r.whole = "unexpected EOF", false
			f.requests, f.arrivals = []request{r}, []standin.Arrival{ran("r1", "s1", standin.StreamRoute, 1, 2)}
			f.servers["s1"] = &spans{{at(1.5), at(1.6)}}
		}},
		"more repeats than the bound": {set: func(f *facts) {
			f.bounds.RepeatSlack = 1
			for _, id := range []string{"r1", "r2", "r3"} {
				f.requests = append(f.requests, asked(id, standin.FreeRoute, 1, 1.1))
				f.arrivals = append(f.arrivals, ran(id, "s1", standin.FreeRoute, 1, 1.1), ran(id, "s2", standin.FreeRoute, 1.1, 1.2))
			}
		}, found: []string{"too many repeats"}},
		"a request to a server that leaves": {set: func(f *facts) {
			f.leavings = []leaving{{"s1", at(1)}}
			f.requests, f.arrivals = []request{asked("r1", standin.FreeRoute, 4, 4.1)}, []standin.Arrival{ran("r1", "s1", standin.FreeRoute, 4, 4.1)}
		}, found: []string{"leaving server"}},
		"one in the time that VMs have to learn of it": {set: func(f *facts) {
			f.leavings = []leaving{{"s1", at(1)}}
			f.requests, f.arrivals = []request{asked("r1", standin.FreeRoute, 2, 2.1)}, []standin.Arrival{ran("r1", "s1", standin.FreeRoute, 2, 2.1)}
		}},
		"an old version after its time": {set: func(f *facts) {
			f.versions = []applied{{1, at(0), at(0)}, {2, at(1), at(1)}}
			r := asked("r1", standin.VersionRoute(1), 5, 5.1)
			r.version = 1
			f.requests = []request{r}
		}, found: []string{"configuration late"}},
		"a new version refused after its time": {set: func(f *facts) {
			f.versions = []applied{{1, at(0), at(0)}, {2, at(1), at(1)}}
			r := asked("r1", standin.VersionRoute(2), 5, 5.1)
			r.version, r.status, r.whole = 2, 404, false
			f.requests = []request{r}
		}, found: []string{"configuration late"}},
		"a process that goes back to an old version": {set: func(f *facts) {
			f.versions = []applied{{1, at(0), at(0)}, {2, at(1), at(1)}}
			newer, older := asked("r1", standin.VersionRoute(2), 1.5, 1.6), asked("r2", standin.VersionRoute(1), 2, 2.1)
			newer.version, older.version = 2, 1
			f.requests = []request{newer, older}
		}, found: []string{"configuration went back"}},
		"another process that doesn't know it yet": {set: func(f *facts) {
			f.versions = []applied{{1, at(0), at(0)}, {2, at(1), at(1)}}
			newer, older := asked("r1", standin.VersionRoute(2), 1.5, 1.6), asked("r2", standin.VersionRoute(1), 2, 2.1)
			newer.version, older.version, older.boot = 2, 1, 2
			f.requests = []request{newer, older}
		}},
		"work for callers that left": {set: func(f *facts) {
			for _, id := range []string{"r1", "r2", "r3", "r4"} {
				r := asked(id, standin.StreamRoute, 1, 1.1)
				r.left = at(1.1)
				f.requests, f.arrivals = append(f.requests, r), append(f.arrivals, ran(id, "s1", standin.StreamRoute, 1, 2))
			}
		}, found: []string{"work for callers that left"}},
		"what processes say of themselves": {set: func(f *facts) {
			f.ended, f.unexplained, f.leaks, f.slowStops = []string{"vm-1"}, []string{"r1"}, []string{"vm-2"}, []string{"vm-3"}
			f.races = []string{"vm-4"}
		}, found: []string{"data race", "failure without a line", "leak", "process ended by itself", "stop past its grace"}},
		"more than a server's rate from VMs that were told it": {set: func(f *facts) {
			f.rates = []rated{{server: "s1", perSecond: 2, from: at(0), to: at(10)}}
			sendMany(f, "vm-1", 40, 5, 8)
			f.arrivals = append(f.arrivals, ran("told", "s1", standin.OnceRoute, 1, 1.1))
			f.requests = append(f.requests, asked("told", standin.OnceRoute, 1, 1.1))
		}, found: []string{"server beyond its rate"}},
		"a server's rate, at VMs that are new, disturbed or early": {set: func(f *facts) {
			f.rates = []rated{{server: "s1", perSecond: 2, from: at(0), to: at(10)}}
			f.vms["vm-3"] = &spans{{from: at(5), to: at(5.1)}}
			sendMany(f, "vm-1", 40, 0.5, 2.9)
			sendMany(f, "vm-2", 40, 5, 5.7)
			sendMany(f, "vm-3", 40, 5.2, 7.9)
		}},
		"requests in a pause that their VM was asked for": {set: func(f *facts) {
			refused(f, "vm-1", 1, 2*time.Second)
			sendMany(f, "vm-1", 3, 2, 2.9)
		}, found: []string{"server in its pause"}},
		"requests just after a refusal, after its pause, of another VM, or of one that was killed": {set: func(f *facts) {
			for _, vm := range []string{"vm-1", "vm-2"} {
				refused(f, vm, 1, 2*time.Second)
			}
			f.vms["vm-2"] = &spans{{from: at(1.5), to: at(1.6)}}
			sendMany(f, "vm-1", 9, 1.1, 1.7)
			sendMany(f, "vm-2", 9, 2, 2.9)
			sendMany(f, "vm-3", 9, 3.1, 4)
		}},
		"a request to a server that had said that it leaves, with the store away": {set: func(f *facts) {
			f.store = spans{{from: at(0), to: at(9)}}
			saidLeaving(f, "vm-1", 1)
			sendMany(f, "vm-1", 1, 1.1+bounds.DrainWithin.Seconds()+1, 9)
		}, found: []string{"server that said that it leaves"}},
		"requests within the bound, of a VM that wasn't told, or of one that was stopped": {set: func(f *facts) {
			saidLeaving(f, "vm-1", 1)
			saidLeaving(f, "vm-2", 1)
			f.stops["vm-2"] = &spans{{from: at(2), to: at(2.1)}}
			sendMany(f, "vm-1", 4, 1.1, 1+bounds.DrainWithin.Seconds())
			sendMany(f, "vm-2", 4, 8, 9)
			sendMany(f, "vm-3", 4, 8, 9)
		}},
		"fewer served after than before": {set: func(f *facts) {
			f.before, f.after = 1, 0.5
		}, found: []string{"not recovered"}},
	} {
		t.Run(name, func(t *testing.T) {
			f := nothing()
			c.set(f)
			NewWithT(t).Expect(checks(f)).To(Equal(c.found))
		})
	}
}

func TestTheSameSeedGivesTheSamePlan(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Plan(7, 20*time.Second)).To(Equal(Plan(7, 20*time.Second)))
	g.Expect(Plan(7, 20*time.Second)).NotTo(Equal(Plan(8, 20*time.Second)))
	for _, fault := range Plan(9, time.Minute) {
		g.Expect(planned).To(ContainElement(fault.Kind), "each third seed has planned work only")
	}
	kinds := make(map[Kind]bool)
	for seed := range uint64(50) {
		for _, fault := range Plan(seed, 20*time.Second) {
			kinds[fault.Kind] = true
		}
	}
	g.Expect(kinds).To(HaveLen(len(planned) + len(sudden) + len(rare) + len(asking)))
}
