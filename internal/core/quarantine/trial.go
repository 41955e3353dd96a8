package quarantine

import "time"

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
// 0. Without leave to run, it returns the worst state and one content in that state.
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
	for _, s := range held {
		if s.trial != 0 || !t.trialDue(now, s, vms) {
			return worst, s.content, false
		}
	}
	for _, s := range held {
		s.trial = request
	}
	return Clear, Content{}, true
}

// EndTrial ends the trial of a request with contents.
func (t *Table) EndTrial(contents []Content, request uint64) {
	for _, c := range contents {
		if element, ok := t.suspects[c]; ok && element.Value.(*suspect).trial == request {
			element.Value.(*suspect).trial = 0
		}
	}
}

// trialDue reports whether this VM may begin a trial of content now. Contents differ in the windows
// in which their trials begin, so that the trial of one seldom meets another's on a server.
func (t *Table) trialDue(now time.Duration, s *suspect, vms VMs) bool {
	const windows = uint64(trialSlot / trialWindow)
	elapsed := now - s.lastLoss() - settleTime - time.Duration(s.content.Hash%windows)*trialWindow
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

// failedTrials returns the number of lost trials whose server didn't run the trial of other content.
func (t *Table) failedTrials(s *suspect) int {
	failed := 0
	for process, loss := range s.losses {
		if loss.Trial != 0 && !t.sharedTrial(s, process, loss.Trial) {
			failed++
		}
	}
	return failed
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
