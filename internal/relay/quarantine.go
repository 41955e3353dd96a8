package relay

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"oleandershunt.example/oleandershunt/internal/bootclock"
	"oleandershunt.example/oleandershunt/internal/core/poison"
	"oleandershunt.example/oleandershunt/internal/core/quarantine"
	"oleandershunt.example/oleandershunt/internal/telemetry"
)

// retryAfterHeld is the Retry-After of a request that is held back: another request is the trial
// meanwhile.
const retryAfterHeld = 2 * time.Second

// contentsOf returns what a request has in common with others: its body, and the shared parts of its
// prompt.
func contentsOf(x *exchange) []quarantine.Content {
	contents := []quarantine.Content{{Account: x.poison.Account, Path: x.poison.Pipeline, Hash: x.poison.Hash}}
	for _, part := range x.call.SharedParts {
		content := quarantine.Content{Path: x.service.Name, Hash: max(part, 1), Part: true}
		if !slices.Contains(contents, content) {
			contents = append(contents, content)
		}
	}
	return contents
}

// admitContents returns why a request may not run as for what it contains, or nil. A request that is
// held back may wait for a trial. The caller must call end in any case.
func (h *Handler) admitContents(x *exchange) *refusal {
	x.claim = max(xxhash.Sum64String(x.call.ID), 1)
	decision, claimed := h.suspects.admit(x)
	if decision == quarantine.Wait {
		h.publishClaims(x, claimed)
		decision = h.awaitTrial(x)
	}
	switch decision {
	case quarantine.Run, quarantine.RunTrial:
		return nil
	case quarantine.RefuseBlocked:
		return poisonRefusal()
	default:
		return heldRefusal()
	}
}

func (s *poisonSuspects) admit(x *exchange) (quarantine.Decision, []quarantine.Content) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantine.Admit(bootclock.Now(), x.contents, x.claim)
}

// publishClaims tells the other VMs that a request is to run a trial.
func (h *Handler) publishClaims(x *exchange, claimed []quarantine.Content) {
	h.suspects.mu.Lock()
	defer h.suspects.mu.Unlock()
	now := bootclock.Now()
	for _, content := range claimed {
		h.suspects.queueFinding(timedFinding{at: now, Finding: Finding{Account: content.Account, Path: content.Path, Part: content.Part, Claimed: content.Hash, Trial: x.claim}})
	}
	h.publishSoon()
}

// awaitTrial waits until it is decided which request runs the trial, and decides on this one.
func (h *Handler) awaitTrial(x *exchange) quarantine.Decision {
	if x.timeLimit() < 2*quarantine.ClaimTime {
		return quarantine.Refuse
	}
	select {
	case <-time.After(quarantine.ClaimTime):
	case <-x.r.Context().Done():
		return quarantine.Refuse
	}
	h.suspects.mu.Lock()
	defer h.suspects.mu.Unlock()
	now := bootclock.Now()
	decision := h.suspects.quarantine.Resume(now, x.contents, x.claim)
	if decision == quarantine.RunTrial {
		x.trial, x.onTrial = x.claim, h.suspects.quarantine.OnTrial(x.contents, x.claim)
		telemetry.TrialBegun.Log(h.Log, "request", x.call.ID, "service", x.service.Name)
	}
	return decision
}

// heldRefusal is the refusal of a request with content that is held back.
func heldRefusal() *refusal { return notRunRefusal(ReasonHeldBack, retryAfterHeld) }

// heldRefusal is the refusal of a request that is not sent on since its content is held back.
func (x *exchange) heldRefusal() *refusal {
	if x.mayHaveRun {
		return uncertainRefusal(ReasonHeldBack)
	}
	return heldRefusal()
}

// stateLocked returns the worst state of a request's contents. s.mu must be held.
func (s *poisonSuspects) stateLocked(x *exchange) quarantine.State {
	now, worst := bootclock.Now(), quarantine.Clear
	for _, content := range x.contents {
		worst = max(worst, s.quarantine.State(now, content))
	}
	return worst
}

// mayGoOn reports whether an admitted request may be sent to a server.
func (s *poisonSuspects) mayGoOn(x *exchange) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if x.begun {
		return true
	}
	if s.table.Level(bootclock.Now(), x.poison) == poison.Blocked {
		return false
	}
	state := s.stateLocked(x)
	return state == quarantine.Clear || state == quarantine.Held && x.trial != 0
}
