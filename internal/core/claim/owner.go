package claim

import (
	"slices"
	"time"

	"oleandershunt.example/oleandershunt/internal/core"
	"oleandershunt.example/oleandershunt/internal/core/lease"
)

// owner is the state that only the shard's owner has.
type owner struct {
	epoch uint64
	table table
	// loaded is set once the whole journal has been read. Claims are queued until then.
	loaded   bool
	loading  bool
	nextLoad Time
	queued   []queuedClaim

	// ops is the unsealed part of the journal; start is the index of its first op.
	ops   Journal
	start uint64
	// confirmed is the index after the last op that the platform is known to store.
	confirmed     uint64
	pages         []page
	lastSeal      Time
	sealing       bool
	obsoletePages []string

	// possibleHeads are the heads that may be in force: the last confirmed one and
	// those whose writes are unanswered.
	possibleHeads []possibleHead
	lastConfirmed Time
	lastWrite     Time
	nextWrite     Time
	renewal       uint64
	inFlight      *headWrite
	// outcomeUnknown is set after an unanswered or conflicting write: the head must
	// be read before the next write.
	outcomeUnknown bool
	// degraded is set while the last write of the head has failed.
	degraded bool

	standbys map[lease.VM]*standby
	// waiters are in order of expiry. resolvedThrough is the committed index for
	// which they were last checked, and hasCommittedWaiter is set if a waiter
	// added since then needs no more than that.
	waiters            []waiter
	resolvedThrough    uint64
	hasCommittedWaiter bool
	gapUntil           Time
	// peeks are the calls that wait for a write of the head, in order of arrival.
	peeks []peekWaiter
	// releasing is set while the shard is being handed over: no more claims are decided.
	releasing bool
	// outrankedSince is when another VM began to rank first. 0 means that this VM ranks first.
	outrankedSince Time
}

// page is a sealed part of the journal.
type page struct {
	ref    PageRef
	sealed Time
}

// headWrite is a write of the head that has no answer yet.
type headWrite struct {
	number        uint64
	sent          Time
	head          Head
	obsoletePages []string
}

// possibleHead is the relevant part of one or more heads that may be in force.
type possibleHead struct {
	// firstRenewal and lastRenewal are the range of Head.Renewal that it stands for.
	firstRenewal, lastRenewal uint64
	// sent is when the first of their writes was sent.
	sent     Time
	standbys []lease.VM
	released bool
}

// standby is the owner's replication state for one standby.
type standby struct {
	ackedEnd      uint64
	sent          Time
	awaitingReply bool
}

// waiter is a call whose claim is not committed yet.
type waiter struct {
	call        uint64
	op          Op
	requiredEnd uint64
	expires     Time
}

// queuedClaim is a claim that arrived before the journal was read.
type queuedClaim struct {
	event   Requested
	expires Time
}

const (
	// renewalsPerLease is how often an idle owner renews its lease within one lease duration.
	renewalsPerLease = 4
	// writeRetryDelay is the delay after a failed write of the head.
	writeRetryDelay = 200 * time.Millisecond
	// appendRetryInterval is how long the owner waits for a standby's reply before it sends again.
	appendRetryInterval = 300 * time.Millisecond
	// sealsPerRetention bounds the age of unsealed ops to this fraction of the retention.
	sealsPerRetention = 8
	// rebalanceDelay is how long another VM must rank first before the shard is
	// handed to it, so that a flapping VM moves no shards.
	rebalanceDelay = 15 * time.Second
)

func newOwner(now, sent Time, head Head, retention time.Duration) *owner {
	o := &owner{
		epoch:         head.Epoch,
		table:         newTable(),
		ops:           slices.Clone(head.Ops),
		start:         head.Start,
		confirmed:     head.End(),
		possibleHeads: []possibleHead{{sent: sent, standbys: head.Standbys}},
		lastConfirmed: sent,
		lastWrite:     now,
		lastSeal:      now,
		standbys:      make(map[lease.VM]*standby),
	}
	for _, ref := range head.Pages {
		o.pages = append(o.pages, page{ref: ref, sealed: now - ref.Age})
	}
	if head.Gap != nil {
		o.gapUntil = now + retention - head.Gap.Age
	}
	return o
}

