// Package quarantine holds back the content of requests under which several backend servers ended,
// until a trial shows whether it ends servers. It does no I/O and reads no clock.
//
// That a server ended can't always be proven while its requests are still being retried: when all
// servers of a service end at once, each VM sees what it would see if it had lost its links. Content
// is therefore held back on unproven losses of several servers. Content that is held back by mistake
// is released by any of these: an answer to a request with it, a response of the processes that
// seemed to have ended, or a trial. A trial is a single request: it claims the trial, all VMs hear of
// the claim, and it runs if no other claim goes before its own.
package quarantine

import (
	"cmp"
	"container/list"
	"maps"
	"slices"
	"time"
)

const (
	// lossesToHold is the number of processes that were lost while they ran the content, without
	// an answer to it, from which on it is held back.
	lossesToHold = 3
	// trialsToBlock is the number of trials whose server was lost after which the content is
	// blocked. Content whose trials were lost together with those of other content is blocked after
	// maxTrials.
	trialsToBlock = 2
	maxTrials     = 4
	// aliveTime is the time between two responses of a process that show that it has not ended:
	// another process at its address would have been registered by then.
	aliveTime = 2500 * time.Millisecond
	// retention is how long a loss counts.
	retention = 10 * time.Minute
	// maxContents and maxLosses bound the table.
	maxContents = 4096
	maxLosses   = 16
)

// Content identifies what several requests have in common: their whole body, or a part of their
// prompts.
type Content struct {
	// Account and Path are the client account and the path of requests with the body. For a part
	// of prompts, Account is empty and Path is the service.
	Account, Path string
	// Hash identifies the body or the part.
	Hash uint64
	// Part is set for a part of prompts.
	Part bool
}

// Process is one process of a backend server.
type Process struct {
	Address string
	ID      uint64
}

// Loss is a process that was lost while it ran a request, and may have ended.
type Loss struct {
	Process Process
	At      time.Duration
	// Trial identifies the trial that was lost; 0 if the request was none.
	Trial uint64
	// Joint is set if the trial was one of other content that is held back, too.
	Joint bool
}

// State is the restriction on content.
type State int

// The states, from the least to the most restrictive.
const (
	// Clear: requests with the content run without restriction.
	Clear State = iota
	// Held: only a trial may run.
	Held
	// Blocked: the trials were lost, so no request with the content may run.
	Blocked
)

// suspect is content with losses.
type suspect struct {
	content Content
	losses  map[Process]Loss
	// claim is the claim of a trial that goes before all others, and running is set while its trial
	// runs on this VM.
	claim   Claim
	running bool
	blocked bool
}

// Table holds the losses that this VM and other VMs found. It is not safe for concurrent use.
type Table struct {
	suspects map[Content]*list.Element
	// order contains the suspects by the time of their last loss, oldest first.
	order list.List
	// open are the processes in the losses.
	open map[Process]*openProcess
	// answered are the parts of prompts that were answered.
	answered answeredParts
}

// openProcess is a process in the losses of suspects.
type openProcess struct {
	suspects int
	// lostAt is the time of the last loss.
	lostAt time.Duration
	// respondedSince is when the first request was sent, after the last loss, to which the process
	// responded; 0 for none.
	respondedSince time.Duration
	// replaced is set if another process was found at its address.
	replaced bool
}

// New returns an empty table.
func New() *Table {
	return &Table{suspects: make(map[Content]*list.Element), open: make(map[Process]*openProcess)}
}

// Len returns the number of contents with losses.
func (t *Table) Len() int { return t.order.Len() }

// RecordLoss records a loss under content and returns the state that follows. The loss may have been
// found by another VM.
func (t *Table) RecordLoss(now time.Duration, content Content, loss Loss) State {
	if now-loss.At >= retention || content.Part && loss.Trial == 0 && t.answered.recently(now, content) {
		return t.State(now, content)
	}
	s := t.find(now, content)
	if s == nil {
		s = t.add(content)
	}
	known, ok := s.losses[loss.Process]
	if !ok && len(s.losses) >= maxLosses {
		t.removeLoss(s, s.leastTelling())
	}
	if !ok {
		t.openLoss(loss)
	} else {
		loss.At, loss.Trial, loss.Joint = min(known.At, loss.At), max(known.Trial, loss.Trial), known.Joint || loss.Joint
	}
	s.losses[loss.Process] = loss
	t.order.MoveToBack(t.suspects[content])
	if loss.Trial != 0 && loss.Trial == s.claim.Request {
		s.endClaim()
	}
	if !s.blocked && t.explainsTrials(s) {
		s.blocked = true
		t.removeExplained(s)
	}
	return t.state(s)
}

// leastTelling returns the process of the first loss that was no trial, or of the first one.
func (s *suspect) leastTelling() Process {
	losses := slices.SortedFunc(maps.Values(s.losses), compareLosses)
	if i := slices.IndexFunc(losses, func(loss Loss) bool { return loss.Trial == 0 }); i >= 0 {
		return losses[i].Process
	}
	return losses[0].Process
}

// removeExplained removes the losses that blocked content explains: those under content that was lost
// in joint trials with it, and, if it is a part of prompts, those under content all of whose servers
// ran it too.
func (t *Table) removeExplained(blocked *suspect) {
	for content, element := range t.suspects {
		other := element.Value.(*suspect)
		if content == blocked.content || !other.lostJointlyWith(blocked) && !(blocked.content.Part && other.lostOnlyWith(blocked)) {
			continue
		}
		for process := range blocked.losses {
			if _, ok := other.losses[process]; ok {
				t.removeLoss(other, process)
			}
		}
	}
}

