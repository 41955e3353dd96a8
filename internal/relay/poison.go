package relay

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"oleandershunt.example/oleandershunt/internal/bootclock"
	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/poison"
	"oleandershunt.example/oleandershunt/internal/core/quarantine"
	"oleandershunt.example/oleandershunt/internal/telemetry"
)

// Limits of the detection of requests that crash servers.
const (
	// evaluateInterval is the minimum time between two evaluations of crashes.
	evaluateInterval = 200 * time.Millisecond
	// retryAfterPoison is the Retry-After of a request that crashes servers: longer than any
	// caller waits for its response.
	retryAfterPoison = time.Minute
	// maxPendingFindings bounds the findings queued for the other VMs.
	maxPendingFindings = 256
)

// Finding is the evidence of this VM against a request body or a part of prompts, as sent to the
// other VMs.
type Finding struct {
	Account   string `json:"a,omitempty"`
	Path      string `json:"p"`
	Hash      uint64 `json:"h"`
	Crashes   int    `json:"c,omitempty"`
	Condemned bool   `json:"x,omitempty"`
	Suspected bool   `json:"s,omitempty"`
	Server    string `json:"v"`
	Process   uint64 `json:"i,omitempty"`
	// Begun is set if the body's response had begun, and Unreached if no VM reached a server of the
	// service, so that the links may have been lost. Both are set for suspected ones only.
	Begun     bool `json:"b,omitempty"`
	Unreached bool `json:"u,omitempty"`
	// Trial identifies the trial that was lost; 0 if the request was none. Joint is set if it was one
	// of other content, too.
	Trial uint64 `json:"r,omitempty"`
	Joint bool   `json:"j,omitempty"`
	// Part is set for a part of prompts. Path is its service then, and Account is empty.
	Part bool `json:"q,omitempty"`
	// Claimed is the hash of a body of which a request, named by Trial, is to run a trial. Hash is 0
	// then.
	Claimed uint64 `json:"k,omitempty"`
	// Answered is the hash of a body that was answered, so that earlier losses don't count. Hash is
	// 0 then, for which earlier builds ignore a finding.
	Answered uint64 `json:"z,omitempty"`
	// AgeMS is the time since the crash, in milliseconds.
	AgeMS int64 `json:"t"`
}

// poisonSuspects tracks the requests that may crash servers; internal/core/poison decides. Lost
// servers are identified by address, since a crashed process restarts there under another ID.
// It is safe for concurrent use.
//
// What can go wrong: a request crashes each server that begins to run it. Its retries, here and
// by the caller on any VM, take down one server after another for all callers. The symptom is
// servers that crash one after the other, each running a request with the same path, account
// and body.
type poisonSuspects struct {
	mu    sync.Mutex
	table *poison.Table
	// quarantine holds back what requests have in common on which several servers were lost.
	quarantine *quarantine.Table
	// pendingFindings are queued for the other VMs.
	pendingFindings []timedFinding
	// reporting is set while findings are collected for a report.
	reporting bool
	// running counts this VM's requests in flight by body.
	running map[poison.Body]int
	// changed wakes RunPoisonDetection when an evaluation may be due.
	changed chan struct{}
}

// suspectTime is how long a crash counts against a body that isn't condemned: callers retry
// within it, and a request that ran on two crashed servers by coincidence isn't refused for
// long.
const suspectTime = 30 * time.Second

func newPoisonSuspects() *poisonSuspects {
	return &poisonSuspects{table: poison.New(poison.Options{SuspectTime: suspectTime}), quarantine: quarantine.New(), running: make(map[poison.Body]int), changed: make(chan struct{}, 1)}
}

// wake wakes RunPoisonDetection if something is pending. s.mu must be held.
func (s *poisonSuspects) wake() {
	if _, pending := s.table.NextDue(); !pending {
		return
	}
	select {
	case s.changed <- struct{}{}:
	default: // it is being woken already
	}
}

