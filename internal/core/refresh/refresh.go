// Package refresh decides when a VM reads the configuration from the platform, and which other VM it
// follows until then. Every read is billed, so one VM of a data centre reads for the others, which
// learn from it over one hop or several. The package does no I/O and reads no clock.
//
// A new version must be in force within a fixed time (the apply time). What a VM knows was proven to
// be the newest at a known moment, the time of its proof; so a VM that gets no younger proof from
// others has to read by itself in time, whatever the others do. No wait lasts longer than until that
// moment. The worst case is one sum: LastOwnAge of the apply time for a proof that isn't renewed, and
// ReadReserve for the read.
package refresh

import "time"

// Ages of the proof, as fractions of the apply time.
const (
	// ReaderAge is the age at which the VM that reads for its data centre reads again.
	ReaderAge = 0.45
	// firstStandbyAge and secondStandbyAge are the ages at which the VMs ranked next read. The
	// reader's own read has arrived there by then unless it takes a tenth of the apply time.
	firstStandbyAge  = 0.575
	secondStandbyAge = 0.65
	// firstOwnAge and LastOwnAge are the ages at which the other VMs read, the highest-ranked
	// first.
	firstOwnAge = 0.7
	LastOwnAge  = 0.75
	// switchAge is the age at which a VM next to the reader follows another VM, and switchAgePerHop
	// what each further hop adds: the VM in between has to learn from another one first.
	switchAge       = 0.6
	switchAgePerHop = 0.025
)

// Times of other waits, as fractions of the apply time.
const (
	// ReadReserve is the time that is left for a read that begins at LastOwnAge.
	ReadReserve = 1 - LastOwnAge
	// pollTime is the longest wait for a VM whose proof is no younger than this VM's.
	pollTime = 0.1
	// pauseTime is the time between two rounds of queries that all failed.
	pauseTime = 0.05
	// answerReserve is the time that an answer may take to arrive.
	answerReserve = 0.025
)

const (
	// MinRenewal is by how much a proof must be younger to count as another one. The age of the
	// same proof differs by the network delays on its way.
	MinRenewal = 200 * time.Millisecond
	// retryInterval is the time from the start of a failed read to the next one, for the VM that
	// reads for its data centre. It grows by half for each rank behind that VM: while the platform
	// is unavailable, 195 VMs that each read twice a second make 3,100 billed calls in eight
	// seconds. A VM that is partitioned from the others ranks first in its own view.
	retryInterval = 500 * time.Millisecond
	// minLongestRetry is the least that the time between two reads may grow to. A VM whose read
	// failed has the resync time, 3 s, to be up to date again.
	minLongestRetry = 1250 * time.Millisecond
	// fanOut is how many VMs of a data centre learn the configuration from one VM.
	fanOut = 16
)

// Position is a VM's position among the VMs of its data centre.
type Position struct {
	// Rank is the VM's rank, from 0, as the one that reads for the others. It is negative for a VM
	// that is not among them.
	Rank int
	// VMs is the number of live VMs of the data centre.
	VMs int
}

// upstream returns the rank of the VM from which this one learns. VMs with the same view of the live
// VMs compute the same tree, and the loss of one VM moves few others.
func (p Position) upstream() int { return (p.Rank - 1) / fanOut }

// hops returns the number of hops to the VM that reads.
func (p Position) hops() (hops int) {
	for ; p.Rank > 0; p.Rank = p.upstream() {
		hops++
	}
	return hops
}

// Upstream returns the rank of the VM from which this one learns, or false for the VM that reads for
// the others.
func (p Position) Upstream() (rank int, ok bool) {
	if p.Rank <= 0 {
		return 0, false
	}
	return p.upstream(), true
}

// standbys are the ranks of the VMs that read soon after the reader's proof is overdue.
var standbys = []int{1, 2}

