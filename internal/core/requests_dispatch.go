package core

import (
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/fleet"
	"oleandershunt.example/oleandershunt/internal/core/poison"
	"oleandershunt.example/oleandershunt/internal/core/request"
	"oleandershunt.example/oleandershunt/internal/core/route"
)

const (
	// maxCrashes limits the servers that one body may have crashed as far as this
	// VM knows. The request then ends even without proof that it crashes servers.
	maxCrashes = 3
	// crashesNeedingProof is the number of possible crashes from which a request
	// waits for proof.
	crashesNeedingProof = 2
	// pathTimeout is how long a request that was dispatched before waits for a
	// path to become available.
	pathTimeout = 3 * time.Second
	// pathRetryInterval is how often it looks for a path.
	pathRetryInterval = 200 * time.Millisecond
)

// requirements is what a request requires of its path.
type requirements struct {
	model   string
	version string
	layers  int
	service string
}

// dispatch starts an attempt if the request may still run, and otherwise refuses
// it or makes it wait.
func (m *Machine) dispatch(now Time, r *request.Request) {
	switch {
	case now >= r.Deadline:
		m.endRefused(now, r, request.ReasonDeadline, 0)
		return
	case r.Failures() >= m.options.MaxAttempts:
		m.endRefused(now, r, request.ReasonAttempts, retryAfterAttempts)
		return
	case !r.Idempotent && now >= r.ValidUntil:
		// If this VM was paused since the grant, a new owner of the shard may have
		// granted the key to another request.
		m.endRefused(now, r, request.ReasonClaimExpired, retryAfterClaim)
		return
	}
	want, ok := m.requirements(r)
	if !ok {
		m.endRefused(now, r, request.ReasonUnknownPipeline, 0)
		return
	}
	if !m.checkSuspicion(now, r) {
		return
	}
	path, err := m.choosePath(now, r, want)
	if err != nil {
		m.noPath(now, r, err)
		return
	}
	m.send(now, r, want, path)
}

func (m *Machine) send(now Time, r *request.Request, want requirements, path route.Path) {
	if r.Attempt == 0 {
		m.lifecycle.retryBudget.RecordFirstAttempt()
	}
	r.Transition(request.Dispatched)
	r.Attempt++
	r.Path = path
	r.SentAt = now
	r.PathWaitUntil = 0
	m.beginIsolation(r)
	m.note(now, r, Note{Step: StepDispatched, Servers: serverNames(path), Until: r.Deadline, Text: dispatchText(r)})
	m.emit(Dispatch{
		Request:   r.ID,
		Attempt:   r.Attempt,
		Path:      path,
		Model:     want.model,
		Version:   want.version,
		Layers:    want.layers,
		FromToken: r.Tokens,
	})
	r.Version = want.version
}

// requirements looks up what a request requires, or returns false if its pipeline
// or route does not exist. Once tokens were delivered the model version is fixed,
// since one answer must come from one version.
func (m *Machine) requirements(r *request.Request) (requirements, bool) {
	if r.Route != "" {
		spec, ok := m.config.Routes[r.Route]
		return requirements{service: spec.Service}, ok
	}
	pipeline, ok := m.config.Pipelines[r.Pipeline]
	if !ok {
		return requirements{}, false
	}
	model, ok := m.config.Models[pipeline.Model]
	want := requirements{model: pipeline.Model, version: m.servingVersion(pipeline.Model, model), layers: model.Layers}
	if r.Tokens > 0 {
		want.version = r.Version
	}
	return want, ok
}

func (m *Machine) choosePath(now Time, r *request.Request, want requirements) (route.Path, error) {
	r.Isolated = r.ConfirmIncomplete || m.isCrashSuspect(now, r) || m.lifecycle.poison.Level(now, bodyOf(r)) >= poison.Isolate
	query := m.routeRequest(now, r, want)
	if r.Isolated {
		query.Faulty = slices.Concat(r.Faulty, slices.Sorted(maps.Keys(m.lifecycle.isolated)))
	}
	if len(r.Path) == 0 || want.service != "" {
		return m.router.Choose(query)
	}
	return m.router.Reroute(query, r.Path, r.Avoid)
}

// routeRequest returns the router's description of what a request requires.
func (m *Machine) routeRequest(now Time, r *request.Request, want requirements) route.Request {
	return route.Request{
		ID:              string(r.ID),
		Now:             now,
		Model:           want.model,
		Layers:          want.layers,
		Version:         want.version,
		Service:         want.service,
		Avoid:           r.Avoid,
		Faulty:          r.Faulty,
		Prefixes:        r.Prefixes,
		Priority:        r.Priority,
		Deadline:        r.Deadline,
		RemainingTokens: max(r.MaxTokens-r.Tokens, 0),
		DeliveredTokens: r.Tokens,
	}
}

// noPath handles a request for which there is no path. A request that was not
// dispatched yet is refused. One that was dispatched before first waits, since its
// caller has part of the answer and a lost server may come back; so does one that
// must run isolated.
func (m *Machine) noPath(now Time, r *request.Request, err error) {
	if r.PathWaitUntil == 0 {
		r.PathWaitUntil = now + pathTimeout
	}
	if r.Isolated && len(m.lifecycle.isolated) > 0 {
		r.PathWaitUntil = r.Deadline
	}
	waits := r.Attempt > 0 || r.Isolated
	if !waits || now >= r.PathWaitUntil {
		m.endRefused(now, r, request.ReasonNoPath, retryAfterNoPath)
		return
	}
	// A server that failed once is better than none if it recovers, so Avoid is
	// cleared. Path must be cleared with it, or its lost stages would be taken for
	// live ones.
	r.Avoid, r.Path = nil, nil
	until := min(now+pathRetryInterval, r.Deadline)
	r.Transition(request.Resuming)
	m.waitUntil(r, until)
	m.note(now, r, Note{Step: StepWaiting, Until: r.PathWaitUntil, Text: pathText(err)})
}

