package request

// Reason is why a request was refused.
type Reason string

// The reasons for a refusal. docs/REFUSALS.md explains each to callers.
const (
	// ReasonNoConfiguration: the VM has no configuration in force yet.
	ReasonNoConfiguration Reason = "no_configuration"
	// ReasonUnknownPipeline: no pipeline or route of this name is configured.
	ReasonUnknownPipeline Reason = "unknown_pipeline"
	// ReasonNoPath: no available backend servers cover all layers, or run the
	// service.
	ReasonNoPath Reason = "no_path"
	// ReasonAttempts: the maximum number of attempts failed.
	ReasonAttempts Reason = "attempts_exhausted"
	// ReasonRetryBudget: the VM's retry budget is exhausted.
	ReasonRetryBudget Reason = "retry_budget"
	// ReasonNotRepeatable: an attempt failed without proof that it did not run,
	// and the request is not idempotent.
	ReasonNotRepeatable Reason = "not_repeatable"
	// ReasonDeadline: the deadline passed.
	ReasonDeadline Reason = "deadline_passed"
	// ReasonRateLimited: the account exceeds its RequestsPerSecond and burst.
	ReasonRateLimited Reason = "rate_limited"
	// ReasonOverloaded: the request could not start before its deadline, or the
	// account fills more than its share of a full queue.
	ReasonOverloaded Reason = "overloaded"
	// ReasonPoison: the body crashed the backend servers that ran it.
	ReasonPoison Reason = "poison"
	// ReasonKeyRunning: another request with the idempotency key is in progress.
	ReasonKeyRunning Reason = "key_running"
	// ReasonKeyRan: a request with the idempotency key ran to completion.
	ReasonKeyRan Reason = "key_ran"
	// ReasonKeyMayHaveRun: a request with the idempotency key was dispatched and
	// its outcome is unknown.
	ReasonKeyMayHaveRun Reason = "key_may_have_run"
	// ReasonBodyDiffers: the idempotency key was used with another body.
	ReasonBodyDiffers Reason = "body_differs"
	// ReasonClaimUndecided: no owner of the key's shard decided on the claim in
	// time.
	ReasonClaimUndecided Reason = "claim_undecided"
	// ReasonClaimExpired: the permission to dispatch expired before it was used.
	ReasonClaimExpired Reason = "claim_expired"
)

// allowedExecutions lists the values of Execution that a refusal may have, by
// reason.
var allowedExecutions = map[Reason][]Execution{
	ReasonNoConfiguration: {NotRun, MayHaveRun},
	ReasonUnknownPipeline: {NotRun, MayHaveRun, Ran},
	ReasonNoPath:          {NotRun, MayHaveRun, Ran},
	ReasonAttempts:        {NotRun, MayHaveRun, Ran},
	ReasonRetryBudget:     {NotRun, MayHaveRun, Ran},
	ReasonNotRepeatable:   {MayHaveRun, Ran},
	ReasonDeadline:        {NotRun, MayHaveRun, Ran},
	ReasonRateLimited:     {NotRun, MayHaveRun},
	ReasonOverloaded:      {NotRun, MayHaveRun},
	ReasonPoison:          {Ran},
	ReasonKeyRunning:      {MayHaveRun},
	ReasonKeyRan:          {Ran},
	ReasonKeyMayHaveRun:   {MayHaveRun},
	ReasonBodyDiffers:     {NotRun},
	ReasonClaimUndecided:  {NotRun, MayHaveRun},
	ReasonClaimExpired:    {NotRun, MayHaveRun},
}

// Reasons lists every reason, in the order of docs/REFUSALS.md.
func Reasons() []Reason {
	return []Reason{
		ReasonNoConfiguration, ReasonUnknownPipeline, ReasonNoPath, ReasonAttempts,
		ReasonRetryBudget, ReasonNotRepeatable, ReasonDeadline, ReasonRateLimited,
		ReasonOverloaded, ReasonPoison, ReasonKeyRunning, ReasonKeyRan,
		ReasonKeyMayHaveRun, ReasonBodyDiffers, ReasonClaimUndecided, ReasonClaimExpired,
	}
}

// Executions returns the values of Execution that a refusal for the reason may
// have.
func (r Reason) Executions() []Execution { return allowedExecutions[r] }