// sources returns the ranks of the VMs that this one may follow, in order of preference: those that
// read before this one. The reader follows the standbys while it can't read itself.
func (p Position) sources(readFailed bool) []int {
	if p.Rank <= 0 {
		if !readFailed {
			return nil
		}
		return standbys[:max(min(len(standbys), p.VMs-1), 0)]
	}
	sources := []int{p.upstream()}
	for _, rank := range append([]int{0}, standbys...) {
		if rank < p.Rank && rank != sources[0] {
			sources = append(sources, rank)
		}
	}
	return sources
}

// Action is what a VM does next.
type Action int

// The actions.
const (
	// Read reads the platform.
	Read Action = iota
	// Follow waits until a VM has a newer version or a younger proof.
	Follow
	// Wait does nothing.
	Wait
)

// Step is an action with its end.
type Step struct {
	Action Action
	// Source is the rank of the VM to follow.
	Source int
	// Until is when the wait ends, and Deadline when an answer is of no use any more.
	Until, Deadline time.Duration
}

// Schedule is the state of one VM. Times are by its clock.
type Schedule struct {
	applyTime time.Duration
	// readAt is the start of the last read, and readFailed whether it gave no younger proof.
	readAt     time.Duration
	readFailed bool
	// source counts the changes of the source, the last one at switchedAt, and failed the
	// sources in a row that had nothing new.
	source, failed int
	switchedAt     time.Duration
}

// SetApplyTime sets the time within which a new version must be in force.
func (s *Schedule) SetApplyTime(applyTime time.Duration) { s.applyTime = applyTime }

// Next returns what a VM does whose proof is of the given time.
func (s *Schedule) Next(now, provenAt time.Duration, p Position) Step {
	due := s.due(provenAt, p)
	if now >= due {
		return Step{Action: Read}
	}
	sources := p.sources(s.readFailed)
	last := due - s.fraction(answerReserve)
	if len(sources) == 0 || now >= last {
		return Step{Action: Wait, Until: due}
	}
	if s.failed >= len(sources) {
		s.failed = 0
		return Step{Action: Wait, Until: min(due, now+s.fraction(pauseTime))}
	}
	index, until := s.source%len(sources), now+s.fraction(pollTime)
	if index == 0 {
		until = max(until, provenAt+s.fraction(switchAge+float64(p.hops()-1)*switchAgePerHop))
	}
	return Step{Action: Follow, Source: sources[index], Until: min(until, last), Deadline: due}
}

// due returns when the VM reads unless it gets a younger proof.
func (s *Schedule) due(provenAt time.Duration, p Position) time.Duration {
	due := provenAt + s.fraction(p.dueAge())
	if s.readFailed {
		due = max(due, s.readAt+s.retryAfter(p.Rank))
	}
	return due
}

// dueAge returns the age of the proof at which the VM reads.
func (p Position) dueAge() float64 {
	switch {
	case p.Rank <= 0:
		return ReaderAge
	case p.Rank == 1:
		return firstStandbyAge
	case p.Rank == 2:
		return secondStandbyAge
	}
	first := len(standbys) + 1
	return firstOwnAge + (LastOwnAge-firstOwnAge)*float64(p.Rank-first)/float64(max(p.VMs-first, p.Rank-first, 1))
}

// retryAfter returns the time from the start of a failed read to the next one.
func (s *Schedule) retryAfter(rank int) time.Duration {
	return min(retryInterval+time.Duration(max(rank, 0))*retryInterval/2, max(s.fraction(LastOwnAge), minLongestRetry))
}

// ReadEnded records a read that was sent at a time, and whether it gave no younger proof.
func (s *Schedule) ReadEnded(sent time.Duration, failed bool) {
	s.readAt, s.readFailed = sent, failed
	if !failed {
		s.source, s.failed = 0, 0
	}
}

// FollowEnded records the end of a wait at another VM. renewed is set if the VM has a younger proof
// now.
func (s *Schedule) FollowEnded(now time.Duration, renewed bool) {
	if !renewed {
		s.failed++
		s.source++
		s.switchedAt = now
		return
	}
	s.failed = 0
	if now-s.switchedAt >= s.applyTime {
		s.source = 0
	}
}

func (s *Schedule) fraction(fraction float64) time.Duration {
	return time.Duration(fraction * float64(s.applyTime))
}
