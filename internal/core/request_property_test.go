package core_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core"
	"oleandershunt.example/oleandershunt/internal/core/admit"
	"oleandershunt.example/oleandershunt/internal/core/config"
	"oleandershunt.example/oleandershunt/internal/core/request"
	"oleandershunt.example/oleandershunt/internal/core/route"
	"oleandershunt.example/oleandershunt/internal/testutil"
)

const propertyChecks = 1000

func init() { testutil.FixRapid(propertyChecks) }

// requestModel is the test's model of one request, against which the machine's
// actions are checked.
type requestModel struct {
	arrived        core.RequestArrived
	attempt        int
	attemptRunning bool
	ended          bool
	tokens         int
	mayHaveRun     bool // an attempt ended without proof that it did not run
	ran            bool
	claimOpen      bool // a claim was sent and neither denied nor settled
	granted        bool
	validUntil     core.Time
	denials        int
	// peekSent says that a Peek was sent, peekSentAt when, and peekVerdict what the
	// answer was.
	peekSent    bool
	peekSentAt  core.Time
	peekVerdict core.Verdict
}

// simulation feeds events to a machine in random order and checks each action.
type simulation struct {
	t        *rapid.T
	machine  *core.Machine
	now      core.Time
	wakeAt   core.Time
	requests map[request.ID]*requestModel
}

// Guards against event orders in which a non-idempotent request runs twice, two
// attempts of a request overlap, a caller gets no answer or two, or a request that
// ran is refused as not run. Arrivals, verdicts, current and late ends of attempts,
// disconnects, crashes and elapsed time are generated in random order.
func TestRequestInvariantsHoldInAnyEventOrder(t *testing.T) {
	set := propertySet(t)
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t, requests: make(map[request.ID]*requestModel)}
		s.machine = core.New(core.Options{
			VM: "a", DataCentre: "d1", Policy: route.PolicyLeastInFlight, Seed: 1, MaxAttempts: 4,
			Requests: core.RequestOptions{
				Admission: admit.Options{PerServer: 1, FloorPerServer: 1, MaxLimit: 2, MaxQueued: 3},
				Retries:   request.BudgetOptions{Burst: 3},
			},
		})
		s.step(core.ConfigInForce{Set: set})
		t.Repeat(map[string]func(*rapid.T){
			"arrive":  func(*rapid.T) { s.arrive() },
			"peeked":  func(*rapid.T) { s.answerPeek() },
			"decide":  func(*rapid.T) { s.answerClaim() },
			"end":     func(*rapid.T) { s.endAttempt() },
			"late":    func(*rapid.T) { s.sendLateReport() },
			"gone":    func(*rapid.T) { s.disconnectCaller() },
			"server":  func(*rapid.T) { s.reportServer() },
			"advance": func(*rapid.T) { s.advance(core.Time(rapid.IntRange(1, 3000).Draw(s.t, "ms")) * time.Millisecond) },
		})
		s.finish()
	})
}

func propertySet(t *testing.T) *config.Set {
	var documents []api.Document
	add := func(kind api.Kind, name string, spec any) {
		document, err := api.NewDocument(kind, name, spec)
		if err != nil {
			t.Fatal(err)
		}
		documents = append(documents, document)
	}
	add(api.KindModel, "m", api.ModelSpec{Layers: 4, Version: "v1"})
	add(api.KindPipeline, "p", api.PipelineSpec{Model: "m"})
	for i := range 4 {
		add(api.KindBackendServer, fmt.Sprint("s", i), api.BackendServerSpec{Address: "127.0.0.1:1", DataCentre: "d1", Model: "m", Layers: api.Layers{From: 0, To: 4}})
	}
	set, err := config.Build(1, documents)
	if err != nil {
		t.Fatal(err)
	}
	return set
}

func (s *simulation) step(event core.Event) {
	for _, action := range s.machine.Step(s.now, event) {
		switch a := action.(type) {
		case core.WakeAt:
			if s.wakeAt == 0 || a.At < s.wakeAt {
				s.wakeAt = a.At
			}
		case core.Dispatch:
			s.checkDispatch(a)
		case core.Refuse:
			s.checkRefuse(a)
		case core.Peek:
			s.checkPeek(a)
		case core.Claim:
			s.checkClaim(a)
		case core.ClaimSettled:
			s.checkSettled(a)
		}
	}
}

func (s *simulation) require(ok bool, format string, args ...any) {
	if !ok {
		s.t.Fatalf(format, args...)
	}
}

func (s *simulation) checkDispatch(a core.Dispatch) {
	p := s.requests[a.Request]
	s.require(!p.ended && !p.attemptRunning, "%s is dispatched while an attempt runs or after its end", a.Request)
	s.require(a.Attempt == p.attempt+1, "%s: attempt %d after %d", a.Request, a.Attempt, p.attempt)
	s.require(a.FromToken == p.tokens, "%s resumes at token %d instead of %d", a.Request, a.FromToken, p.tokens)
	s.require(s.now < p.arrived.Deadline, "%s is dispatched after its deadline", a.Request)
	if !p.arrived.Idempotent {
		s.require(p.granted && s.now < p.validUntil, "%s is dispatched without a valid claim", a.Request)
		s.require(!p.mayHaveRun && !p.ran, "%s may run twice", a.Request)
	}
	p.attempt, p.attemptRunning = a.Attempt, true
}

