package core

import (
	"time"

	"oleandershunt.example/oleandershunt/internal/core/request"
)

const (
	// claimTimeout is how long to wait for the answer to a claim.
	claimTimeout = 5 * time.Second
	// retryAfterClaim is the Retry-After when a key could not be decided: about the
	// time that a successor takes to own the key's shard.
	retryAfterClaim = 2 * time.Second
	// retryAfterRunning is the Retry-After for a key whose request is still running.
	retryAfterRunning = time.Second
)

func claimKey(r *request.Request) ClaimKey {
	key := r.Key
	if key == "" {
		key = string(r.ID)
	}
	return ClaimKey{Account: r.Account, Key: key}
}

// claim asks the key's owner for the permission to dispatch a non-idempotent
// request, which is granted to one request only.
func (m *Machine) claim(now Time, r *request.Request) {
	r.Transition(request.Claiming)
	r.ClaimUnsettled = true
	until := min(r.Deadline, now+claimTimeout)
	m.waitUntil(r, until)
	m.note(now, r, Note{Step: StepClaiming, Until: until})
	account, _ := m.config.Account(r.Account)
	m.emit(Claim{
		Request:    r.ID,
		Key:        claimKey(r),
		Home:       account.HomeDataCentre,
		FormerHome: account.FormerHomeDataCentre,
		BodyHash:   r.BodyHash,
	})
}

// claimDecided handles the answer to a claim. An answer that arrives after the
// request has ended is ignored, since ClaimSettled has already freed the key.
func (m *Machine) claimDecided(now Time, e ClaimDecided) []Action {
	r, ok := m.requests[e.Request]
	if !ok || r.State != request.Claiming {
		m.noteLateReport(now, e.Request, 0, "answer to a claim")
		return m.finishStep(now)
	}
	r.WaitUntil = 0
	if e.Verdict == VerdictGranted {
		r.ClaimGranted = true
		r.ValidUntil = e.ValidUntil
		m.note(now, r, Note{Step: StepClaimed, Until: e.ValidUntil})
		m.dispatch(now, r)
		return m.finishStep(now)
	}
	r.ClaimUnsettled = false
	if refusal, ok := claimRefusals[e.Verdict]; ok {
		m.endRefusedAs(now, r, refusal.reason, refusal.execution, refusal.retryAfter)
	} else {
		m.claimUndecided(now, r)
	}
	return m.finishStep(now)
}

// claimUndecided refuses a request whose key no owner decided. It sends no Peek
// to find out whether the key ran, since no owner could answer the claim either.
func (m *Machine) claimUndecided(now Time, r *request.Request) {
	execution := request.NotRun
	if r.MayBeRepeat(now) {
		execution = request.MayHaveRun
	}
	m.endRefusedAs(now, r, request.ReasonClaimUndecided, execution, retryAfterClaim)
}

// refusal is the content of a Refuse action.
type refusal struct {
	reason     request.Reason
	execution  request.Execution
	retryAfter time.Duration
}

// claimRefusals has the refusal for each verdict other than VerdictGranted,
// VerdictUndecided and VerdictFree. Its execution is that of the request that
// holds the key.
var claimRefusals = map[Verdict]refusal{
	VerdictRunning:     {request.ReasonKeyRunning, request.MayHaveRun, retryAfterRunning},
	VerdictRan:         {request.ReasonKeyRan, request.Ran, 0},
	VerdictMayHaveRun:  {request.ReasonKeyMayHaveRun, request.MayHaveRun, 0},
	VerdictBodyDiffers: {request.ReasonBodyDiffers, request.NotRun, 0},
}
