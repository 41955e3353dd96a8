package trace

import (
	"fmt"
	"slices"
	"time"

	"oleandershunt.example/oleandershunt/internal/core"
	"oleandershunt.example/oleandershunt/internal/core/request"
	"oleandershunt.example/oleandershunt/internal/engine"
)

// before notes what an event says before the core has taken it.
func (r *Run) before(at point, vm string, event core.Event) {
	switch e := event.(type) {
	case core.RequestArrived:
		run := &requestRun{key: requestKey{vm, e.Request}, arrived: e, last: at}
		r.requests[run.key] = run
		r.all = append(r.all, run)
	case core.AttemptEnded:
		r.attemptEnded(at, vm, e)
	case core.CallerDisconnected:
		if run := r.requests[requestKey{vm, e.Request}]; run != nil && run.answer == "" {
			run.answer, run.last = AnswerGone, at
		}
	case core.ServerObserved:
		if e.Leaving {
			r.leaving(at, e.Server)
		}
	case core.PlatformListed:
		for _, listed := range e.Servers {
			if listed.Leaving {
				r.leaving(at, listed.Name)
			}
		}
	}
}

func (r *Run) attemptEnded(at point, vm string, e core.AttemptEnded) {
	run := r.requests[requestKey{vm, e.Request}]
	if run == nil || e.Attempt < 1 || e.Attempt > len(run.dispatches) {
		r.unasked(at, fmt.Sprintf("end of request %s, attempt %d", e.Request, e.Attempt))
		return
	}
	d := run.dispatches[e.Attempt-1]
	if d.ended {
		return
	}
	d.ended, d.outcome, run.last = true, e.Outcome, at
	if e.Outcome == request.Completed && e.Attempt == len(run.dispatches) && run.answer == "" {
		run.answer = AnswerWhole
	}
}

// after notes what the core decided.
func (r *Run) after(at point, vm string, event core.Event, actions []core.Action) {
	if e, ok := event.(core.ConfigInForce); ok {
		r.release(at, vm, e)
	}
	for _, action := range actions {
		switch a := action.(type) {
		case core.Dispatch:
			r.dispatch(at, vm, a)
		case core.Refuse:
			if run := r.requests[requestKey{vm, a.Request}]; run != nil {
				run.answer, run.refusal, run.last = AnswerRefused, &a, at
			}
		}
	}
}

func (r *Run) dispatch(at point, vm string, a core.Dispatch) {
	run := r.requests[requestKey{vm, a.Request}]
	if run == nil {
		return
	}
	d := &dispatch{point: at, expect: engine.ExpectationOf(a)}
	for _, stage := range a.Path {
		d.servers = append(d.servers, stage.Server)
		server := r.server(stage.Server)
		server.dispatch = &at
		if server.leaving != nil && at.at > server.leaving.at+leavingGrace {
			server.late = &at
		}
	}
	run.dispatches = append(run.dispatches, d)
	run.last = at
}

// release notes the release that is in force after an event, when it changed.
func (r *Run) release(at point, vm string, e core.ConfigInForce) {
	p := r.vms[vm]
	now := p.machine.Release()
	if now == 0 {
		return
	}
	if n := len(p.releases); n > 0 && p.releases[n-1].Release == now {
		return
	}
	p.releases = append(p.releases, ReleaseAt{At: at.at, Release: now})
	p.lastRelease = at
	if now != e.Set.Release {
		return
	}
	for _, spec := range e.Set.Servers() {
		name := spec.Name
		if spec.Leaving {
			r.leaving(at, name)
			r.servers[name].byRecord = true
		} else if server := r.servers[name]; server != nil && server.byRecord {
			server.leaving, server.byRecord = nil, false
		}
	}
}

// leaving notes the first word that a server leaves.
func (r *Run) leaving(at point, name string) {
	if server := r.server(name); server.leaving == nil {
		server.leaving = &at
	}
}

func (r *Run) server(name string) *serverRun {
	server, ok := r.servers[name]
	if !ok {
		server = &serverRun{}
		r.servers[name] = server
	}
	return server
}

// executionsBefore is executions of the dispatches before a point of the trace.
func (run *requestRun) executionsBefore(at point) int {
	n := 0
	for _, d := range run.dispatches {
		if d.line < at.line && (!d.ended || d.outcome != request.ProvenNotRun) {
			n++
		}
	}
	return n
}

// executions counts the dispatches that are not proven to have run nothing. A
// dispatch whose end was never seen counts: it may have run.
func (run *requestRun) executions() int {
	n := 0
	for _, d := range run.dispatches {
		if !d.ended || d.outcome != request.ProvenNotRun {
			n++
		}
	}
	return n
}

// outcome states what came of the request, in full.
func (run *requestRun) outcome() RequestOutcome {
	found := RequestOutcome{
		VM:          run.key.vm,
		Request:     run.key.id,
		Executions:  run.executions(),
		Answer:      run.answer,
		Tokens:      run.tokens,
		Dropped:     &run.dropped,
		BadReceipts: &run.bad,
	}
	if run.refusal != nil {
		found.Refusal = &Refusal{Reason: run.refusal.Reason, Execution: run.refusal.Execution}
	}
	for _, d := range run.dispatches {
		found.Servers = append(found.Servers, slices.Clone(d.servers))
	}
	return found
}

// notSeen is the time of something that did not happen.
const notSeen time.Duration = -1

func (server *serverRun) outcome(name string) ServerOutcome {
	found := ServerOutcome{Server: name, LastDispatchAt: notSeen}
	if server.leaving != nil {
		found.LeavingAt = &server.leaving.at
	}
	if server.dispatch != nil {
		found.LastDispatchAt = server.dispatch.at
	}
	return found
}

// Requests states what came of every request of the trace, in order of arrival.
func (r *Run) Requests() []RequestOutcome {
	var found []RequestOutcome
	for _, run := range r.all {
		found = append(found, run.outcome())
	}
	return found
}
