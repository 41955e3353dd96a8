package claim

import (
	"slices"

	"oleandershunt.example/oleandershunt/internal/core"
	"oleandershunt.example/oleandershunt/internal/core/lease"
)

// advanceOwner runs the owner's tasks that are due at now.
func (s *Shard) advanceOwner(now Time) {
	o := s.owner
	if !o.loaded && !o.loading && now >= o.nextLoad {
		s.loadPages(now)
	}
	o.queued = slices.DeleteFunc(o.queued, func(call queuedClaim) bool {
		if now < call.expires {
			return false
		}
		s.decide(call.event.Call, core.VerdictUndecided)
		return true
	})
	if o.loaded {
		s.expirePages(now)
		s.sealPage(now)
		s.rebalance(now)
	}
	s.resolveWaiters(now)
	s.expirePeeks(now)
	s.replicateToStandbys(now)
	s.writeHead(now)
}

// writeHead writes the head if ops are pending, the lease is due for renewal, a
// peek needs proof of ownership, or the shard is being released.
func (s *Shard) writeHead(now Time) {
	o := s.owner
	if o.inFlight != nil || o.outcomeUnknown || now < o.nextWrite {
		return
	}
	pending := o.end() > o.confirmed
	renew := now >= o.lastWrite+s.options.LeaseDuration/renewalsPerLease
	if !pending && !renew && !o.releasing && !o.peekNeedsWrite() {
		return
	}
	s.lastWriteNumber++
	o.renewal++
	head := s.nextHead(now)
	o.inFlight = &headWrite{number: s.lastWriteNumber, sent: now, head: head, obsoletePages: o.obsoletePages}
	o.addPossibleHead(head, now)
	o.obsoletePages = nil
	o.lastWrite = now
	o.nextWrite = now + s.options.WriteInterval
	s.emit(WriteHead{Number: s.lastWriteNumber, IfVersion: s.version, Head: head})
}

// addPossibleHead records a head whose write is about to be sent.
func (o *owner) addPossibleHead(head Head, sent Time) {
	last := &o.possibleHeads[len(o.possibleHeads)-1]
	if len(o.possibleHeads) > 1 && last.released == head.Released && slices.Equal(last.standbys, head.Standbys) {
		last.lastRenewal = head.Renewal
		return
	}
	o.possibleHeads = append(o.possibleHeads, possibleHead{
		firstRenewal: head.Renewal,
		lastRenewal:  head.Renewal,
		sent:         sent,
		standbys:     head.Standbys,
		released:     head.Released,
	})
}

func (s *Shard) nextHead(now Time) Head {
	o := s.owner
	head := Head{
		Epoch:    o.epoch,
		Owner:    s.options.Self,
		Standbys: s.chooseStandbys(),
		Released: o.releasing,
		Renewal:  o.renewal,
		Duration: s.options.LeaseDuration,
		Start:    o.start,
		Ops:      o.ops[:len(o.ops):len(o.ops)],
	}
	if o.releasing {
		head.Standbys = nil
	}
	for _, p := range o.pages {
		ref := p.ref
		ref.Age = now - p.sealed
		head.Pages = append(head.Pages, ref)
	}
	if now < o.gapUntil {
		head.Gap = &Gap{Age: s.options.Retention - (o.gapUntil - now)}
	}
	return head
}

func (s *Shard) handleOwnHeadWritten(now Time, e HeadWritten) {
	o := s.owner
	f := o.inFlight
	o.inFlight = nil
	switch e.Result {
	case ResultDone:
		for _, name := range f.obsoletePages {
			s.emit(DeletePage{Name: name})
		}
		s.confirmHead(now, e.Version, f.head, f.sent)
		return
	case ResultRefused:
	default:
		o.outcomeUnknown = true
		s.nextRead = now
	}
	o.obsoletePages = append(f.obsoletePages, o.obsoletePages...)
	o.nextWrite = now + writeRetryDelay
	s.markDegraded()
}

// handleOwnHeadRead determines from a read the outcome of unanswered writes.
func (s *Shard) handleOwnHeadRead(now Time, e HeadRead) {
	o := s.owner
	if !o.outcomeUnknown {
		return
	}
	o.outcomeUnknown = false
	if e.Version == s.version {
		// None of the writes has taken effect yet, but one still may. The next
		// write has the same condition, so at most one of them succeeds.
		return
	}
	sent := o.lastConfirmed
	for _, a := range o.possibleHeads {
		if a.firstRenewal <= e.Head.Renewal && e.Head.Renewal <= a.lastRenewal {
			sent = a.sent
		}
	}
	s.confirmHead(now, e.Version, e.Head, sent)
}

// confirmHead records that a head is in force. sent must not be later than the
// time at which the head took effect, since the period in which the owner may
// commit without the platform is counted from it.
func (s *Shard) confirmHead(now Time, version uint64, head Head, sent Time) {
	o := s.owner
	s.setHead(version, head)
	o.confirmed = max(o.confirmed, head.End())
	o.lastConfirmed = sent
	o.possibleHeads = []possibleHead{{firstRenewal: head.Renewal, lastRenewal: head.Renewal, sent: sent, standbys: head.Standbys, released: head.Released}}
	if o.degraded {
		o.degraded = false
		s.emitNotice(NoticeJournalled)
	}
	s.resolvePeeks(now, head.Renewal)
	if head.Released {
		s.completeRelease(now)
		return
	}
	s.resolveWaiters(now)
}

