package relay

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"oleandershunt.example/oleandershunt/internal/bootclock"
	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/poison"
	"oleandershunt.example/oleandershunt/internal/telemetry"
)

// The figures of requests that crash servers.
const (
	// judgeEvery is the time between two looks whether a crash can be judged.
	judgeEvery = 200 * time.Millisecond
	// comeBackPoison is when a request that crashes servers may try again: not while
	// anybody waits for its answer.
	comeBackPoison = time.Minute
	// newsKept is how many findings wait to be told to the other VMs.
	newsKept = 256
)

// Finding is what this VM holds against a body, as it tells others.
type Finding struct {
	Account   string `json:"a,omitempty"`
	Path      string `json:"p"`
	Hash      uint64 `json:"h"`
	Crashes   int    `json:"c,omitempty"`
	Condemned bool   `json:"x,omitempty"`
	Suspected bool   `json:"s,omitempty"`
	Server    string `json:"v"`
	Process   uint64 `json:"i,omitempty"`
	// AgeMS is how long ago the crash was, in milliseconds.
	AgeMS int64 `json:"t"`
}

// suspects holds the requests that may crash servers. internal/core/poison decides;
// what is lost is named by address, since a process that crashed comes back there
// under another ID. It is safe for concurrent use.
//
// What can go wrong: a request crashes each server that begins to run it. Its
// repeats, here and by the caller at any VM, take server after server away from all
// others. One notices servers that crash one after the other, each with the same
// path, account and body on it.
type suspects struct {
	mu    sync.Mutex
	table *poison.Table
	// news are the findings that wait to be told to the other VMs.
	news []poison.Finding
	// running counts the requests of each body that this VM has under way.
	running map[poison.Body]int
}

// suspectTime is how long a crash is held against a body that isn't condemned: callers
// come back within it, and what ran on two servers by chance is not refused for long.
const suspectTime = 30 * time.Second

func newSuspects() *suspects {
	return &suspects{table: poison.New(poison.Options{SuspectTime: suspectTime}), running: make(map[poison.Body]int)}
}

// bodyOf names what a request asks, whatever its ID is.
func bodyOf(x *exchange) poison.Body {
	hash := xxhash.New()
	_, _ = hash.WriteString(x.r.Method + "\n" + x.r.URL.RequestURI() + "\n") // a hash takes any bytes
	_, _ = hash.Write(x.body)
	return poison.Body{Account: x.account.Name, Pipeline: x.r.Host + x.r.URL.Path, Hash: max(hash.Sum64(), 1)}
}

// process tells one process of a server from the next.
func process(id string) uint64 { return max(xxhash.Sum64String(id), 1) }

// begin tells whether a request may run, and counts it. One that alone explains the
// crashes of several servers may not. One that was on several runs one at a time, so
// that an innocent one is soon known by its answer.
func (s *suspects) begin(body poison.Body) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	level := s.table.Level(bootclock.Now(), body)
	if level == poison.Condemned || level == poison.Isolate && s.running[body] > 0 {
		return false
	}
	s.running[body]++
	return true
}

// end takes a request off that may run.
func (s *suspects) end(body poison.Body) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[body]--; s.running[body] <= 0 {
		delete(s.running, body)
	}
}

// lossesToStop is after how many lost servers, crashed or not, a request is given up:
// what is found out about them decides whether it may come again.
const lossesToStop = 3

// repeats tells whether a request that lost servers may have another one.
func (s *suspects) repeats(body poison.Body) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Crashes(bootclock.Now(), body) < lossesToStop
}

// lost takes a connection to a server that broke with the request on it.
func (s *suspects) lost(body poison.Body, server backends.Server, sent time.Duration, events int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := bootclock.Now()
	loss := poison.Loss{Server: server.Address, Incarnation: process(server.ID), Body: body, Progress: events, Sent: sent}
	if s.table.Lost(now, loss) {
		s.tell(poison.Finding{
			Body: body, Crashes: s.table.Crashes(now, body), Suspected: true,
			Server: server.Address, Incarnation: loss.Incarnation, At: now,
		})
	}
}

