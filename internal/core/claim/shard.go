package claim

import (
	"time"

	"oleandershunt.example/oleandershunt/internal/core"
	"oleandershunt.example/oleandershunt/internal/core/lease"
)

// Options are the settings of a shard.
type Options struct {
	// Shard is the shard's name, and Home the data centre whose VMs are preferred as owners.
	Shard string
	Home  string
	// Self is this VM.
	Self lease.VM
	// WriteInterval is the minimum time between two writes of the head (group commit).
	WriteInterval time.Duration
	// LeaseDuration is how long an owner may go without a write before another VM takes over.
	LeaseDuration time.Duration
	// ClockError is added to every wait for another VM, to allow for clock drift.
	ClockError time.Duration
	// OutageLimit is how long an owner may commit on its standbys alone while the platform is unavailable.
	OutageLimit time.Duration
	// Retention is the minimum time for which a key is remembered.
	Retention time.Duration
	// ClaimTimeout is how long a claim may wait for its commit.
	ClaimTimeout time.Duration
	// GrantValidity is how long a grant may be used, counted from the time of the call.
	GrantValidity time.Duration
	// SlowWriteThreshold is how long a write may take before its ops are also sent to the standbys.
	SlowWriteThreshold time.Duration
	// PollInterval is the interval at which a VM that may take over reads the head.
	PollInterval time.Duration
	// StandbyCount is the number of standbys to name in the head.
	StandbyCount int
	// StandbysElsewhere prefers standbys in other data centres to those in the owner's.
	StandbysElsewhere bool
	// PageOps is the number of ops at which the newest part of the journal is sealed.
	PageOps int
	// MaxOps bounds the unsealed ops, and thereby the claims during one outage.
	MaxOps int
	// MaxKeys bounds the number of remembered keys.
	MaxKeys int
}

// PollingRanks is how many of the first VMs in a shard's ranking poll its head.
// Other VMs read it only when they have a claim to make, which bounds the reads
// of the platform.
const PollingRanks = 3

// demandTimeout is how long a VM keeps polling a shard's head after its last claim there.
const demandTimeout = 30 * time.Second

// Shard is one VM's state machine for one shard. It is not safe for concurrent use.
type Shard struct {
	options Options
	// actions collects the actions of one step.
	actions []Action

	live        []lease.VM
	liveOrigins map[uint32]bool
	rank        int

	// version and head are the newest state of the platform's object that this VM has seen.
	version      uint64
	head         Head
	highestEpoch uint64
	observer     lease.Observer
	reading      bool
	nextRead     Time
	lastDemand   Time

	lastWriteNumber uint64
	takeover        *takeover
	tail            tail
	owner           *owner
	stopping        bool
}

// New returns a shard with no state: it has not read the head yet.
func New(options Options) *Shard {
	return &Shard{options: options, liveOrigins: make(map[uint32]bool), lastDemand: -demandTimeout}
}

// Step processes one event and returns the actions to carry out.
func (s *Shard) Step(now Time, event Event) []Action {
	s.actions = nil
	switch e := event.(type) {
	case Requested:
		s.handleClaim(now, e)
	case Peek:
		s.handlePeek(now, e)
	case Settled:
		s.handleSettled(e)
	case HeadRead:
		s.handleHeadRead(now, e)
	case HeadWritten:
		s.handleHeadWritten(now, e)
	case PagesRead:
		s.handlePagesRead(now, e)
	case PageWritten:
		s.handlePageWritten(e)
	case Appended:
		s.handleAppended(now, e)
	case Append:
		s.handleAppend(e)
	case LiveVMs:
		s.setLive(e.VMs)
	case Release:
		s.startRelease()
	case Tick:
	}
	s.advance(now)
	return s.actions
}

// Owns reports whether this VM decides the shard's keys, as far as it knows.
func (s *Shard) Owns() bool { return s.owner != nil && !s.owner.releasing }

// OwnsOrReleasing reports whether this VM owns the shard, even if it is only handing it over.
func (s *Shard) OwnsOrReleasing() bool { return s.owner != nil }

// Owner returns the shard's owner as far as this VM knows. The second result is
// false when no owner is known or the owner is releasing the shard.
func (s *Shard) Owner() (lease.VM, bool) {
	if s.owner != nil {
		return s.options.Self, !s.owner.releasing
	}
	return s.head.Owner, s.version > 0 && !s.head.Released
}

// Keys returns the number of keys that this VM remembers as owner.
func (s *Shard) Keys() int {
	if s.owner == nil {
		return 0
	}
	return len(s.owner.table.entries)
}

// RecordDemand records that this VM has a claim for the shard, so that it polls the head
// to find the owner. With refresh it reads the head in its next step.
func (s *Shard) RecordDemand(now Time, refresh bool) {
	s.lastDemand = now
	if refresh {
		s.nextRead = min(s.nextRead, now)
	}
}

func (s *Shard) emit(action Action) { s.actions = append(s.actions, action) }