func (s *simulation) checkRefuse(a core.Refuse) {
	p := s.requests[a.Request]
	s.require(!p.ended && !p.attemptRunning, "%s is refused while an attempt runs or after its end", a.Request)
	s.require(slices.Contains(a.Reason.Executions(), a.Execution), "%s: %s with %s", a.Request, a.Reason, a.Execution)
	switch {
	case p.peekSent:
		want, known := peekedExecutions[p.peekVerdict]
		s.require(known && a.Execution == want || p.peekVerdict == "" && a.Execution == request.MayHaveRun,
			"%s: refused for %s with %s after verdict %s on its key", a.Request, a.Reason, a.Execution, p.peekVerdict)
	case p.arrived.KeyGiven && !p.arrived.Idempotent && a.Execution == request.NotRun:
		s.require(p.granted && s.now < p.validUntil, "%s: refused for %s with %s although its key was not checked", a.Request, a.Reason, a.Execution)
	default:
		s.require(p.denials > 0 && p.attempt == 0 || a.Reason == request.ReasonPoison || a.Execution == p.execution() || s.claimTimedOut(p, a),
			"%s: refused for %s with %s instead of %s", a.Request, a.Reason, a.Execution, p.execution())
	}
	p.ended = true
}

// claimTimedOut reports whether a claim was not answered, so that it is unknown
// whether a request with the caller's key ran.
func (s *simulation) claimTimedOut(p *requestModel, a core.Refuse) bool {
	return a.Reason == request.ReasonClaimUndecided && p.arrived.KeyGiven && a.Execution == request.MayHaveRun
}

// peekedExecutions has the expected execution of a refusal for each verdict on a Peek.
var peekedExecutions = map[core.Verdict]request.Execution{
	core.VerdictFree:      request.NotRun,
	core.VerdictRan:       request.Ran,
	core.VerdictRunning:   request.MayHaveRun,
	core.VerdictUndecided: request.MayHaveRun,
}

func (s *simulation) checkPeek(a core.Peek) {
	p := s.requests[a.Request]
	s.require(!p.peekSent && !p.ended && p.arrived.KeyGiven && !p.arrived.Idempotent, "%s: unexpected peek", a.Request)
	s.require(p.execution() == request.NotRun, "%s: peek for a request whose own execution is %s", a.Request, p.execution())
	p.peekSent, p.peekSentAt = true, s.now
}

func (s *simulation) answerPeek() {
	p := s.pick(func(p *requestModel) bool { return p.peekSent && !p.ended })
	p.peekVerdict = rapid.SampledFrom(slices.Sorted(maps.Keys(peekedExecutions))).Draw(s.t, "word")
	s.step(core.ClaimPeeked{Request: p.arrived.Request, Verdict: p.peekVerdict})
	s.require(p.ended, "%s isn't refused after the answer to its peek", p.arrived.Request)
}

func (p *requestModel) execution() request.Execution {
	switch {
	case p.ran:
		return request.Ran
	case p.mayHaveRun:
		return request.MayHaveRun
	default:
		return request.NotRun
	}
}

func (s *simulation) checkClaim(a core.Claim) {
	p := s.requests[a.Request]
	s.require(!p.claimOpen && p.attempt == 0, "%s is claimed twice", a.Request)
	p.claimOpen = true
}

func (s *simulation) checkSettled(a core.ClaimSettled) {
	p := s.requests[a.Request]
	s.require(p.claimOpen, "%s is settled without a claim", a.Request)
	s.require(a.Execution == p.execution() || p.attemptRunning && a.Execution == request.MayHaveRun, "%s: claim settled as %s instead of %s", a.Request, a.Execution, p.execution())
	p.claimOpen = false
}

// pick draws one of the matching requests, or skips the step if there is none.
func (s *simulation) pick(matches func(*requestModel) bool) *requestModel {
	var found []*requestModel
	for _, id := range slices.Sorted(maps.Keys(s.requests)) {
		if matches(s.requests[id]) {
			found = append(found, s.requests[id])
		}
	}
	if len(found) == 0 {
		s.t.Skip("none")
	}
	return rapid.SampledFrom(found).Draw(s.t, "request")
}

func (s *simulation) arrive() {
	id := request.ID(fmt.Sprintf("r%03d", len(s.requests)))
	e := core.RequestArrived{
		Request: id, Pipeline: "p",
		Account:    rapid.SampledFrom([]string{"x", "y"}).Draw(s.t, "account"),
		Idempotent: rapid.Bool().Draw(s.t, "idempotent"),
		BodyHash:   uint64(rapid.IntRange(0, 3).Draw(s.t, "body")),
		Deadline:   s.now + core.Time(rapid.IntRange(1, 20000).Draw(s.t, "deadline"))*time.Millisecond,
		Key:        string(id),
		KeyGiven:   rapid.Bool().Draw(s.t, "keyGiven"),
	}
	s.requests[id] = &requestModel{arrived: e}
	s.step(e)
}