func (s *suspects) tell(finding poison.Finding) {
	if len(s.news) < newsKept {
		s.news = append(s.news, finding)
	}
}

// closed says that nothing listens at a server's address any more.
func (s *suspects) closed(server backends.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Refused(bootclock.Now(), server.Address)
}

// Registered says which process is at an address now. Another one than before proves
// that the former ended.
func (h *Handler) Registered(server backends.Server) {
	h.suspects.mu.Lock()
	defer h.suspects.mu.Unlock()
	h.suspects.table.Seen(bootclock.Now(), 0, server.Address, process(server.ID))
}

// RunPoison judges crashes until ctx ends.
func (h *Handler) RunPoison(ctx context.Context) error {
	ticker := time.NewTicker(judgeEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			for _, finding := range h.suspects.judge() {
				telemetry.RelayPoison.Log(h.Log, "account", finding.Account, "path", finding.Pipeline, "hash", finding.Hash,
					"crashes", finding.Crashes, "server", finding.Server, "condemned", finding.Condemned)
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// judge decides what is due. It returns the findings that matter beyond one crash.
func (s *suspects) judge() []poison.Finding {
	s.mu.Lock()
	defer s.mu.Unlock()
	var grave []poison.Finding
	for _, finding := range s.table.Judge(bootclock.Now()) {
		s.tell(finding)
		if finding.Crashes > 1 || finding.Condemned {
			grave = append(grave, finding)
		}
	}
	return grave
}

// Findings are those that are new since it was last asked, for the other VMs.
func (h *Handler) Findings() []Finding {
	h.suspects.mu.Lock()
	defer h.suspects.mu.Unlock()
	now := bootclock.Now()
	var list []Finding
	for _, f := range h.suspects.news {
		list = append(list, Finding{
			Account: f.Account, Path: f.Pipeline, Hash: f.Hash, Crashes: f.Crashes, Condemned: f.Condemned, Suspected: f.Suspected,
			Server: f.Server, Process: f.Incarnation, AgeMS: (now - f.At).Milliseconds(),
		})
	}
	h.suspects.news = nil
	return list
}

// HeardFinding takes another VM's finding.
func (h *Handler) HeardFinding(f Finding) {
	h.suspects.mu.Lock()
	defer h.suspects.mu.Unlock()
	now := bootclock.Now()
	h.suspects.table.Learn(now, poison.Finding{
		Body:    poison.Body{Account: f.Account, Pipeline: f.Path, Hash: f.Hash},
		Crashes: f.Crashes, Condemned: f.Condemned, Suspected: f.Suspected,
		Server: f.Server, Incarnation: f.Process, At: now - time.Duration(f.AgeMS)*time.Millisecond,
	})
}

// acquit clears a request that ran to its end: what many ask for again and again is on
// every server that crashes.
func (s *suspects) acquit(body poison.Body) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Cleared(body)
}

// brokeOff notes an attempt whose connection broke after it was sent. One that the
// caller, the time limit or the server's planned stop ended says nothing about it.
func (h *Handler) brokeOff(x *exchange, o *opened, err error) {
	if err == nil || x.ctx.Err() != nil || errors.Is(context.Cause(o.ctx), errStalled) {
		return
	}
	if h.Dispatcher.leaving(o.choice.First.ID) {
		x.ended = append(x.ended, o.choice.First.ID)
		return
	}
	h.suspects.lost(x.poison, o.choice.First, o.begun, x.events)
}

// refusedConnection tells whether nothing listens at an address.
func refusedConnection(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// poisoned is the refusal of a request that crashes servers. This attempt of it has
// not run and won't.
func poisoned() *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: ReasonPoison, execution: NotRun, retryAfter: comeBackPoison}
}