func (s *Shard) emitNotice(kind NoticeKind) {
	holder := s.head.Owner.Name
	if s.owner != nil {
		holder = s.options.Self.Name
	}
	s.emit(Notice{Kind: kind, Epoch: s.head.Epoch, Holder: holder})
}

func (s *Shard) setLive(vms []lease.VM) {
	s.live = lease.Rank(s.options.Shard, s.options.Home, vms)
	s.rank = lease.Position(s.live, s.options.Self.Name)
	clear(s.liveOrigins)
	for _, vm := range vms {
		s.liveOrigins[HashOrigin(vm.Incarnation)] = true
	}
}

// advance runs everything that is due at now.
func (s *Shard) advance(now Time) {
	if s.owner != nil {
		s.advanceOwner(now)
	}
	if !s.reading && now >= s.nextRead && s.shouldReadHead(now) {
		s.reading = true
		s.nextRead = now + s.options.PollInterval
		s.emit(ReadHead{})
	}
}

// NextTick returns when the shard needs its next Tick if no other event comes first.
func (s *Shard) NextTick(now Time) Time {
	next := now + s.options.PollInterval
	if !s.reading && s.shouldReadHead(now) {
		next = min(next, s.nextRead)
	}
	o := s.owner
	if o == nil {
		return next
	}
	if len(o.waiters) > 0 {
		next = min(next, o.waiters[0].expires, now+s.options.WriteInterval)
	}
	if len(o.peeks) > 0 {
		next = min(next, o.peeks[0].expires)
	}
	if o.inFlight == nil && !o.outcomeUnknown && (o.end() > o.confirmed || o.releasing || o.peekNeedsWrite()) {
		next = min(next, o.nextWrite)
	}
	return max(next, now)
}

// shouldReadHead reports whether this VM needs to read the head: an owner to learn
// the outcome of a write, any other VM to learn who owns the shard.
func (s *Shard) shouldReadHead(now Time) bool {
	if s.owner != nil {
		return s.owner.outcomeUnknown
	}
	if s.stopping && s.takeover == nil {
		return false
	}
	return s.takeover != nil || s.rank < PollingRanks || s.head.isStandby(s.options.Self) || now < s.lastDemand+demandTimeout
}

func (s *Shard) handleHeadRead(now Time, e HeadRead) {
	s.reading = false
	if e.Failed {
		s.observer.Failed()
		return
	}
	if e.Version < s.version {
		// A newer read came first, or an operator deleted the object. No
		// decision may be based on an older version.
		return
	}
	if !lease.Plausible(s.highestEpoch, e.Head.Epoch) {
		s.emit(Notice{Kind: NoticeImplausible, Epoch: e.Head.Epoch, Holder: e.Head.Owner.Name})
		return
	}
	s.observer.Read(e.Sent, e.Version)
	mine := e.Version > 0 && sameProcess(e.Head.Owner, s.options.Self)
	switch {
	case s.owner != nil && mine && e.Head.Epoch == s.owner.epoch:
		s.handleOwnHeadRead(now, e)
	case s.takeover != nil && mine && e.Head.Epoch == s.takeover.head.Epoch:
		s.completeTakeover(now, e.Version)
	default:
		s.handleOtherHeadRead(now, e)
	}
}

func (s *Shard) handleOtherHeadRead(now Time, e HeadRead) {
	if s.owner != nil {
		s.stepDown()
	}
	s.setHead(e.Version, e.Head)
	if s.takeover != nil {
		if s.takeover.ifVersion == e.Version {
			// The takeover write may still take effect. Until the head changes,
			// this VM must neither accept ops from the owner nor drop its takeover.
			s.writeTakeover(now)
			return
		}
		s.takeover = nil
	}
	s.considerTakeover(now, e.Sent)
}

func (s *Shard) setHead(version uint64, head Head) {
	s.version = version
	s.head = head
	s.highestEpoch = max(s.highestEpoch, head.Epoch)
	if s.takeover == nil {
		s.tail = s.tail.withoutJournalled(head)
	}
}

func (s *Shard) handleHeadWritten(now Time, e HeadWritten) {
	if s.takeover != nil && e.Number == s.takeover.number {
		s.takeover.inFlight = false
		if e.Result == ResultDone {
			s.completeTakeover(now, e.Version)
			return
		}
		// Without a delay, a platform that fails writes at once but answers
		// reads would be called in a tight loop.
		s.nextRead = now + writeRetryDelay
		return
	}
	if s.owner != nil && s.owner.inFlight != nil && e.Number == s.owner.inFlight.number {
		s.handleOwnHeadWritten(now, e)
	}
}

// startRelease begins to hand over the shard, and keeps this VM from taking it.
func (s *Shard) startRelease() {
	s.stopping = true
	if s.owner != nil {
		s.owner.releasing = true
	}
}

// decide answers a call with a verdict.
func (s *Shard) decide(call uint64, verdict core.Verdict) {
	decided := Decided{Call: call, Verdict: verdict}
	if verdict == core.VerdictGranted {
		decided.ValidFor = s.options.GrantValidity
	}
	s.emit(decided)
}
