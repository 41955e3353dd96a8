package core

import (
	"maps"
	"slices"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/fleet"
	"oleandershunt.example/oleandershunt/internal/core/poison"
	"oleandershunt.example/oleandershunt/internal/core/request"
)

// proofTimeout is how long a request that lost two servers waits for proof that
// it crashes them. It covers a probe, the reports on the server's other streams,
// and the findings of other VMs.
const proofTimeout = 3 * time.Second

func bodyOf(r *request.Request) poison.Body {
	body := poison.Body{Account: r.Account, Pipeline: r.Pipeline, Hash: r.BodyHash}
	if r.Route != "" {
		body.Pipeline = "route/" + r.Route
	}
	return body
}

// reportLoss records that a request may have crashed the server that was lost
// with it, and tells the other VMs.
func (m *Machine) reportLoss(now Time, r *request.Request, server string, progress int) {
	if status, ok := m.fleet.view.Status(server); ok && status.State == fleet.Leaving {
		// A planned stop that reaches its deadline also closes connections.
		return
	}
	loss := poison.Loss{Server: server, Body: bodyOf(r), Progress: progress, Sent: r.SentAt}
	for _, stage := range r.Path {
		if stage.Server == server {
			loss.Incarnation = stage.Incarnation
		}
	}
	if m.lifecycle.poison.RecordLoss(now, loss) {
		m.emit(PublishSuspicion{Finding: PoisonFinding{
			Account:     loss.Body.Account,
			Pipeline:    loss.Body.Pipeline,
			BodyHash:    loss.Body.Hash,
			Server:      server,
			Incarnation: loss.Incarnation,
			Crashes:     m.lifecycle.poison.CrashCount(now, loss.Body),
			Suspected:   true,
		}})
	}
}

// requestsServerObserved handles a backend server's report, which shows whether
// the server crashed and how loaded it is.
func (m *Machine) requestsServerObserved(now Time, e ServerObserved) []Action {
	if e.Witness == m.options.VM {
		m.lifecycle.poison.RecordProbedIncarnation(now, e.Age, e.Server, e.Incarnation)
	} else {
		m.lifecycle.poison.RecordPeerIncarnation(e.Server, e.Incarnation)
	}
	if spec, ok := m.config.Backend(e.Server); ok && !e.LoadUnknown {
		m.lifecycle.admission.ReportLoad(now, poolOf(spec), e.Server, e.Running, e.Waiting)
	}
	m.resumeProven(now)
	return m.finishStep(now)
}

// requestsProbeFailed handles a failed probe. Only a refused connection proves
// that the process has ended.
func (m *Machine) requestsProbeFailed(now Time, e ServerProbeFailed) []Action {
	if e.Refused && e.Witness == m.options.VM {
		m.lifecycle.poison.ConnectionRefused(now, e.Server)
	}
	return m.finishStep(now)
}

// evaluateCrashes evaluates the crashes and verdicts that are due, publishes the
// changed findings and refuses the condemned requests.
func (m *Machine) evaluateCrashes(now Time) {
	for _, finding := range m.lifecycle.poison.Evaluate(now) {
		m.emit(PublishPoisonFinding{Finding: PoisonFinding{
			Account:     finding.Account,
			Pipeline:    finding.Pipeline,
			BodyHash:    finding.Hash,
			Server:      finding.Server,
			Incarnation: finding.Incarnation,
			Crashes:     finding.Crashes,
			Condemned:   finding.Blocked,
		}})
		if finding.Blocked {
			m.refuseCondemned(now, finding.Body)
		}
	}
	m.resumeProven(now)
}

func (m *Machine) poisonFindingReceived(now Time, e PoisonFindingReceived) []Action {
	f := e.Finding
	body := poison.Body{Account: f.Account, Pipeline: f.Pipeline, Hash: f.BodyHash}
	newly := m.lifecycle.poison.MergeFinding(now, poison.Finding{
		Body: body, Crashes: f.Crashes, Blocked: f.Condemned, Unproven: f.Suspected,
		Server: f.Server, Incarnation: f.Incarnation, At: now - f.Age,
	})
	if newly {
		m.refuseCondemned(now, body)
	}
	m.resumeProven(now)
	return m.finishStep(now)
}

// refuseCondemned refuses the parked and waiting requests with a condemned body.
// Those in the pool's queue are refused when they get a slot.
func (m *Machine) refuseCondemned(now Time, body poison.Body) {
	for _, id := range slices.Concat(m.lifecycle.parked[body], m.lifecycle.awaitingProof) {
		r, ok := m.requests[id]
		if ok && bodyOf(r) == body && r.State != request.Dispatched {
			m.endRefusedAs(now, r, request.ReasonPoison, request.Ran, 0)
		}
	}
}