func pathText(err error) string {
	var noPath *route.NoPathError
	if errors.As(err, &noPath) {
		return noPath.Error()
	}
	return err.Error()
}

func (m *Machine) attemptEnded(now Time, e AttemptEnded) []Action {
	r, ok := m.requests[e.Request]
	if !ok || e.Attempt != r.Attempt || r.State != request.Dispatched {
		// A late report on an attempt that is no longer current. Acting on it
		// would start a second attempt beside the current one.
		m.noteLateReport(now, e.Request, e.Attempt, "end of an attempt: "+string(e.Outcome))
		return m.finishStep(now)
	}
	m.recordOutcome(now, r, e)
	switch {
	case e.Outcome == request.Completed:
		m.complete(now, r)
	case now >= r.Deadline:
		m.endRefused(now, r, request.ReasonDeadline, 0)
	case !r.MayRetry():
		m.endRefused(now, r, request.ReasonNotRepeatable, 0)
	case e.Outcome == request.Moved:
		// Nothing failed, so the retry budget is not charged.
		m.resume(now, r)
	default:
		m.retry(now, r)
	}
	return m.finishStep(now)
}

// recordOutcome records what an attempt proved about the request, its path, the
// health of its server and the pool's load.
func (m *Machine) recordOutcome(now Time, r *request.Request, e AttemptEnded) {
	progress := e.Tokens - r.Tokens
	suspect := r.RecordOutcome(e.Outcome, e.Server, e.Tokens)
	r.AvoidServers(e.Suspects)
	m.endIsolation(r)
	m.router.Release(string(r.ID))
	if e.Outcome == request.Completed {
		return
	}
	note := Note{Step: StepLost, Outcome: e.Outcome, Execution: r.Execution}
	if e.Outcome == request.Moved {
		note.Step = StepMoved
	}
	if e.Server != "" {
		note.Servers = []string{e.Server}
	}
	m.note(now, r, note)
	if suspect {
		m.reportLoss(now, r, e.Server, progress)
	}
	if e.Outcome == request.ProvenNotRun && m.isLive(e.Server) {
		m.lifecycle.admission.ServerRefused(r.Pool)
	}
}

// isLive reports whether a server is known and in state fleet.Live. A refusal by
// any other server is no evidence of its load.
func (m *Machine) isLive(server string) bool {
	status, ok := m.fleet.view.Status(server)
	return ok && status.State == fleet.Live
}

func (m *Machine) complete(now Time, r *request.Request) {
	r.Execution = request.Ran
	m.lifecycle.poison.ClearSuspicion(bodyOf(r))
	m.note(now, r, Note{Step: StepCompleted, Servers: serverNames(r.Path), Execution: request.Ran})
	m.finish(now, r, true)
}

// retry decides when the next attempt starts, or refuses the request if it may
// not be retried.
func (m *Machine) retry(now Time, r *request.Request) {
	if r.Failures() >= m.options.MaxAttempts {
		m.endRefused(now, r, request.ReasonAttempts, retryAfterAttempts)
		return
	}
	wait, ok := m.lifecycle.retryBudget.Spend(now, len(m.requests))
	if !ok {
		m.endRefused(now, r, request.ReasonRetryBudget, max(wait, time.Second))
		return
	}
	wait = max(wait, r.Backoff())
	switch {
	case m.needsProof(now, r):
		m.awaitProof(now, r, min(now+max(wait, proofTimeout), r.Deadline))
	case wait == 0:
		m.resume(now, r)
	default:
		r.Transition(request.Resuming)
		until := min(now+wait, r.Deadline)
		m.waitUntil(r, until)
		m.note(now, r, Note{Step: StepWaiting, Until: until, Text: "too many attempts failed to go on at once"})
	}
}

// noteLateReport emits a Note on a report about something that is no longer current.
func (m *Machine) noteLateReport(now Time, id request.ID, attempt int, text string) {
	m.emit(Note{Request: id, At: now, Step: StepLateReport, Attempt: attempt, Text: text})
}

// callerDisconnected cancels a request. If it was dispatched it may have run.
func (m *Machine) callerDisconnected(now Time, e CallerDisconnected) []Action {
	r, ok := m.requests[e.Request]
	if !ok {
		m.dropPeek(now, e.Request)
		return m.finishStep(now)
	}
	if r.State == request.Dispatched && r.Execution == request.NotRun {
		r.Execution = request.MayHaveRun
	}
	m.note(now, r, Note{Step: StepCallerDisconnected, Execution: r.Execution})
	m.finish(now, r, false)
	return m.finishStep(now)
}

// dispatchText describes the restrictions on a dispatch. It is empty for an
// ordinary one.
func dispatchText(r *request.Request) string {
	var parts []string
	if r.Tokens > 0 {
		parts = append(parts, "goes on after the tokens delivered")
	}
	if len(r.Avoid) > 0 {
		parts = append(parts, "avoids "+strings.Join(r.Avoid, ", "))
	}
	if len(r.Faulty) > 0 {
		parts = append(parts, "never uses "+strings.Join(r.Faulty, ", "))
	}
	if r.Isolated {
		parts = append(parts, "shares no server with other suspects")
	}
	return strings.Join(parts, "; ")
}

func serverNames(path route.Path) []string {
	names := make([]string, 0, len(path))
	for _, stage := range path {
		names = append(names, stage.Server)
	}
	return names
}
