package core

import "oleandershunt.example/oleandershunt/internal/core/request"

// Verdict is the answer of the owner of a key's shard to a Claim or Peek.
type Verdict string

// The verdicts on a key.
const (
	// VerdictGranted: the claim is journalled. The request may be dispatched once, until ValidUntil.
	VerdictGranted Verdict = "granted"
	// VerdictRunning: another request with the key is running.
	VerdictRunning Verdict = "running"
	// VerdictRan: a request with the key ran to its end.
	VerdictRan Verdict = "ran"
	// VerdictMayHaveRun: a request with the key was dispatched, and whether it ran is unknown.
	VerdictMayHaveRun Verdict = "may_have_run"
	// VerdictBodyDiffers: the key was used with another body.
	VerdictBodyDiffers Verdict = "body_differs"
	// VerdictUndecided: no owner can decide now. This request has no claim and does
	// not run. Whether an earlier one with the key ran is unknown.
	VerdictUndecided Verdict = "undecided"
	// VerdictFree answers only a Peek: the owner knows no request with the key, and
	// none can have been granted without the owner knowing it.
	VerdictFree Verdict = "free"
)

// ClaimKey identifies a non-idempotent request across all VMs.
type ClaimKey struct {
	// Account is the client account. A verdict is only disclosed to the same account.
	Account string `json:"account"`
	// Key is the caller's Idempotency-Key, or a key assigned to the request.
	Key string `json:"key"`
}

// Claim asks the VM to obtain the permission to dispatch a non-idempotent request
// from the owner of its key's shard. ClaimDecided is the answer.
type Claim struct {
	Request request.ID `json:"request"`
	Key     ClaimKey   `json:"key"`
	// Home is the data centre whose VMs own the account's keys. Empty means any.
	Home string `json:"home,omitempty"`
	// FormerHome is set for some time after a change of Home. The key must then be
	// granted in both data centres.
	FormerHome string `json:"formerHome,omitempty"`
	// BodyHash distinguishes a repeat of a request from a different request under
	// the same key.
	BodyHash uint64 `json:"bodyHash"`
}

// ClaimDecided is the answer to a Claim.
type ClaimDecided struct {
	Request request.ID `json:"request"`
	Verdict Verdict    `json:"verdict"`
	// ValidUntil is the end of a grant, on this VM's own clock. After it a new owner
	// of the shard may decide the key differently.
	ValidUntil Time `json:"validUntil,omitempty"`
}

// Peek asks the VM to find out from the owner of a key's shard whether a request
// with the key is known, without claiming the key. ClaimPeeked is the answer.
type Peek struct {
	Request request.ID `json:"request"`
	Key     ClaimKey   `json:"key"`
	// Home and FormerHome are as in Claim.
	Home       string `json:"home,omitempty"`
	FormerHome string `json:"formerHome,omitempty"`
	// BodyHash distinguishes a repeat of a request from a different request under
	// the same key.
	BodyHash uint64 `json:"bodyHash"`
}

// ClaimPeeked is the answer to a Peek. Its Verdict is never VerdictGranted.
type ClaimPeeked struct {
	Request request.ID `json:"request"`
	Verdict Verdict    `json:"verdict"`
}

// ClaimSettled asks the VM to report to the owner of a key how the claimed request
// ended. A request that provably did not run frees the key. Otherwise the key
// stays in use.
type ClaimSettled struct {
	Request   request.ID        `json:"request"`
	Key       ClaimKey          `json:"key"`
	Execution request.Execution `json:"execution"`
}

var (
	_ = registerEvents(ClaimDecided{}, ClaimPeeked{})
	_ = registerActions(Claim{}, ClaimSettled{}, Peek{})
)

// EventName implements Event.
func (ClaimDecided) EventName() string { return "claim_decided" }

// EventName implements Event.
func (ClaimPeeked) EventName() string { return "claim_peeked" }

// ActionName implements Action.
func (Peek) ActionName() string { return "peek" }

// ActionName implements Action.
func (Claim) ActionName() string { return "claim" }

// ActionName implements Action.
func (ClaimSettled) ActionName() string { return "claim_settled" }
