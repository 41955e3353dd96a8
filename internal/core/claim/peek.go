package claim

import (
	"time"

	"oleandershunt.example/oleandershunt/internal/core"
)

const (
	// peekTimeout is how long a peek waits for a write of the head. By then the
	// VM that sent it has answered its caller.
	peekTimeout = 200 * time.Millisecond
	// maxPeeks bounds the peeks that wait at one owner.
	maxPeeks = 4096
)

// peekWaiter is a call that waits for proof that this VM still owns the shard.
type peekWaiter struct {
	call uint64
	op   Op
	// isClaim is set for a claim whose key is known with another body.
	isClaim bool
	// renewal is the Renewal of the first head that is sent after the call arrived.
	renewal uint64
	expires Time
}

// handlePeek answers from memory when the key's request ran or may have run, which
// stays true whoever owns the shard now. The verdict that the key is unknown, or
// known with another body, is given only once a head that was sent after the call
// has been written. An owner that was paused may have been replaced without noticing,
// its successor may have granted the key, and the owner's clock may have stopped
// during the pause; its conditional write then fails.
func (s *Shard) handlePeek(now Time, e Peek) {
	o := s.owner
	if o == nil || o.releasing || !o.loaded {
		s.decide(e.Call, core.VerdictUndecided)
		return
	}
	verdict := s.lookup(now, e.Op)
	if isStableVerdict(verdict) {
		s.decide(e.Call, verdict)
		return
	}
	s.awaitOwnershipProof(now, peekWaiter{call: e.Call, op: e.Op})
}

// awaitOwnershipProof holds a call until the next write of the head proves that this
// VM still owns the shard.
func (s *Shard) awaitOwnershipProof(now Time, w peekWaiter) {
	o := s.owner
	if len(o.peeks) >= maxPeeks || o.degraded {
		s.decide(w.call, core.VerdictUndecided)
		return
	}
	w.renewal = o.renewal + 1
	w.expires = now + peekTimeout
	o.peeks = append(o.peeks, w)
}

// lookup returns the verdict for a key from this owner's memory.
func (s *Shard) lookup(now Time, op Op) core.Verdict {
	o := s.owner
	verdict := core.VerdictFree
	if known, ok := o.table.entries[op.Key]; ok {
		verdict = known.verdict(op, s.liveOrigins[known.origin])
	}
	if verdict == core.VerdictGranted {
		// The asking request itself holds the key, and will release it unused.
		verdict = core.VerdictFree
	}
	if !isStableVerdict(verdict) && now < o.gapUntil {
		return core.VerdictUndecided
	}
	return verdict
}

// isStableVerdict reports whether a verdict stays valid whatever a successor, or a
// former owner whose grants were lost, has granted.
func isStableVerdict(verdict core.Verdict) bool {
	return verdict != core.VerdictFree && verdict != core.VerdictBodyDiffers
}

// peekNeedsWrite reports whether a peek waits for a write that has not been sent yet.
func (o *owner) peekNeedsWrite() bool {
	return len(o.peeks) > 0 && o.peeks[len(o.peeks)-1].renewal > o.renewal
}

// resolvePeeks answers the peeks that arrived before the write of a head that is now
// in force. The table also contains what this owner has granted meanwhile.
func (s *Shard) resolvePeeks(now Time, renewal uint64) {
	o := s.owner
	for len(o.peeks) > 0 && o.peeks[0].renewal <= renewal {
		w := o.peeks[0]
		o.peeks = o.peeks[1:]
		if verdict := s.lookup(now, w.op); w.isClaim && verdict != core.VerdictBodyDiffers {
			s.handleClaim(now, Requested{Call: w.call, Op: w.op})
		} else {
			s.decide(w.call, verdict)
		}
	}
}

// expirePeeks answers the peeks that have timed out.
func (s *Shard) expirePeeks(now Time) {
	o := s.owner
	for len(o.peeks) > 0 && now >= o.peeks[0].expires {
		s.decide(o.peeks[0].call, core.VerdictUndecided)
		o.peeks = o.peeks[1:]
	}
}

// dropPeeks answers all waiting peeks when this VM stops owning the shard.
func (s *Shard) dropPeeks() {
	for _, w := range s.owner.peeks {
		s.decide(w.call, core.VerdictUndecided)
	}
	s.owner.peeks = nil
}