// nextEvaluation returns a channel that receives when the next evaluation is due, or nil while
// nothing is pending. last is when crashes were last evaluated.
func (s *poisonSuspects) nextEvaluation(last time.Duration) <-chan time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	due, pending := s.table.NextDue()
	if !pending {
		return nil
	}
	return time.After(max(due, last+evaluateInterval) - bootclock.Now())
}

// poisonBody identifies the content of a request, independent of its ID.
func poisonBody(x *exchange) poison.Body {
	hash := xxhash.New()
	_, _ = hash.WriteString(x.r.Method + "\n" + x.r.URL.RequestURI() + "\n") // a hash takes any bytes
	for _, chunk := range x.body.chunks {
		_, _ = hash.Write(chunk)
	}
	return poison.Body{Account: x.account.Name, Pipeline: x.r.Host + x.r.URL.Path, Hash: max(hash.Sum64(), 1)}
}

// processID distinguishes one process of a server from the next.
func processID(id string) uint64 { return max(xxhash.Sum64String(id), 1) }

// begin returns why a request may not run, or nil and counts it. A body that alone explains the
// crashes of several servers may not run. A body that ran on several crashed servers runs one
// request at a time, so that a response soon clears one that is harmless.
func (s *poisonSuspects) begin(x *exchange) *refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	level := s.table.Level(bootclock.Now(), x.poison)
	if level == poison.Blocked || level == poison.Isolate && s.running[x.poison] > 0 {
		return poisonRefusal()
	}
	s.running[x.poison]++
	return nil
}

// end removes a request counted by begin.
func (s *poisonSuspects) end(x *exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quarantine.EndTrial(x.contents, x.claim)
	if s.running[x.poison]--; s.running[x.poison] <= 0 {
		delete(s.running, x.poison)
	}
}

// maxLosses is the number of lost servers, crashed or not, after which a request is given up.
// The evaluation of those losses decides whether later requests with the same body may run.
const maxLosses = 3

// retryAllowed reports whether a request on which servers were lost may have another attempt.
func (s *poisonSuspects) retryAllowed(x *exchange) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.CrashCount(bootclock.Now(), x.poison) < maxLosses && (x.begun || s.stateLocked(x) == quarantine.Clear)
}

// recordLoss records that the connection to a server broke while the request was running.
func (s *poisonSuspects) recordLoss(body poison.Body, server backends.Server, sent time.Duration, events int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.wake()
	now := bootclock.Now()
	loss := poison.Loss{Server: server.Address, Incarnation: processID(server.ID), Body: body, Progress: events, Sent: sent}
	s.table.RecordLoss(now, loss)
}

// timedFinding is a finding for the other VMs. Its age counts from at.
type timedFinding struct {
	Finding
	at time.Duration
}

func (f timedFinding) aged(now time.Duration) Finding {
	f.AgeMS = (now - f.at).Milliseconds()
	return f.Finding
}

func (s *poisonSuspects) queueFinding(finding timedFinding) {
	if len(s.pendingFindings) < maxPendingFindings {
		s.pendingFindings = append(s.pendingFindings, finding)
	}
}

// recordConnectionRefused records that nothing listens at a server's address any more.
func (s *poisonSuspects) recordConnectionRefused(server backends.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.ConnectionRefused(bootclock.Now(), server.Address)
	s.wake()
}

// ObserveProcess records the process at a server's address. A process other than the previous one
// proves that the previous one has ended.
func (h *Handler) ObserveProcess(server backends.Server) {
	h.suspects.mu.Lock()
	defer h.suspects.mu.Unlock()
	h.suspects.table.RecordProbedIncarnation(bootclock.Now(), 0, server.Address, processID(server.ID))
	h.suspects.quarantine.RecordProcess(processOf(server))
	h.suspects.wake()
}