func (s *simulation) answerClaim() {
	p := s.pick(func(p *requestModel) bool { return p.claimOpen && !p.granted && !p.ended })
	verdicts := []core.Verdict{core.VerdictGranted, core.VerdictGranted, core.VerdictGranted, core.VerdictRan, core.VerdictUndecided}
	verdict := rapid.SampledFrom(verdicts).Draw(s.t, "verdict")
	e := core.ClaimDecided{Request: p.arrived.Request, Verdict: verdict}
	if verdict == core.VerdictGranted {
		e.ValidUntil = s.now + core.Time(rapid.IntRange(-1, 5).Draw(s.t, "valid"))*time.Second
		p.granted, p.validUntil = true, e.ValidUntil
	} else {
		p.claimOpen = false
		p.denials++
	}
	s.step(e)
}

func (s *simulation) endAttempt() {
	p := s.pick(func(p *requestModel) bool { return p.attemptRunning })
	s.endAttemptWith(p, rapid.SampledFrom([]request.Outcome{
		request.Completed, request.ProvenNotRun, request.Lost, request.Interrupted, request.BadReceipt, request.Moved,
	}).Draw(s.t, "outcome"))
}

func (s *simulation) endAttemptWith(p *requestModel, outcome request.Outcome) {
	e := core.AttemptEnded{Request: p.arrived.Request, Attempt: p.attempt, Outcome: outcome, Tokens: p.tokens}
	if outcome != request.Completed {
		e.Server = rapid.SampledFrom([]string{"s0", "s1", "s2", "s3", ""}).Draw(s.t, "server")
	}
	if outcome != request.ProvenNotRun {
		e.Tokens += rapid.IntRange(0, 30).Draw(s.t, "tokens")
	}
	p.tokens, p.attemptRunning = e.Tokens, false
	switch {
	case outcome == request.Completed:
		p.ended, p.ran = true, true
	case outcome == request.Interrupted || outcome == request.BadReceipt || p.tokens > 0:
		p.ran = true
	case outcome == request.Lost || outcome == request.Moved:
		p.mayHaveRun = true
	}
	s.step(e)
}

// sendLateReport reports the end of an attempt that is no longer current.
func (s *simulation) sendLateReport() {
	p := s.pick(func(p *requestModel) bool { return p.ended || p.attempt > 1 })
	attempt := p.attempt - 1
	if p.ended {
		attempt = p.attempt
	}
	s.step(core.AttemptEnded{Request: p.arrived.Request, Attempt: attempt, Outcome: request.Lost, Server: "s0", Tokens: p.tokens})
}

func (s *simulation) disconnectCaller() {
	p := s.pick(func(p *requestModel) bool { return !p.ended })
	p.ended = true
	s.step(core.CallerDisconnected{Request: p.arrived.Request})
	p.attemptRunning = false
}

func (s *simulation) reportServer() {
	name := rapid.SampledFrom([]string{"s0", "s1", "s2", "s3"}).Draw(s.t, "server")
	if rapid.Bool().Draw(s.t, "refused") {
		s.step(core.ServerProbeFailed{Server: name, Witness: "a", Refused: true})
		return
	}
	incarnation := uint64(rapid.IntRange(1, 3).Draw(s.t, "incarnation"))
	s.step(core.ServerObserved{Server: name, Witness: "a", Incarnation: incarnation, Running: 1})
}

// peekTimeout is how long a refusal may be deferred for the answer to its peek.
const peekTimeout = 200 * time.Millisecond

// advance moves the clock forward, with a Tick whenever one is due.
func (s *simulation) advance(by core.Time) {
	until := s.now + by
	for s.wakeAt != 0 && s.wakeAt <= until {
		s.now = max(s.now, s.wakeAt)
		s.wakeAt = 0
		s.step(core.Tick{})
	}
	s.now = until
	for id, p := range s.requests {
		s.require(p.ended || p.attemptRunning || s.now < p.arrived.Deadline || p.peekSent && s.now < p.peekSentAt+peekTimeout,
			"%s waits beyond its deadline", id)
	}
}

// finish advances the clock past every deadline and checks that every request has ended.
func (s *simulation) finish() {
	for range 100 {
		s.advance(time.Second)
		for _, id := range slices.Sorted(maps.Keys(s.requests)) {
			if p := s.requests[id]; p.attemptRunning && s.now >= p.arrived.Deadline {
				s.endAttemptWith(p, request.Lost)
			}
		}
	}
	for id, p := range s.requests {
		s.require(p.ended, "%s never ended", id)
		s.require(!p.claimOpen || p.denials > 0, "%s: claim was never settled", id)
	}
	s.require(s.machine.InFlight() == 0, "%d requests are still held", s.machine.InFlight())
}