// lostOnlyWith reports whether all losses were of servers that ran other content, too.
func (s *suspect) lostOnlyWith(other *suspect) bool {
	for process := range s.losses {
		if _, ok := other.losses[process]; !ok {
			return false
		}
	}
	return true
}

// State returns the restriction on content.
func (t *Table) State(now time.Duration, content Content) State {
	s := t.find(now, content)
	if s == nil {
		return Clear
	}
	return t.state(s)
}

func (t *Table) state(s *suspect) State {
	switch {
	case s.blocked:
		return Blocked
	case len(s.losses) >= lossesToHold:
		return Held
	default:
		return Clear
	}
}

// Losses returns the losses under content, the first one first.
func (t *Table) Losses(now time.Duration, content Content) []Loss {
	s := t.find(now, content)
	if s == nil {
		return nil
	}
	return slices.SortedFunc(maps.Values(s.losses), compareLosses)
}

func compareLosses(a, b Loss) int {
	return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Process.Address, b.Process.Address), cmp.Compare(a.Process.ID, b.Process.ID))
}

// RecordAnswer records that a request with the content was answered at a time, which clears it of
// earlier losses. It returns the state before, and whether there were any.
func (t *Table) RecordAnswer(now time.Duration, content Content, at time.Duration) (before State, cleared bool) {
	if content.Part {
		t.answered.add(now, content)
	}
	s := t.find(now, content)
	if s == nil {
		return Clear, false
	}
	before = t.state(s)
	for process, loss := range s.losses {
		if loss.At <= at {
			t.removeLoss(s, process)
			cleared = true
		}
	}
	return before, cleared
}

// RecordProcess records the process that is registered at an address.
func (t *Table) RecordProcess(current Process) {
	for process, o := range t.open {
		if process.Address == current.Address && process.ID != current.ID {
			o.replaced = true
		}
	}
}

// RecordResponse records that a process responded to a request that was sent at a time. The second
// response after aliveTime shows that it has not ended. It returns the contents that are no longer
// held back.
func (t *Table) RecordResponse(now time.Duration, process Process, sent time.Duration) []Content {
	o := t.open[process]
	if o == nil || o.replaced || sent <= o.lostAt {
		return nil
	}
	if o.respondedSince == 0 {
		o.respondedSince = sent
	}
	if sent-o.respondedSince < aliveTime {
		return nil
	}
	return t.removeProcess(now, process)
}

// removeProcess removes the losses of a process.
func (t *Table) removeProcess(now time.Duration, process Process) []Content {
	var released []Content
	for content := range t.suspects {
		s := t.find(now, content)
		if s == nil {
			continue
		}
		if _, ok := s.losses[process]; !ok {
			continue
		}
		state := t.state(s)
		t.removeLoss(s, process)
		if state == Held && t.State(now, content) == Clear {
			released = append(released, content)
		}
	}
	slices.SortFunc(released, CompareContents)
	return released
}

// CompareContents defines an order on contents.
func CompareContents(a, b Content) int {
	return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Path, b.Path), cmp.Compare(a.Hash, b.Hash))
}

// Evidence is a loss under content.
type Evidence struct {
	Content Content
	Loss    Loss
}

// HeldEvidence returns the losses under all content that is held back, for a VM that has started.
func (t *Table) HeldEvidence(now time.Duration, limit int) []Evidence {
	var evidence []Evidence
	for element := t.order.Back(); element != nil; element = element.Prev() {
		s := element.Value.(*suspect)
		if t.state(s) == Clear {
			continue
		}
		for _, loss := range t.Losses(now, s.content) {
			if len(evidence) == limit {
				return evidence
			}
			evidence = append(evidence, Evidence{Content: s.content, Loss: loss})
		}
	}
	return evidence
}

// find returns a suspect without the losses that have expired, or nil.
func (t *Table) find(now time.Duration, content Content) *suspect {
	element, ok := t.suspects[content]
	if !ok {
		return nil
	}
	s := element.Value.(*suspect)
	for process, loss := range s.losses {
		if now-loss.At >= retention {
			t.removeLoss(s, process)
		}
	}
	if len(s.losses) == 0 {
		return nil
	}
	return s
}

// add inserts a suspect. A full table evicts the oldest one that isn't held back, and only if all
// are the oldest of them.
func (t *Table) add(content Content) *suspect {
	if t.order.Len() >= maxContents {
		t.remove(t.evictionCandidate())
	}
	s := &suspect{content: content, losses: make(map[Process]Loss)}
	t.suspects[content] = t.order.PushBack(s)
	return s
}

func (t *Table) evictionCandidate() *suspect {
	for element := t.order.Front(); element != nil; element = element.Next() {
		if s := element.Value.(*suspect); t.state(s) == Clear {
			return s
		}
	}
	return t.order.Front().Value.(*suspect)
}

func (t *Table) remove(s *suspect) {
	for process := range s.losses {
		t.closeLoss(process)
	}
	t.order.Remove(t.suspects[s.content])
	delete(t.suspects, s.content)
}

// removeLoss removes a loss, and the suspect with its last one.
func (t *Table) removeLoss(s *suspect, process Process) {
	t.closeLoss(process)
	delete(s.losses, process)
	if len(s.losses) == 0 {
		t.order.Remove(t.suspects[s.content])
		delete(t.suspects, s.content)
	}
}

func (t *Table) openLoss(loss Loss) {
	o := t.open[loss.Process]
	if o == nil {
		o = &openProcess{}
		t.open[loss.Process] = o
	}
	o.suspects++
	if loss.At > o.lostAt {
		o.lostAt, o.respondedSince = loss.At, 0
	}
}

func (t *Table) closeLoss(process Process) {
	if o := t.open[process]; o != nil {
		if o.suspects--; o.suspects <= 0 {
			delete(t.open, process)
		}
	}
}
