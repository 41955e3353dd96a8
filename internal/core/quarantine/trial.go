package quarantine

import (
	"slices"
	"time"
)

const (
	// settleTime is how long after its last loss content is held back without a trial, so that all
	// VMs know of the loss.
	settleTime = time.Second
	// trialSlot is the interval at which the right to a trial passes on to the next VMs: trialVMs at
	// first, one after a lost trial. A VM may begin trials of one content in a trialWindow of the
	// slot only: the rest of the slot is for the other VMs to learn the outcome.
	trialSlot   = 1200 * time.Millisecond
	trialWindow = 300 * time.Millisecond
	trialVMs    = 2
)

// VMs is this VM's place among the live VMs.
type VMs struct {
	// Position is this VM's position, from 0, in an order that all VMs agree on.
	Position int
	Count    int
}

// Admit decides whether a request with contents may run. It may if none is held back, or as a trial:
// then it takes the trial of each that is, until EndTrial. request identifies the request and isn't
// 0. Without leave to run, it returns the worst state and one content in that state. Several
// contents whose joint trials were lost are blocked together, but each may run without the others.
func (t *Table) Admit(now time.Duration, contents []Content, request uint64, vms VMs) (worst State, content Content, trial bool) {
	var held []*suspect
	for _, c := range contents {
		s := t.find(now, c)
		if s == nil || t.state(s) == Clear {
			continue
		}
		if state := t.state(s); state > worst {
			worst, content = state, c
		}
		held = append(held, s)
	}
	if worst != Held {
		return worst, content, false
	}
	if len(held) > 1 && slices.IndexFunc(held, func(s *suspect) bool { return s.jointTrials() < trialsToBlock }) < 0 {
		return Blocked, content, false
	}
	for _, s := range held {
		if s.trial != 0 || !s.trialDue(now, held[0].content.Hash, vms) {
			return worst, s.content, false
		}
	}
	for _, s := range held {
		s.trial = request
	}
	return Clear, Content{}, true
}

// Joint reports whether several of the contents are held back.
func (t *Table) Joint(now time.Duration, contents []Content) bool {
	held := 0
	for _, c := range contents {
		if t.State(now, c) != Clear {
			held++
		}
	}
	return held > 1
}

// EndTrial ends the trial of a request with contents.
func (t *Table) EndTrial(contents []Content, request uint64) {
	for _, c := range contents {
		if element, ok := t.suspects[c]; ok && element.Value.(*suspect).trial == request {
			element.Value.(*suspect).trial = 0
		}
	}
}

// trialDue reports whether this VM may begin a trial of content now. The window depends on a hash, so
// that trials of different contents seldom meet on a server.
func (s *suspect) trialDue(now time.Duration, hash uint64, vms VMs) bool {
	const windows = uint64(trialSlot / trialWindow)
	elapsed := now - s.lastLoss() - settleTime - time.Duration(hash%windows)*trialWindow
	if elapsed < 0 || elapsed%trialSlot >= trialWindow {
		return false
	}
	entitled := max(trialVMs-s.trials(), 1)
	if vms.Count <= entitled {
		return true
	}
	first := int(elapsed/trialSlot) * entitled
	offset := (vms.Position - first) % vms.Count
	return (offset+vms.Count)%vms.Count < entitled
}

func (s *suspect) lastLoss() time.Duration {
	last := time.Duration(0)
	for _, loss := range s.losses {
		last = max(last, loss.At)
	}
	return last
}

// trials returns the number of lost trials.
func (s *suspect) trials() int {
	trials := 0
	for _, loss := range s.losses {
		if loss.Trial != 0 {
			trials++
		}
	}
	return trials
}

// jointTrials returns the number of lost trials of this and other content.
func (s *suspect) jointTrials() int {
	joint := 0
	for _, loss := range s.losses {
		if loss.Joint {
			joint++
		}
	}
	return joint
}

// lostJointlyWith reports whether a joint trial of both contents was lost.
func (s *suspect) lostJointlyWith(other *suspect) bool {
	for process, loss := range s.losses {
		if loss.Joint && other.losses[process].Trial == loss.Trial {
			return true
		}
	}
	return false
}

// explainsTrials reports whether lost trials show that content ends servers: two, of which one at
// least was of this content alone, or maxTrials if the servers ran other trials as well.
func (t *Table) explainsTrials(s *suspect) bool {
	alone, lost, all := 0, 0, 0
	for process, loss := range s.losses {
		if loss.Trial == 0 {
			continue
		}
		if !loss.Joint {
			all++
		}
		if t.sharedTrial(s, process, loss.Trial) {
			continue
		}
		lost++
		if !loss.Joint {
			alone++
		}
	}
	return alone > 0 && lost >= trialsToBlock || all >= maxTrials
}

// sharedTrial reports whether a process was lost with the trial of another request, under other
// content.
func (t *Table) sharedTrial(s *suspect, process Process, trial uint64) bool {
	for element := t.order.Front(); element != nil; element = element.Next() {
		other := element.Value.(*suspect)
		if loss, ok := other.losses[process]; ok && other != s && loss.Trial != 0 && loss.Trial != trial {
			return true
		}
	}
	return false
}
