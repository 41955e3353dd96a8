package relay

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"oleandershunt.example/oleandershunt/internal/bootclock"
	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/poison"
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

// Finding is the evidence of this VM against a request body, as sent to the other VMs.
type Finding struct {
	Account   string `json:"a,omitempty"`
	Path      string `json:"p"`
	Hash      uint64 `json:"h"`
	Crashes   int    `json:"c,omitempty"`
	Condemned bool   `json:"x,omitempty"`
	Suspected bool   `json:"s,omitempty"`
	Server    string `json:"v"`
	Process   uint64 `json:"i,omitempty"`
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
	// pendingFindings are queued for the other VMs.
	pendingFindings []poison.Finding
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
	return &poisonSuspects{table: poison.New(poison.Options{SuspectTime: suspectTime}), running: make(map[poison.Body]int), changed: make(chan struct{}, 1)}
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
	_, _ = hash.Write(x.body)
	return poison.Body{Account: x.account.Name, Pipeline: x.r.Host + x.r.URL.Path, Hash: max(hash.Sum64(), 1)}
}

// processID distinguishes one process of a server from the next.
func processID(id string) uint64 { return max(xxhash.Sum64String(id), 1) }

// begin reports whether a request may run, and counts it if so. A body that alone explains the
// crashes of several servers may not run. A body that ran on several crashed servers runs one
// request at a time, so that a response soon clears one that is harmless.
func (s *poisonSuspects) begin(body poison.Body) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	level := s.table.Level(bootclock.Now(), body)
	if level == poison.Blocked || level == poison.Isolate && s.running[body] > 0 {
		return false
	}
	s.running[body]++
	return true
}

// end removes a request counted by begin.
func (s *poisonSuspects) end(body poison.Body) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[body]--; s.running[body] <= 0 {
		delete(s.running, body)
	}
}

// maxLosses is the number of lost servers, crashed or not, after which a request is given up.
// The evaluation of those losses decides whether later requests with the same body may run.
const maxLosses = 3

// retryAllowed reports whether a request on which servers were lost may have another attempt.
func (s *poisonSuspects) retryAllowed(body poison.Body) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.CrashCount(bootclock.Now(), body) < maxLosses
}

// recordLoss records that the connection to a server broke while the request was running.
func (s *poisonSuspects) recordLoss(body poison.Body, server backends.Server, sent time.Duration, events int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.wake()
	now := bootclock.Now()
	loss := poison.Loss{Server: server.Address, Incarnation: processID(server.ID), Body: body, Progress: events, Sent: sent}
	if s.table.RecordLoss(now, loss) {
		s.queueFinding(poison.Finding{
			Body: body, Crashes: s.table.CrashCount(now, body), Unproven: true,
			Server: server.Address, Incarnation: loss.Incarnation, At: now,
		})
	}
}

func (s *poisonSuspects) queueFinding(finding poison.Finding) {
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
		s.queueFinding(finding)
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
	list := encodeFindings(bootclock.Now(), h.suspects.pendingFindings)
	h.suspects.pendingFindings = nil
	return list
}

// Findings returns the findings that count, for a VM that has started.
func (h *Handler) Findings() []Finding {
	h.suspects.mu.Lock()
	defer h.suspects.mu.Unlock()
	now := bootclock.Now()
	return encodeFindings(now, h.suspects.table.Findings(now, maxPendingFindings))
}

func encodeFindings(now time.Duration, findings []poison.Finding) []Finding {
	var list []Finding
	for _, f := range findings {
		list = append(list, Finding{
			Account: f.Account, Path: f.Pipeline, Hash: f.Hash, Crashes: f.Crashes, Condemned: f.Blocked, Suspected: f.Unproven,
			Server: f.Server, Process: f.Incarnation, AgeMS: (now - f.At).Milliseconds(),
		})
	}
	return list
}

// ReceiveFinding applies another VM's finding.
func (h *Handler) ReceiveFinding(f Finding) {
	h.suspects.mu.Lock()
	defer h.suspects.mu.Unlock()
	now := bootclock.Now()
	h.suspects.table.MergeFinding(now, poison.Finding{
		Body:    poison.Body{Account: f.Account, Pipeline: f.Path, Hash: f.Hash},
		Crashes: f.Crashes, Blocked: f.Condemned, Unproven: f.Suspected,
		Server: f.Server, Incarnation: f.Process, At: now - time.Duration(f.AgeMS)*time.Millisecond,
	})
	h.suspects.wake()
}

// clear clears a request that completed: a popular request is in flight on every server that
// crashes.
func (s *poisonSuspects) clear(body poison.Body) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.ClearSuspicionAndLosses(body)
}

// recordBroken records an attempt whose connection broke after it was sent. The server is to be
// avoided unless only this VM's path to it is lost.
func (h *Handler) recordBroken(x *exchange, o *openAttempt, err error) {
	if h.brokenByPath(x, o, err) {
		x.recordRan(o.choice)
		return
	}
	h.recordBrokenConnection(x, o, err)
	x.recordFailure(o.choice)
}

// recordBrokenConnection records a broken connection as evidence against the request. A
// connection ended by the caller, the time limit or the server's planned stop is none.
func (h *Handler) recordBrokenConnection(x *exchange, o *openAttempt, err error) {
	if err == nil || x.ctx.Err() != nil || errors.Is(context.Cause(o.ctx), errStalled) {
		return
	}
	if h.Dispatcher.draining(o.choice.First.ID) {
		x.cutByDrain = append(x.cutByDrain, o.choice.First.ID)
		return
	}
	h.suspects.recordLoss(x.poison, o.choice.First, o.sentAt, x.events)
}

// poisonRefusal is the refusal of a request that crashes servers. This attempt of it has not
// run and won't.
func poisonRefusal() *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: ReasonPoison, execution: NotRun, retryAfter: retryAfterPoison}
}