// end returns the index after the last op.
func (o *owner) end() uint64 { return o.start + uint64(len(o.ops)) }

// loadPages asks for the sealed pages. If there are none, it applies the journal at once.
func (s *Shard) loadPages(now Time) {
	o := s.owner
	if len(o.pages) == 0 {
		s.applyJournal(now, nil)
		return
	}
	names := make([]string, 0, len(o.pages))
	for _, p := range o.pages {
		names = append(names, p.ref.Name)
	}
	o.loading = true
	s.emit(ReadPages{Names: names})
}

func (s *Shard) handlePagesRead(now Time, e PagesRead) {
	o := s.owner
	if o == nil || !o.loading {
		return
	}
	o.loading = false
	o.nextLoad = now + s.options.PollInterval
	if e.Failed {
		return
	}
	for _, p := range o.pages {
		read, ok := e.Pages[p.ref.Name]
		if !ok || uint64(len(read.Ops)) != p.ref.End-p.ref.Start {
			// The page was deleted or damaged, so its keys are lost. No unknown
			// key may be granted until the retention of the lost keys has passed.
			o.gapUntil = now + s.options.Retention
			s.emitNotice(NoticeGap)
		}
	}
	s.applyJournal(now, e.Pages)
}

func (s *Shard) applyJournal(now Time, pages map[string]Page) {
	o := s.owner
	for _, p := range o.pages {
		for i, op := range pages[p.ref.Name].Ops {
			o.table.apply(p.ref.Start+uint64(i), op)
		}
	}
	for i, op := range o.ops {
		o.table.apply(o.start+uint64(i), op)
	}
	o.loaded = true
	calls := o.queued
	o.queued = nil
	for _, call := range calls {
		s.handleClaim(now, call.event)
	}
}

func (s *Shard) handleClaim(now Time, e Requested) {
	o := s.owner
	switch {
	case o == nil || o.releasing:
		s.decide(e.Call, core.VerdictUndecided)
		return
	case !o.loaded:
		o.queued = append(o.queued, queuedClaim{e, now + s.options.ClaimTimeout})
		return
	}
	if known, ok := o.table.entries[e.Op.Key]; ok {
		s.handleRepeatedClaim(now, e, known)
		return
	}
	switch {
	case now < o.gapUntil:
		s.decide(e.Call, core.VerdictMayHaveRun)
	case len(o.table.entries) >= s.options.MaxKeys || len(o.ops) >= s.options.MaxOps || s.cannotCommit(now):
		s.decide(e.Call, core.VerdictUndecided)
	default:
		s.appendOp(e.Op)
		s.addWaiter(now, e, o.end())
	}
}

// handleRepeatedClaim answers a claim for a key that is in the table.
func (s *Shard) handleRepeatedClaim(now Time, e Requested, known entry) {
	verdict := known.verdict(e.Op, s.liveOrigins[known.origin])
	switch verdict {
	case core.VerdictGranted:
		s.addWaiter(now, e, known.index+1)
	case core.VerdictBodyDiffers:
		// The verdict asserts that this body did not run. A successor that this VM
		// doesn't know of yet may have freed the key and granted it for this body,
		// so the verdict needs proof of ownership.
		s.awaitOwnershipProof(now, peekWaiter{call: e.Call, op: e.Op, isClaim: true})
	default:
		s.decide(e.Call, verdict)
	}
}

func (s *Shard) addWaiter(now Time, e Requested, need uint64) {
	w := waiter{call: e.Call, op: e.Op, requiredEnd: need, expires: now + s.options.ClaimTimeout}
	s.owner.waiters = append(s.owner.waiters, w)
	s.owner.hasCommittedWaiter = s.owner.hasCommittedWaiter || need <= s.owner.resolvedThrough
}

func (s *Shard) appendOp(op Op) {
	o := s.owner
	o.table.apply(o.end(), op)
	o.ops = append(o.ops, op)
}

