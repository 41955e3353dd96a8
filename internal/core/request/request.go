// Package request models one client request: its state machine, its attempts,
// the evidence from each of them, and what a refusal may state about whether the
// request ran.
package request

import (
	"slices"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/route"
)

// ID identifies a request on its VM and in every frame that belongs to it.
type ID string

// Execution is what is known about whether a refused request ran.
type Execution string

// The values of Execution, from weakest to strongest.
const (
	// NotRun: it is proven that no backend server started work on the request.
	NotRun Execution = "not_run"
	// MayHaveRun: the request was sent to a backend server and its outcome is
	// unknown.
	MayHaveRun Execution = "may_have_run"
	// Ran: a backend server is known to have run the request, in whole or in
	// part.
	Ran Execution = "ran"
)

// Outcome is how an attempt ended, as far as that is proven.
type Outcome string

// The outcomes of an attempt.
const (
	// Completed: the whole answer was delivered.
	Completed Outcome = "completed"
	// ProvenNotRun: the server refused the attempt before any work, or was never
	// reached.
	ProvenNotRun Outcome = "proven_not_run"
	// Lost: the connection failed after the first byte was sent; the attempt may
	// have run.
	Lost Outcome = "lost"
	// Interrupted: the attempt produced tokens and then failed.
	Interrupted Outcome = "broken"
	// BadReceipt: a token's receipts did not prove that each layer ran exactly
	// once, in order.
	BadReceipt Outcome = "bad_receipt"
	// Moved: the VM ended the attempt on purpose, between two tokens, because a
	// server of its path is leaving.
	Moved Outcome = "moved"
)

// Request is the state of one request from arrival to end.
type Request struct {
	ID       ID
	Account  string
	Pipeline string
	Route    string
	Key      string
	// KeyGiven is true if the caller supplied the key, and so may have sent the
	// request before.
	KeyGiven bool
	BodyHash uint64
	Priority int
	// PromptTokens, Prefixes and MaxTokens describe the work, for the choice of a
	// path.
	PromptTokens int
	Prefixes     []uint64
	MaxTokens    int
	Idempotent   bool
	Deadline     time.Duration

	State State
	// Pool names the admission pool of the request: one model or one plain
	// service.
	Pool string
	// HasSlot is true if the request holds a slot of its pool.
	HasSlot bool
	// ClaimUnsettled is true if a claim was requested and must be settled at the end.
	// ValidUntil is when the permission to dispatch that it granted expires.
	ClaimUnsettled bool
	ValidUntil     time.Duration
	// ClaimGranted is true if the claim was granted: until ValidUntil, no other
	// request with the key ran.
	ClaimGranted bool
	// Attempt is the number of the current attempt, from 1, and Path its servers.
	Attempt int
	Path    route.Path
	// Version is the model version of the answer, fixed by the first token.
	Version string
	// Tokens is the number of tokens delivered to the caller.
	Tokens int
	// Execution is the strongest evidence from all attempts so far.
	Execution Execution
	// Avoid lists the backend servers that failed this request, and Faulty those
	// that were proven to be at fault.
	Avoid, Faulty []string
	// FailuresWithoutProgress counts consecutive attempts that delivered no
	// token.
	FailuresWithoutProgress int
	// Moves counts the attempts that were ended on purpose to move the stream.
	Moves int
	// SuspectedCrashes counts the attempts that may have crashed a server. LastProgress is the
	// number of tokens that the last failed attempt delivered.
	SuspectedCrashes int
	LastProgress     int
	// TriedServers lists the servers on the paths of failed attempts. SentAt is
	// when the current attempt was dispatched.
	TriedServers []string
	SentAt       time.Duration
	// PathWaitUntil is when the wait for a path ends. 0 before the first wait.
	PathWaitUntil time.Duration
	// Isolated is true if the current attempt must not share a server with
	// another isolated attempt.
	Isolated bool
	// Confirming is true while the other VMs are asked what they know of the
	// body, until ConfirmBy at the latest. ConfirmedAttempt is the attempt, from 1, that
	// they were last asked about. ConfirmIncomplete is true if some of them did not answer.
	Confirming        bool
	ConfirmBy         time.Duration
	ConfirmedAttempt  int
	ConfirmIncomplete bool
	// ProofWaitAttempt is the last attempt, from 1, that was delayed to wait for proof of
	// a crash.
	ProofWaitAttempt int
	// WaitUntil is when the request's wait ends. 0 if it does not wait.
	WaitUntil time.Duration
}