// RunPoisonDetection evaluates crashes until ctx ends.
func (h *Handler) RunPoisonDetection(ctx context.Context) error {
	last := bootclock.Now()
	for {
		select {
		case <-h.suspects.changed: // the next evaluation may be due earlier
		case <-h.suspects.nextEvaluation(last):
			last = bootclock.Now()
			for _, finding := range h.suspects.evaluate() {
				h.keepBlocked(finding)
				telemetry.RelayPoison.Log(h.Log, "account", finding.Account, "path", finding.Pipeline, "hash", finding.Hash,
					"crashes", finding.Crashes, "server", finding.Server, "condemned", finding.Blocked)
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// evaluate makes the decisions that are due. It returns the findings that concern more than one
// crash.
func (s *poisonSuspects) evaluate() []poison.Finding {
	s.mu.Lock()
	defer s.mu.Unlock()
	var reportable []poison.Finding
	for _, finding := range s.table.Evaluate(bootclock.Now()) {
		s.queueFinding(newTimedFinding(finding))
		if finding.Crashes > 1 || finding.Blocked {
			reportable = append(reportable, finding)
		}
	}
	return reportable
}

// TakeFindings returns the findings since the last call, for the other VMs.
func (h *Handler) TakeFindings() []Finding {
	h.suspects.mu.Lock()
	defer h.suspects.mu.Unlock()
	now := bootclock.Now()
	var list []Finding
	for _, finding := range h.suspects.pendingFindings {
		list = append(list, finding.aged(now))
	}
	h.suspects.pendingFindings = nil
	return list
}

// Findings returns the findings that count, for a VM that has started.
func (h *Handler) Findings() []Finding {
	h.suspects.mu.Lock()
	defer h.suspects.mu.Unlock()
	now := bootclock.Now()
	var list []Finding
	for _, finding := range h.suspects.table.Findings(now, maxPendingFindings) {
		list = append(list, newTimedFinding(finding).aged(now))
	}
	for _, evidence := range h.suspects.quarantine.HeldEvidence(now, maxPendingFindings) {
		list = append(list, lossFinding(evidence.Content, evidence.Loss).aged(now))
	}
	return list
}

func newTimedFinding(f poison.Finding) timedFinding {
	return timedFinding{at: f.At, Finding: Finding{
		Account: f.Account, Path: f.Pipeline, Hash: f.Hash, Crashes: f.Crashes, Condemned: f.Blocked, Suspected: f.Unproven,
		Server: f.Server, Process: f.Incarnation,
	}}
}

// ReceiveFinding applies another VM's finding.
func (h *Handler) ReceiveFinding(f Finding) {
	h.suspects.mu.Lock()
	defer h.suspects.mu.Unlock()
	now := bootclock.Now()
	at := now - time.Duration(f.AgeMS)*time.Millisecond
	h.mergeQuarantine(now, at, f)
	if f.Answered != 0 || f.Claimed != 0 || f.Unreached || f.Part {
		return
	}
	h.suspects.table.MergeFinding(now, poison.Finding{
		Body:    poison.Body{Account: f.Account, Pipeline: f.Path, Hash: f.Hash},
		Crashes: f.Crashes, Blocked: f.Condemned, Unproven: f.Suspected,
		Server: f.Server, Incarnation: f.Process, At: at,
	})
	h.suspects.wake()
}

// recordBroken records an attempt whose connection broke after it was sent. The server is to be
// avoided unless it may be only this VM's path to it that is lost.
func (h *Handler) recordBroken(x *exchange, o *openAttempt, err error) {
	brokenAt, server := bootclock.Now(), o.choice.First
	cause := h.examineLoss(x, o, err)
	switch draining := h.Dispatcher.draining(server.ID); {
	case cause == lossOfServer && draining:
		x.cutByDrain = append(x.cutByDrain, server.ID)
	case cause == lossOfServer:
		h.quarantineLoss(x, server, brokenAt, false)
		h.suspects.recordLoss(x.poison, server, o.sentAt, x.events)
	case cause == lossUnexplained && !draining:
		h.quarantineLoss(x, server, brokenAt, true)
	}
	if cause == lossOfPath || cause == lossUnexplained {
		x.recordRan(o.choice)
		return
	}
	x.recordFailure(o.choice)
}

// poisonRefusal is the refusal of a request that crashes servers. This attempt of it has not
// run and won't.
func poisonRefusal() *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: ReasonPoison, execution: NotRun, retryAfter: retryAfterPoison}
}