func (s *Shard) handleSettled(e Settled) {
	o := s.owner
	if o == nil || !o.loaded || len(o.ops) >= s.options.MaxOps {
		return
	}
	known, ok := o.table.entries[e.Op.Key]
	if !ok || known.kind != OpClaim || known.request != e.Op.Request {
		return
	}
	op := e.Op
	op.Body = known.body
	op.Origin = known.origin
	s.appendOp(op)
}

// cannotCommit reports whether a new claim could not be committed in time: the
// platform is unavailable, and committing on the standbys isn't possible.
func (s *Shard) cannotCommit(now Time) bool {
	o := s.owner
	return o.degraded && now >= o.lastConfirmed+s.options.LeaseDuration && !s.canCommitOnStandbys(now)
}

// canCommitOnStandbys reports whether acknowledgements of the standbys may replace
// a write to the platform. Every head that may be in force must name standbys,
// because any VM may take over from a head that names none, and OutageLimit must
// not have passed.
func (s *Shard) canCommitOnStandbys(now Time) bool {
	o := s.owner
	if now >= o.lastConfirmed+s.options.OutageLimit {
		return false
	}
	return !slices.ContainsFunc(o.possibleHeads, func(a possibleHead) bool { return len(a.standbys) == 0 || a.released })
}

// committed returns the index after the last op that any successor is certain to
// have: an op stored in the platform, or accepted by every VM that may take over.
func (s *Shard) committed(now Time) uint64 {
	o := s.owner
	if !s.canCommitOnStandbys(now) {
		return o.confirmed
	}
	minAcked := o.end()
	for _, head := range o.possibleHeads {
		for _, vm := range head.standbys {
			state, ok := o.standbys[vm]
			if !ok {
				return o.confirmed
			}
			minAcked = min(minAcked, state.ackedEnd)
		}
	}
	return max(o.confirmed, minAcked)
}

// resolveWaiters grants the claims that are committed and expires those that have timed out.
func (s *Shard) resolveWaiters(now Time) {
	o := s.owner
	committed := s.committed(now)
	if committed == o.resolvedThrough && !o.hasCommittedWaiter && (len(o.waiters) == 0 || now < o.waiters[0].expires) {
		// No waiter can be resolved. Scanning all waiters at each event would
		// take quadratic time, and an owner that falls behind would never catch up.
		return
	}
	o.resolvedThrough = committed
	o.hasCommittedWaiter = false
	waiting := o.waiters
	o.waiters = nil
	var expired []waiter
	for _, w := range waiting {
		known, ok := o.table.entries[w.op.Key]
		switch {
		case !ok || known.request != w.op.Request:
			s.decide(w.call, core.VerdictUndecided)
		case known.kind != OpClaim:
			s.decide(w.call, known.verdict(w.op, false))
		case w.requiredEnd <= committed:
			known.granted = true
			o.table.entries[w.op.Key] = known
			s.decide(w.call, core.VerdictGranted)
		case now >= w.expires:
			expired = append(expired, w)
		default:
			o.waiters = append(o.waiters, w)
		}
	}
	for _, w := range expired {
		s.expireWaiter(w)
	}
}

// expireWaiter answers a call whose claim was not committed in time, and frees its
// key: the caller is told that the request did not run, so this claim must not
// block a later request. The key stays claimed while another call of the same
// request is waiting or has been granted.
func (s *Shard) expireWaiter(w waiter) {
	o := s.owner
	s.decide(w.call, core.VerdictUndecided)
	known := o.table.entries[w.op.Key]
	hasOtherCall := slices.ContainsFunc(o.waiters, func(other waiter) bool { return other.op.Request == w.op.Request })
	if hasOtherCall || known.granted || known.kind != OpClaim || known.request != w.op.Request {
		return
	}
	op := w.op
	op.Kind = OpFree
	s.appendOp(op)
}

// stepDown gives up the shard because another VM owns it now. Waiting calls are
// not granted; their claims remain in the journal if they were written to it.
func (s *Shard) stepDown() {
	o := s.owner
	for _, w := range o.waiters {
		s.decide(w.call, core.VerdictUndecided)
	}
	for _, call := range o.queued {
		s.decide(call.event.Call, core.VerdictUndecided)
	}
	s.dropPeeks()
	s.owner = nil
	s.emitNotice(NoticeFenced)
}
