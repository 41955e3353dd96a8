package core

import (
	"fmt"
	"slices"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/admit"
	"oleandershunt.example/oleandershunt/internal/core/poison"
	"oleandershunt.example/oleandershunt/internal/core/request"
)

// The prefixes of the pools' names.
const (
	poolModel   = "model/"
	poolService = "service/"
)

func newRequest(e RequestArrived) *request.Request {
	return &request.Request{
		ID:           e.Request,
		Account:      e.Account,
		Pipeline:     e.Pipeline,
		Route:        e.Route,
		Key:          e.Key,
		KeyGiven:     e.KeyGiven,
		BodyHash:     e.BodyHash,
		Priority:     e.Priority,
		PromptTokens: e.PromptTokens,
		Prefixes:     e.PrefixHashes,
		MaxTokens:    e.MaxTokens,
		Idempotent:   e.Idempotent,
		Deadline:     e.Deadline,
		State:        request.Arrived,
		Execution:    request.NotRun,
	}
}

func (m *Machine) requestArrived(now Time, e RequestArrived) []Action {
	r := newRequest(e)
	m.note(now, r, Note{Step: StepArrived, Until: r.Deadline})
	if m.refusedOnArrival(now, r) {
		return m.finishStep(now)
	}
	m.requests[r.ID] = r
	m.requestSlot(now, r, false)
	return m.finishStep(now)
}

// refusedOnArrival refuses a request that can't or may not run regardless of the
// load, and reports whether it did.
func (m *Machine) refusedOnArrival(now Time, r *request.Request) bool {
	switch {
	case m.config.Release == 0:
		m.refuse(now, r, request.ReasonNoConfiguration, request.NotRun, retryAfterNoConfiguration)
	case !m.assignPool(r):
		m.refuse(now, r, request.ReasonUnknownPipeline, request.NotRun, 0)
	case now >= r.Deadline:
		m.refuse(now, r, request.ReasonDeadline, request.NotRun, 0)
	case m.lifecycle.poison.Level(now, bodyOf(r)) == poison.Blocked:
		m.refuse(now, r, request.ReasonPoison, request.Ran, 0)
	case r.KeyGiven && r.Idempotent && r.BodyHash != 0 && !m.lifecycle.keys.CheckAndRecord(now, r.Account, r.Key, r.BodyHash):
		m.refuse(now, r, request.ReasonBodyDiffers, request.NotRun, 0)
	default:
		return false
	}
	return true
}

func (m *Machine) assignPool(r *request.Request) bool {
	want, ok := m.requirements(r)
	if !ok {
		return false
	}
	r.Pool = poolModel + want.model
	if want.service != "" {
		r.Pool = poolService + want.service
	}
	return true
}

// requestSlot asks admission control for a slot, and starts, queues or refuses the
// request accordingly. readmitted says that the request was admitted before, so
// that it isn't counted twice against its account's rate.
func (m *Machine) requestSlot(now Time, r *request.Request, readmitted bool) {
	spec, _ := m.config.Account(r.Account)
	limits := admit.Limits{Weight: spec.Weight, PerSecond: spec.RequestsPerSecond, Burst: spec.Burst}
	if limits.PerSecond > 0 && m.lifecycle.nextUsageAt == 0 {
		m.lifecycle.nextUsageAt = now + usageInterval
	}
	decision := m.lifecycle.admission.Offer(now, admit.Item{
		ID:           r.ID,
		Account:      r.Account,
		Pool:         r.Pool,
		Priority:     r.Priority,
		Deadline:     r.Deadline,
		PromptTokens: r.PromptTokens,
		MaxTokens:    r.MaxTokens,
		RateCharged:  readmitted,
	}, limits)
	for _, evicted := range decision.Evicted {
		m.endRefused(now, m.requests[evicted.ID], request.ReasonOverloaded, evicted.RetryAfter)
	}
	switch {
	case decision.Start:
		m.start(now, r)
	case decision.Reason != "":
		m.endRefused(now, r, decision.Reason, decision.RetryAfter)
	default:
		r.Transition(request.Queued)
		m.waitUntil(r, r.Deadline)
		m.note(now, r, Note{Step: StepQueued, Until: r.Deadline, Text: queueText(decision.EstimatedWait)})
		m.markFreed(r.Pool)
	}
}

func queueText(wait time.Duration) string {
	if wait == 0 {
		return "every slot is taken"
	}
	return fmt.Sprintf("every slot is taken, about %v to wait", wait.Round(time.Millisecond))
}

// start claims or dispatches a request that got a slot, or parks or refuses it
// because of its body.
func (m *Machine) start(now Time, r *request.Request) {
	r.HasSlot = true
	body := bodyOf(r)
	m.lifecycle.running[body]++
	switch level := m.lifecycle.poison.Level(now, body); {
	case level == poison.Blocked:
		m.endRefusedAs(now, r, request.ReasonPoison, request.Ran, 0)
	case level >= poison.Suspect && (m.lifecycle.running[body] > 1 || m.lifecycle.poison.DecisionPending(body)):
		m.park(now, r)
	case !r.Idempotent:
		m.claim(now, r)
	default:
		m.dispatch(now, r)
	}
}

// park makes a request with a suspect body wait until no other request with the
// same body runs and no verdict on the body is pending, so that a body that does
// crash servers crashes only one at a time.
func (m *Machine) park(now Time, r *request.Request) {
	m.releaseSlot(now, r, false)
	body := bodyOf(r)
	m.lifecycle.parked[body] = append(m.lifecycle.parked[body], r.ID)
	r.Transition(request.Queued)
	m.waitUntil(r, r.Deadline)
	m.note(now, r, Note{Step: StepIsolated, Until: r.Deadline, Text: "its body is suspected of crashing a server; it waits until no other request with it runs and no verdict is due"})
}

// unpark lets the parked requests of the released bodies ask for a slot: one at a
// time while the body is suspect, all of them once it is cleared.
func (m *Machine) unpark(now Time) {
	for len(m.lifecycle.releasedBodies) > 0 {
		body := m.lifecycle.releasedBodies[0]
		m.lifecycle.releasedBodies = m.lifecycle.releasedBodies[1:]
		waiting := slices.Clone(m.lifecycle.parked[body])
		for _, id := range waiting {
			suspect := m.lifecycle.poison.Level(now, body) >= poison.Suspect
			if suspect && (m.lifecycle.running[body] > 0 || m.lifecycle.poison.DecisionPending(body)) {
				break
			}
			r := m.requests[id]
			m.removeParked(r)
			m.requestSlot(now, r, true)
		}
	}
}

func (m *Machine) removeParked(r *request.Request) {
	body := bodyOf(r)
	parked, ok := m.lifecycle.parked[body]
	if !ok {
		return
	}
	parked = slices.DeleteFunc(parked, func(id request.ID) bool { return id == r.ID })
	if len(parked) == 0 {
		delete(m.lifecycle.parked, body)
		return
	}
	m.lifecycle.parked[body] = parked
}
