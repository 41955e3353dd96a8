package claim

import (
	"slices"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/lease"
)

// tail is the part of the journal that this VM holds as a standby: ops that the
// owner had not yet stored in the platform when it granted them.
type tail struct {
	epoch uint64
	start uint64
	ops   Journal
}

func (t tail) end() uint64 { return t.start + uint64(len(t.ops)) }

// takeover is a write that makes this VM the owner and whose outcome is not known yet.
type takeover struct {
	number    uint64
	ifVersion uint64
	head      Head
	inFlight  bool
	// firstSent is when the write was first sent.
	firstSent Time
}

// handleAppend stores an owner's ops as its standby. By accepting them, this VM
// promises to include them in the journal if it takes over. It therefore refuses
// from the start of its own takeover, and the owner, which needs the
// acknowledgement of every standby, grants no more claims.
func (s *Shard) handleAppend(e Append) {
	refuse := AppendReply{Call: e.Call, Refused: true}
	if !sameProcess(e.Standby, s.options.Self) || s.takeover != nil || e.Epoch < s.highestEpoch || !lease.Plausible(s.highestEpoch, e.Epoch) {
		s.emit(refuse)
		return
	}
	if s.owner != nil {
		if e.Epoch <= s.owner.epoch {
			s.emit(refuse)
			return
		}
		s.stepDown()
	}
	s.highestEpoch = max(s.highestEpoch, e.Epoch)
	s.tail = s.tail.withAppend(e)
	s.emit(AppendReply{Call: e.Call, End: s.tail.end()})
}

// withAppend returns the tail with the ops of an Append added, if they continue it
// without a gap. Ops below Confirmed are stored in the platform and are dropped.
func (t tail) withAppend(e Append) tail {
	if e.Epoch != t.epoch || t.end() < e.Confirmed && e.FirstIndex <= e.Confirmed {
		if e.FirstIndex > e.Confirmed {
			return tail{epoch: e.Epoch, start: e.Confirmed}
		}
		t = tail{epoch: e.Epoch, start: e.FirstIndex}
	}
	if e.FirstIndex <= t.end() && e.FirstIndex+uint64(len(e.Ops)) > t.end() {
		t.ops = append(t.ops, e.Ops[t.end()-e.FirstIndex:]...)
	}
	if e.Confirmed > t.start {
		drop := min(e.Confirmed, t.end()) - t.start
		t.ops = slices.Clone(t.ops[drop:])
		t.start += drop
	}
	return t
}

// withoutJournalled returns the tail without the ops that a head shows to be stored in the platform.
func (t tail) withoutJournalled(head Head) tail {
	if head.Epoch > t.epoch {
		return tail{}
	}
	if head.Epoch < t.epoch || head.End() <= t.start {
		return t
	}
	drop := min(head.End(), t.end()) - t.start
	return tail{epoch: t.epoch, start: t.start + drop, ops: slices.Clone(t.ops[drop:])}
}

// considerTakeover takes over the shard once its head has stayed unchanged for long
// enough. The wait depends on whether this VM can have the complete journal: a
// standby has it, and every VM has it if the owner named no standbys or has
// released the shard. Any other VM must also wait out OutageLimit, during which the
// owner may commit on its standbys, and must then answer for unknown keys that they
// may have run.
func (s *Shard) considerTakeover(now, sent Time) {
	if s.stopping || s.rank >= len(s.live) {
		return
	}
	wait, gap := s.takeoverWait()
	if s.observer.UnchangedFor(sent) < wait {
		return
	}
	next := s.head
	if s.version > 0 && !s.appendTail(&next) {
		return
	}
	next.Epoch++
	next.Owner = s.options.Self
	next.Standbys = s.chooseStandbys()
	next.Released = false
	next.Renewal = 0
	next.Duration = s.options.LeaseDuration
	if gap {
		next.Gap = &Gap{}
	}
	s.takeover = &takeover{ifVersion: s.version, head: next, firstSent: now}
	s.writeTakeover(now)
}

func (s *Shard) takeoverWait() (wait time.Duration, gap bool) {
	stagger := time.Duration(s.rank) * s.takeoverStagger()
	if s.version == 0 || s.head.Released {
		return stagger, false
	}
	expiry := s.head.Duration + s.options.ClockError
	if len(s.head.Standbys) == 0 {
		return expiry + stagger, false
	}
	for i, standby := range s.head.Standbys {
		if sameProcess(standby, s.options.Self) {
			return expiry + time.Duration(i)*s.takeoverStagger(), false
		}
	}
	return s.options.OutageLimit + expiry + stagger, true
}

// takeoverStagger is the delay between the takeovers of consecutive candidates: long
// enough for the second to read the head that the first has written.
func (s *Shard) takeoverStagger() time.Duration {
	return s.options.PollInterval + s.options.PollInterval/2
}

// appendTail adds the ops that this VM holds as a standby to a head. It returns
// false when the head is older than the state that the owner has reported in its
// appends.
func (s *Shard) appendTail(head *Head) bool {
	if s.tail.epoch > head.Epoch {
		return false
	}
	if s.tail.epoch < head.Epoch {
		return true
	}
	if s.tail.start > head.End() {
		return false
	}
	if s.tail.end() > head.End() {
		head.Ops = append(slices.Clone(head.Ops), s.tail.ops[head.End()-s.tail.start:]...)
	}
	return true
}

// chooseStandbys returns the VMs that may take over with the complete journal.
func (s *Shard) chooseStandbys() []lease.VM {
	others := slices.DeleteFunc(slices.Clone(s.live), func(vm lease.VM) bool { return vm.Name == s.options.Self.Name })
	slices.SortStableFunc(others, func(a, b lease.VM) int {
		preferred := func(vm lease.VM) bool {
			return (vm.DataCentre == s.options.Self.DataCentre) != s.options.StandbysElsewhere
		}
		switch {
		case preferred(a) == preferred(b):
			return 0
		case preferred(a):
			return -1
		default:
			return 1
		}
	})
	return slices.Clone(others[:min(s.options.StandbyCount, len(others))])
}

func (s *Shard) writeTakeover(now Time) {
	if s.takeover.inFlight {
		return
	}
	s.lastWriteNumber++
	s.takeover.number = s.lastWriteNumber
	s.takeover.inFlight = true
	s.nextRead = now + s.options.PollInterval
	s.emit(WriteHead{Number: s.lastWriteNumber, IfVersion: s.takeover.ifVersion, Head: s.takeover.head})
}

// completeTakeover makes this VM the owner. It grants no claims before the whole journal is read.
func (s *Shard) completeTakeover(now Time, version uint64) {
	head := s.takeover.head
	sent := s.takeover.firstSent
	s.takeover = nil
	s.tail = tail{}
	s.setHead(version, head)
	s.owner = newOwner(now, sent, head, s.options.Retention)
	s.emitNotice(NoticeOwned)
	if head.Gap != nil {
		s.emitNotice(NoticeGap)
	}
	s.loadPages(now)
}