// resumeProven resumes the requests whose proof or verdict is no longer pending.
func (m *Machine) resumeProven(now Time) {
	for _, body := range slices.SortedFunc(maps.Keys(m.lifecycle.parked), poison.CompareBodies) {
		if m.lifecycle.running[body] == 0 && !m.lifecycle.poison.DecisionPending(body) {
			m.lifecycle.releasedBodies = append(m.lifecycle.releasedBodies, body)
		}
	}
	if len(m.lifecycle.awaitingProof) == 0 {
		return
	}
	waiting := m.lifecycle.awaitingProof
	m.lifecycle.awaitingProof = nil
	for _, id := range waiting {
		r, ok := m.requests[id]
		if !ok || r.State != request.Resuming {
			continue
		}
		if m.lifecycle.poison.DecisionPending(bodyOf(r)) {
			m.lifecycle.awaitingProof = append(m.lifecycle.awaitingProof, id)
			continue
		}
		r.WaitUntil = 0
		m.resume(now, r)
	}
}

// resume starts the next attempt of a request whose wait ended, if its body may
// still run.
func (m *Machine) resume(now Time, r *request.Request) {
	if m.lifecycle.poison.Level(now, bodyOf(r)) == poison.Blocked {
		m.endRefusedAs(now, r, request.ReasonPoison, request.Ran, 0)
		return
	}
	if now >= r.Deadline {
		// A new wait would expire in this same step and loop for ever.
		m.endRefused(now, r, request.ReasonDeadline, 0)
		return
	}
	if m.crashes(now, r) >= maxCrashes {
		m.endRefused(now, r, request.ReasonAttempts, proofTimeout)
		return
	}
	if due, ok := m.lifecycle.poison.BlockDue(bodyOf(r)); ok && now < due {
		// The proof came late. The verdict is due soon, and an attempt before it
		// might crash one more server.
		m.awaitProof(now, r, min(due, r.Deadline))
		return
	}
	m.dispatch(now, r)
}

// crashes returns how many servers the request itself, or all requests with its
// body, may have crashed, whichever is more.
func (m *Machine) crashes(now Time, r *request.Request) int {
	return max(r.SuspectedCrashes, m.lifecycle.poison.CrashCount(now, bodyOf(r)))
}

// isCrashSuspect reports whether a request is suspected strongly enough that its
// next attempt must run isolated and may have to wait for proof.
func (m *Machine) isCrashSuspect(now Time, r *request.Request) bool {
	return r.SuspectedCrashes > 0 && m.crashes(now, r) >= crashesNeedingProof
}

// needsProof reports whether a request has to wait for proof before its next
// attempt. Two crashes don't condemn a request that made enough progress after
// the first, so waiting for proof would only stall, for seconds, a stream that
// lost its servers to two unrelated failures. Its next attempt still runs
// isolated, and a third loss ends it.
func (m *Machine) needsProof(now Time, r *request.Request) bool {
	if !m.isCrashSuspect(now, r) || !m.lifecycle.poison.DecisionPending(bodyOf(r)) {
		return false
	}
	return r.LastProgress < poison.MinProgressTokens || m.crashes(now, r) > crashesNeedingProof
}

// awaitProof makes a request wait until the given time for proof of a crash by its
// body, or for the verdict on it.
func (m *Machine) awaitProof(now Time, r *request.Request, until Time) {
	if !slices.Contains(m.lifecycle.awaitingProof, r.ID) {
		m.lifecycle.awaitingProof = append(m.lifecycle.awaitingProof, r.ID)
	}
	r.ProofWaitAttempt = r.Attempt + 1
	r.Transition(request.Resuming)
	m.waitUntil(r, until)
	m.note(now, r, Note{Step: StepWaiting, Until: until, Text: "two servers were lost with it; proof is awaited whether it crashes them"})
}

func (m *Machine) beginIsolation(r *request.Request) {
	if !r.Isolated {
		return
	}
	for _, stage := range r.Path {
		m.lifecycle.isolated[stage.Server]++
	}
}

func (m *Machine) endIsolation(r *request.Request) {
	if !r.Isolated || r.State != request.Dispatched {
		return
	}
	r.Isolated = false
	for _, stage := range r.Path {
		if m.lifecycle.isolated[stage.Server]--; m.lifecycle.isolated[stage.Server] <= 0 {
			delete(m.lifecycle.isolated, stage.Server)
		}
	}
}
