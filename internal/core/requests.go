package core

import (
	"slices"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/admit"
	"oleandershunt.example/oleandershunt/internal/core/poison"
	"oleandershunt.example/oleandershunt/internal/core/request"
)

// RequestOptions are the settings of request processing. A zero field takes its
// default.
type RequestOptions struct {
	Admission admit.Options         `json:"admission,omitzero"`
	Poison    poison.Options        `json:"poison,omitzero"`
	Retries   request.BudgetOptions `json:"retries,omitzero"`
}

// Retry-After values for refusals without a computed one.
const (
	// retryAfterNoConfiguration is about the time a VM takes to start.
	retryAfterNoConfiguration = 2 * time.Second
	// retryAfterNoPath is long enough for an engine to be ordered to load a lost
	// range of layers that it has available locally.
	retryAfterNoPath = 2 * time.Second
	// retryAfterAttempts is long enough for failed servers to be detected.
	retryAfterAttempts = time.Second
)

// lifecycleState is the state of request processing beside the requests themselves.
type lifecycleState struct {
	admission   *admit.Controller
	poison      *poison.Table
	retryBudget request.Budget
	keys        *request.Keys
	// running counts the requests that hold a slot, by body.
	running map[poison.Body]int
	// parked has, by body, the requests with a suspect body that wait for another
	// request with the same body to end, in order of arrival.
	parked map[poison.Body][]request.ID
	// isolated counts the isolated attempts in flight on each backend server.
	isolated map[string]int
	// awaitingProof are the requests that wait for proof that a server crashed.
	awaitingProof []request.ID
	// freedPools lists the pools in which a slot may have become free in this step.
	freedPools []string
	// releasedBodies lists the bodies whose parked requests may be able to run
	// after this step.
	releasedBodies []poison.Body
	// pendingPeeks are the refusals that wait for a ClaimPeeked, in order of timeout.
	pendingPeeks []pendingPeek
	// nextUsageAt is when the accounts' usage is next reported. 0 means that there
	// is none to report.
	nextUsageAt Time
	// actions collects the actions of this step.
	actions []Action
}

func newLifecycleState(options RequestOptions) lifecycleState {
	return lifecycleState{
		admission:   admit.New(options.Admission),
		poison:      poison.New(options.Poison),
		retryBudget: request.NewBudget(options.Retries),
		keys:        request.NewKeys(),
		running:     make(map[poison.Body]int),
		parked:      make(map[poison.Body][]request.ID),
		isolated:    make(map[string]int),
	}
}

func (m *Machine) emit(action Action) { m.lifecycle.actions = append(m.lifecycle.actions, action) }

// finishStep ends a step: it starts waiting requests on the slots freed in the
// step, schedules a Tick if one is needed, and returns the step's actions. It
// loops over lists rather than recursing, since each started request may end at
// once and free a slot again.
func (m *Machine) finishStep(now Time) []Action {
	for len(m.lifecycle.freedPools) > 0 || len(m.lifecycle.releasedBodies) > 0 {
		m.unpark(now)
		m.startQueued(now)
	}
	m.runMovePlans(now)
	if at, ok := m.nextTimer(); ok {
		m.lifecycle.actions = append(m.lifecycle.actions, m.scheduleTick(at)...)
	}
	out := m.lifecycle.actions
	m.lifecycle.actions = nil
	return out
}

func (m *Machine) nextTimer() (Time, bool) {
	at, found := m.earliestTimer()
	if due, ok := m.lifecycle.poison.NextDue(); ok && (!found || due < at) {
		at, found = due, true
	}
	if due, ok := m.nextMoveTime(); ok && (!found || due < at) {
		at, found = due, true
	}
	if due, ok := m.nextPeekTimeout(); ok && (!found || due < at) {
		at, found = due, true
	}
	if usage := m.lifecycle.nextUsageAt; usage != 0 && (!found || usage < at) {
		at, found = usage, true
	}
	return at, found
}

func (m *Machine) startQueued(now Time) {
	for len(m.lifecycle.freedPools) > 0 {
		pool := m.lifecycle.freedPools[0]
		m.lifecycle.freedPools = m.lifecycle.freedPools[1:]
		for _, id := range m.lifecycle.admission.StartQueued(now, pool) {
			m.start(now, m.requests[id])
		}
	}
}

func (m *Machine) markFreed(pool string) {
	if !slices.Contains(m.lifecycle.freedPools, pool) {
		m.lifecycle.freedPools = append(m.lifecycle.freedPools, pool)
	}
}

// finish removes a request that was completed or refused or whose caller
// disconnected, and releases its resources. learn says that its latency is a
// valid sample for the pool's concurrency limit.
func (m *Machine) finish(now Time, r *request.Request, learn bool) {
	m.endIsolation(r)
	m.moveEnded(r.ID)
	r.Transition(request.Ended)
	delete(m.requests, r.ID)
	m.router.Release(string(r.ID))
	if r.ClaimUnsettled {
		m.emit(ClaimSettled{Request: r.ID, Key: claimKey(r), Execution: r.Execution})
	}
	m.releaseSlot(now, r, learn)
}

// releaseSlot frees a request's slot, or removes the request from the queue if
// it has none.
func (m *Machine) releaseSlot(now Time, r *request.Request, learn bool) {
	if !r.HasSlot {
		m.lifecycle.admission.Remove(r.ID)
		m.removeParked(r)
		return
	}
	r.HasSlot = false
	m.lifecycle.admission.Done(now, r.ID, r.Tokens, learn)
	m.markFreed(r.Pool)
	body := bodyOf(r)
	if m.lifecycle.running[body]--; m.lifecycle.running[body] <= 0 {
		delete(m.lifecycle.running, body)
	}
	if len(m.lifecycle.parked[body]) > 0 {
		m.lifecycle.releasedBodies = append(m.lifecycle.releasedBodies, body)
	}
}

// endRefused finishes a request and refuses it with its own execution state.
func (m *Machine) endRefused(now Time, r *request.Request, reason request.Reason, retryAfter time.Duration) {
	m.endRefusedAs(now, r, reason, r.Execution, retryAfter)
}

// endRefusedAs is like endRefused with the given execution, which may be that of
// an earlier request with the same key or body.
func (m *Machine) endRefusedAs(now Time, r *request.Request, reason request.Reason, execution request.Execution, retryAfter time.Duration) {
	m.finish(now, r, false)
	m.refuse(now, r, reason, execution, retryAfter)
}

// refuse refuses a request. The refusal is deferred if an earlier request with the
// same key may have run and the key's owner has to be asked first.
func (m *Machine) refuse(now Time, r *request.Request, reason request.Reason, execution request.Execution, retryAfter time.Duration) {
	refusal := refusal{reason, execution, retryAfter}
	if m.deferRefusal(now, r, refusal) {
		return
	}
	m.sendRefusal(now, r, refusal)
}

func (m *Machine) sendRefusal(now Time, r *request.Request, refusal refusal) {
	m.note(now, r, Note{Step: StepRefused, Reason: refusal.reason, Execution: refusal.execution})
	m.emit(Refuse{Request: r.ID, Reason: refusal.reason, Execution: refusal.execution, RetryAfter: refusal.retryAfter})
}

// note emits a Note on a decision about a request.
func (m *Machine) note(now Time, r *request.Request, note Note) {
	note.Request = r.ID
	note.At = now
	note.Attempt = r.Attempt
	note.Tokens = r.Tokens
	m.emit(note)
}