// MayBeRepeat reports whether, as far as this VM knows, the caller may have sent
// this request before under the same key and that request may have run.
func (r *Request) MayBeRepeat(now time.Duration) bool {
	return r.KeyGiven && !r.Idempotent && (!r.ClaimGranted || now >= r.ValidUntil)
}

// Transition changes the state. It returns false, and changes nothing, if the
// transition is not allowed.
func (r *Request) Transition(next State) bool {
	if !r.State.CanTransitionTo(next) {
		return false
	}
	r.State = next
	r.WaitUntil = 0
	return true
}

// RecordOutcome updates the request with the outcome of an attempt. It returns whether
// the request may have crashed the server.
func (r *Request) RecordOutcome(outcome Outcome, server string, tokens int) bool {
	r.LastProgress = max(tokens-r.Tokens, 0)
	progress := r.LastProgress > 0
	r.Tokens = max(r.Tokens, tokens)
	r.updateExecution(outcome)
	if outcome == Moved {
		r.Moves++
		return false
	}
	r.FailuresWithoutProgress++
	if progress {
		r.FailuresWithoutProgress = 0
	}
	crashSuspected := r.mayHaveCrashed(outcome, server, progress)
	if crashSuspected {
		r.SuspectedCrashes++
	}
	r.recordFailedServers(outcome, server)
	return crashSuspected
}

func (r *Request) updateExecution(outcome Outcome) {
	switch {
	case outcome == Interrupted || outcome == BadReceipt || r.Tokens > 0:
		r.Execution = Ran
	case (outcome == Lost || outcome == Moved) && r.Execution == NotRun:
		r.Execution = MayHaveRun
	}
}

// Failures returns the number of attempts, without those that were ended on
// purpose.
func (r *Request) Failures() int { return r.Attempt - r.Moves }

// mayHaveCrashed reports whether the request may have crashed the server. A
// server that was on the path of an earlier failed attempt, and delivered no
// token since, was probably lost together with the server that failed then: when
// a rack fails, the loss of its servers on a path is detected one by one.
func (r *Request) mayHaveCrashed(outcome Outcome, server string, progress bool) bool {
	if server == "" || outcome != Lost && outcome != Interrupted {
		return false
	}
	return progress || !slices.Contains(r.TriedServers, server)
}

func (r *Request) recordFailedServers(outcome Outcome, server string) {
	for _, stage := range r.Path {
		if !slices.Contains(r.TriedServers, stage.Server) {
			r.TriedServers = append(r.TriedServers, stage.Server)
		}
	}
	switch {
	case server == "":
	case outcome == BadReceipt:
		r.Faulty = append(r.Faulty, server)
	case !slices.Contains(r.Avoid, server):
		r.Avoid = append(r.Avoid, server)
	}
}

// AvoidServers adds servers to Avoid of which one, not known which, was at fault.
// None of them counts as a suspected crash.
func (r *Request) AvoidServers(servers []string) {
	for _, server := range servers {
		if !slices.Contains(r.Avoid, server) {
			r.Avoid = append(r.Avoid, server)
		}
	}
}

// MayRetry reports whether another attempt keeps the guarantee that a
// non-idempotent request runs at most once: only an idempotent request, or one
// that provably did not run, is retried.
func (r *Request) MayRetry() bool {
	return r.Idempotent || r.Execution == NotRun
}