func (s *Shard) completeRelease(now Time) {
	s.resolveWaiters(now)
	for _, w := range s.owner.waiters {
		s.decide(w.call, core.VerdictUndecided)
	}
	s.dropPeeks()
	s.owner = nil
	s.nextRead = now + s.options.PollInterval
	s.emitNotice(NoticeReleased)
}

func (s *Shard) markDegraded() {
	if s.owner.degraded {
		return
	}
	s.owner.degraded = true
	s.emitNotice(NoticeOnStandbys)
}

// replicateToStandbys sends the pending ops to the standbys while writes to the
// platform fail or are slow.
func (s *Shard) replicateToStandbys(now Time) {
	o := s.owner
	slow := o.inFlight != nil && now >= o.inFlight.sent+s.options.SlowWriteThreshold
	if !o.degraded && !slow || o.end() == o.confirmed || !s.canCommitOnStandbys(now) {
		return
	}
	for _, head := range o.possibleHeads {
		for _, vm := range head.standbys {
			s.sendAppend(now, vm)
		}
	}
}

func (s *Shard) sendAppend(now Time, vm lease.VM) {
	o := s.owner
	state, ok := o.standbys[vm]
	if !ok {
		state = &standby{}
		o.standbys[vm] = state
	}
	if state.ackedEnd >= o.end() || state.awaitingReply && now < state.sent+appendRetryInterval {
		return
	}
	state.awaitingReply = true
	state.sent = now
	from := max(state.ackedEnd, o.confirmed)
	s.emit(SendAppend{Append{
		Epoch:      o.epoch,
		Owner:      s.options.Self,
		Standby:    vm,
		Confirmed:  o.confirmed,
		FirstIndex: from,
		Ops:        slices.Clone(o.ops[from-o.start:]),
	}})
}

func (s *Shard) handleAppended(now Time, e Appended) {
	o := s.owner
	if o == nil || e.Epoch != o.epoch {
		return
	}
	state, ok := o.standbys[e.Standby]
	if !ok {
		return
	}
	state.awaitingReply = false
	if e.Refused {
		// The standby may be taking over. It keeps the ops that it has already
		// accepted, but the new ones have to be sent again.
		state.awaitingReply = true
		state.sent = now
		return
	}
	// Replies may arrive out of order; a standby never holds less than it has acknowledged.
	state.ackedEnd = max(state.ackedEnd, min(e.End, o.end()))
	s.resolveWaiters(now)
}

// sealPage moves the confirmed part of the journal into a separate page once it
// is long or old enough, so that the head stays small.
func (s *Shard) sealPage(now Time) {
	o := s.owner
	count := o.confirmed - o.start
	if o.sealing || count == 0 || o.degraded {
		return
	}
	if count < uint64(s.options.PageOps) && !s.isSealDue(now) {
		return
	}
	o.sealing = true
	o.lastSeal = now
	ref := PageRef{Name: pageName(s.options.Shard, o.epoch, o.start, o.confirmed), Start: o.start, End: o.confirmed}
	s.emit(WritePage{Ref: ref, Page: Page{Ops: slices.Clone(o.ops[:count])}})
}

// isSealDue reports whether the last seal is old enough for the next one.
// Without this, an idle shard would never expire its last keys.
func (s *Shard) isSealDue(now Time) bool {
	return now >= s.owner.lastSeal+s.options.Retention/sealsPerRetention
}

func (s *Shard) handlePageWritten(e PageWritten) {
	o := s.owner
	if o == nil || !o.sealing {
		return
	}
	o.sealing = false
	if e.Ref.Start != o.start || e.Result == ResultUnknown || e.Result == ResultRefused {
		return
	}
	// A conflict means that an earlier attempt succeeded: the name contains the
	// epoch and the range, so only this owner writes a page of this name.
	o.ops = slices.Clone(o.ops[e.Ref.End-o.start:])
	o.start = e.Ref.End
	o.pages = append(o.pages, page{ref: e.Ref, sealed: o.lastWrite})
}

// expirePages drops the pages that are past retention, and their keys.
func (s *Shard) expirePages(now Time) {
	o := s.owner
	for len(o.pages) > 0 && now >= o.pages[0].sealed+s.options.Retention {
		o.obsoletePages = append(o.obsoletePages, o.pages[0].ref.Name)
		o.table.expire(o.pages[0].ref.End)
		o.pages = o.pages[1:]
	}
}

// rebalance hands over the shard when another VM has ranked first for
// rebalanceDelay, so that ownership spreads again after a restart of many VMs.
func (s *Shard) rebalance(now Time) {
	o := s.owner
	if s.rank == 0 || len(s.live) == 0 || o.degraded {
		o.outrankedSince = 0
		return
	}
	if o.outrankedSince == 0 {
		o.outrankedSince = now
		return
	}
	if now >= o.outrankedSince+rebalanceDelay {
		o.releasing = true
	}
}
