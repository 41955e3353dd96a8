package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Report is the result of a run.
type Report struct {
	Seed     uint64
	Faults   []Fault
	Requests int
	// Served is the number of requests with a complete answer, and Arrivals the number of requests
	// that reached servers.
	Served, Arrivals int
	// Findings are the failed checks, and Untimed those of them that a slow machine can't cause.
	Findings, Untimed []string
}

// usages returns the resources that each VM holds while it is idle.
func (w *world) usages() []usage {
	w.callers.client.CloseIdleConnections()
	time.Sleep(settle)
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	list := make([]usage, len(w.vms))
	for i, v := range w.vms {
		held, err := v.usage(client)
		if err != nil && v.running() {
			w.fail(eris.Wrap(err, v.Name+": metrics"))
		}
		list[i] = held
	}
	return list
}

// report runs the checks. It must be called with the lock held.
func (w *world) report(plan []Fault, before, after float64, held, now []usage) (Report, error) {
	f := &w.facts
	f.requests, f.arrivals, f.versions, f.before, f.after = w.callers.completed(), w.log.Arrivals(), w.versions, before, after
	if !hasUploads(w.options.Seed) { // the collector gives memory back later
		f.leaks = leaks(w.vms, held, now)
	}
	if err := w.explain(f); err != nil {
		return Report{}, err
	}
	report := Report{Seed: w.options.Seed, Faults: plan, Requests: len(f.requests), Arrivals: len(f.arrivals)}
	for _, r := range f.requests {
		if r.complete {
			report.Served++
		}
	}
	for _, found := range check(f) {
		text := found.check + ": " + found.detail
		report.Findings = append(report.Findings, text)
		if untimed[found.check] {
			report.Untimed = append(report.Untimed, text)
		}
	}
	return report, nil
}

// explain looks for the log lines of failed requests. Those of a killed process may be lost.
func (w *world) explain(f *observations) error {
	for _, v := range w.vms {
		var failed []string
		for _, r := range f.requests {
			refusal := r.status >= http.StatusInternalServerError && r.execution != ""
			cut := r.status == http.StatusOK && r.err != "" && r.abandonedAt.IsZero()
			if r.vm == v.Name && r.version == 0 && (refusal || cut) && f.vms[v.Name].undisturbed(r.sent, r.ended, 0) {
				failed = append(failed, r.id)
			}
		}
		log, err := v.read(failed)
		if err != nil {
			return err
		}
		for _, id := range log.missing {
			f.unexplained = append(f.unexplained, v.Name+" "+id)
		}
		if log.races > 0 {
			f.races = append(f.races, fmt.Sprintf("%s: %d reports in %s", v.Name, log.races, v.log))
		}
	}
	return nil
}

// The growth of a VM's resources that is no leak: it may have taken over roles of another VM.
const (
	leakFactor    = 1.5
	leakAllowance = 40
)

// leaks compares the VMs' resources with the maximum that any VM held at first.
func leaks(vms []*vm, held, now []usage) []string {
	var most usage
	for _, u := range held {
		most.Descriptors, most.Goroutines = max(most.Descriptors, u.Descriptors), max(most.Goroutines, u.Goroutines)
		most.ResidentMB = max(most.ResidentMB, u.ResidentMB)
	}
	var found []string
	for i, u := range now {
		if u.Streams > 0 {
			found = append(found, fmt.Sprintf("%s: counts %d streams as running while it is idle", vms[i].Name, u.Streams))
		}
		if isLeak(u.Descriptors, most.Descriptors) || isLeak(u.Goroutines, most.Goroutines) || isLeak(u.ResidentMB, most.ResidentMB) {
			found = append(found, fmt.Sprintf("%s: %+v, at most %+v at first", vms[i].Name, u, most))
		}
	}
	return found
}

func isLeak(now, before int) bool { return float64(now) > leakFactor*float64(before)+leakAllowance }

// Text returns the report as one line, followed by a line for each finding.
func (r Report) Text() string {
	var b strings.Builder
	kinds := make(map[Kind]int)
	for _, fault := range r.Faults {
		kinds[fault.Kind]++
	}
	fmt.Fprintf(&b, "seed %d: %d faults of %d kinds, %d requests, %d served, %d arrivals, %d findings\n",
		r.Seed, len(r.Faults), len(kinds), r.Requests, r.Served, r.Arrivals, len(r.Findings))
	for _, finding := range r.Findings {
		fmt.Fprintf(&b, "  %s\n", finding)
	}
	return b.String()
}
