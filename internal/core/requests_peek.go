package core

import (
	"slices"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/request"
)

const (
	// peekTimeout is how long a refusal is deferred for the answer to its Peek. An
	// owner answers after one write of its shard's head, usually in less than half
	// of this.
	peekTimeout = 200 * time.Millisecond
	// maxPendingPeeks limits the deferred refusals. In an overload the owners would
	// otherwise be asked about every refused request. Requests above the limit are
	// refused at once with may_have_run.
	maxPendingPeeks = 256
)

// pendingPeek is a refusal deferred until the answer to its Peek. The request has
// ended and holds no resources.
type pendingPeek struct {
	request *request.Request
	refusal refusal
	until   Time
}

// deferRefusal defers a refusal until the key's owner has answered whether it
// knows an earlier request with the key. A caller that lost its answer sends the
// request again under the same key. If that repeat were refused as "not run", for
// example because of its account's rate limit, although the first request ran,
// the caller would send it under a new key and it would run twice. It returns
// false if there is nothing to ask and the refusal can be sent.
func (m *Machine) deferRefusal(now Time, r *request.Request, refused refusal) bool {
	if !r.MayBeRepeat(now) || refused.execution != request.NotRun || refused.reason == request.ReasonBodyDiffers {
		return false
	}
	if m.config.Release == 0 || len(m.lifecycle.pendingPeeks) >= maxPendingPeeks {
		// Without a configuration the account's home, and so the owner, isn't known.
		refused.execution = request.MayHaveRun
		m.sendRefusal(now, r, refused)
		return true
	}
	until := now + peekTimeout
	m.lifecycle.pendingPeeks = append(m.lifecycle.pendingPeeks, pendingPeek{r, refused, until})
	m.note(now, r, Note{Step: StepPeeking, Reason: refused.reason, Until: until, Text: "it is to be refused; its key's owner is asked whether it ran before"})
	account, _ := m.config.Account(r.Account)
	m.emit(Peek{
		Request:    r.ID,
		Key:        claimKey(r),
		Home:       account.HomeDataCentre,
		FormerHome: account.FormerHomeDataCentre,
		BodyHash:   r.BodyHash,
	})
	return true
}

// claimPeeked handles the answer to a Peek. If the key is known its refusal
// replaces the deferred one, since a retry would get that refusal anyway.
func (m *Machine) claimPeeked(now Time, e ClaimPeeked) []Action {
	pending, ok := m.removePeek(e.Request)
	if !ok {
		m.noteLateReport(now, e.Request, 0, "word on a key")
		return m.finishStep(now)
	}
	refusal := pending.refusal
	if known, ok := claimRefusals[e.Verdict]; ok {
		refusal = known
	} else if e.Verdict != VerdictFree {
		refusal.execution = request.MayHaveRun
	}
	m.sendRefusal(now, pending.request, refusal)
	return m.finishStep(now)
}

// expirePeeks sends the deferred refusals whose Peek was not answered in time.
func (m *Machine) expirePeeks(now Time) {
	for len(m.lifecycle.pendingPeeks) > 0 && now >= m.lifecycle.pendingPeeks[0].until {
		pending := m.lifecycle.pendingPeeks[0]
		m.lifecycle.pendingPeeks = m.lifecycle.pendingPeeks[1:]
		pending.refusal.execution = request.MayHaveRun
		m.sendRefusal(now, pending.request, pending.refusal)
	}
}

// dropPeek drops the deferred refusal of a caller that disconnected.
func (m *Machine) dropPeek(now Time, id request.ID) {
	if pending, ok := m.removePeek(id); ok {
		m.note(now, pending.request, Note{Step: StepCallerDisconnected, Execution: request.MayHaveRun})
	}
}

func (m *Machine) removePeek(id request.ID) (pendingPeek, bool) {
	i := slices.IndexFunc(m.lifecycle.pendingPeeks, func(p pendingPeek) bool { return p.request.ID == id })
	if i < 0 {
		return pendingPeek{}, false
	}
	pending := m.lifecycle.pendingPeeks[i]
	m.lifecycle.pendingPeeks = slices.Delete(m.lifecycle.pendingPeeks, i, i+1)
	return pending, true
}

func (m *Machine) nextPeekTimeout() (Time, bool) {
	if len(m.lifecycle.pendingPeeks) == 0 {
		return 0, false
	}
	return m.lifecycle.pendingPeeks[0].until, true
}
