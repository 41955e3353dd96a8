package quarantine

import (
	"slices"
	"time"
)

const (
	// ClaimTime is how long a request waits between its claim of a trial and the trial, so that it
	// hears of the claims that other VMs make at the same time.
	ClaimTime = time.Second
	// claimTolerance is the difference in time below which two claims count as made at the same
	// time.
	claimTolerance = 400 * time.Millisecond
	// claimRetention is how long a claim keeps other requests from a trial if nothing is heard of it.
	claimRetention = 5 * time.Second
	// settleTime is how long after a loss there is no trial, so that all VMs know of the loss.
	settleTime = 700 * time.Millisecond
)

// Claim is the intention of a request to run a trial.
type Claim struct {
	// Request identifies the request; 0 for no claim.
	Request uint64
	At      time.Duration
}

// before reports whether a claim goes before another one. VMs know the times of each other's claims
// only roughly.
func (c Claim) before(other Claim) bool {
	if difference := c.At - other.At; difference >= claimTolerance || difference <= -claimTolerance {
		return difference < 0
	}
	return c.Request < other.Request
}

// Decision is what a request may do.
type Decision int

const (
	// Run means that nothing that the request contains is held back.
	Run Decision = iota
	// Wait means that the request has claimed a trial; Resume decides after ClaimTime.
	Wait
	// RunTrial means that the request runs as a trial.
	RunTrial
	// Refuse means that the request may not run now.
	Refuse
	// RefuseBlocked means that the request may not run at all.
	RefuseBlocked
)

// Admit decides on a request with contents; request identifies it and isn't 0. Several contents whose
// joint trials were lost are blocked together, but each may run without the others. It returns the
// contents of which the request has claimed a trial.
func (t *Table) Admit(now time.Duration, contents []Content, request uint64) (Decision, []Content) {
	held, blocked := t.held(now, contents)
	switch {
	case blocked:
		return RefuseBlocked, nil
	case len(held) == 0:
		return Run, nil
	case slices.ContainsFunc(held, func(s *suspect) bool { return s.claimed(now) }):
		return Refuse, nil
	}
	var claimed []Content
	for _, s := range held {
		s.claim = Claim{Request: request, At: now}
		claimed = append(claimed, s.content)
	}
	return Wait, claimed
}

// Resume decides on a request that has waited for a trial.
func (t *Table) Resume(now time.Duration, contents []Content, request uint64) Decision {
	held, blocked := t.held(now, contents)
	switch {
	case blocked:
		return RefuseBlocked
	case len(held) == 0:
		return Run
	case slices.ContainsFunc(held, func(s *suspect) bool { return s.claim.Request != request || now-s.lastLoss() < settleTime }):
		return Refuse
	}
	for _, s := range held {
		s.running = true
	}
	return RunTrial
}

// OnTrial returns those contents of which a request runs a trial on this VM.
func (t *Table) OnTrial(contents []Content, request uint64) []Content {
	var onTrial []Content
	for _, c := range contents {
		if element, ok := t.suspects[c]; ok {
			if s := element.Value.(*suspect); s.running && s.claim.Request == request {
				onTrial = append(onTrial, c)
			}
		}
	}
	return onTrial
}

// EndTrial ends the claim of a request with contents, and its trial.
func (t *Table) EndTrial(contents []Content, request uint64) {
	for _, c := range contents {
		if element, ok := t.suspects[c]; ok && element.Value.(*suspect).claim.Request == request {
			element.Value.(*suspect).endClaim()
		}
	}
}

// RecordClaim records the claim of another VM's request.
func (t *Table) RecordClaim(now time.Duration, content Content, claim Claim) {
	s := t.find(now, content)
	if s == nil || s.running || s.lostTrial(claim.Request) {
		return
	}
	if !s.claimed(now) || claim.before(s.claim) {
		s.claim = claim
	}
}

// held returns the contents that are held back, and whether one or all of them together are blocked.
func (t *Table) held(now time.Duration, contents []Content) (held []*suspect, blocked bool) {
	for _, c := range contents {
		s := t.find(now, c)
		if s == nil || t.state(s) == Clear {
			continue
		}
		blocked = blocked || t.state(s) == Blocked
		held = append(held, s)
	}
	jointly := len(held) > 1 && !slices.ContainsFunc(held, func(s *suspect) bool { return s.jointTrials() < trialsToBlock })
	return held, blocked || jointly
}

// claimed reports whether a request has claimed a trial that hasn't ended.
func (s *suspect) claimed(now time.Duration) bool {
	return s.claim.Request != 0 && (s.running || now-s.claim.At < claimRetention)
}

func (s *suspect) endClaim() { s.claim, s.running = Claim{}, false }

func (s *suspect) lastLoss() time.Duration {
	last := time.Duration(0)
	for _, loss := range s.losses {
		last = max(last, loss.At)
	}
	return last
}

// lostTrial reports whether the trial of a request was lost.
func (s *suspect) lostTrial(request uint64) bool {
	for _, loss := range s.losses {
		if loss.Trial == request {
			return true
		}
	}
	return false
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
