package entry

import (
	"context"
	"math"
	"strings"
	"sync/atomic"
	"time"

	"oleandershunt.example/oleandershunt/internal/core"
	"oleandershunt.example/oleandershunt/internal/core/route"
	"oleandershunt.example/oleandershunt/internal/schedclock"
)

// silentError ends an attempt whose path fell silent.
type silentError struct {
	// server is the stage at fault. Empty when each of the suspects may be.
	server   string
	suspects []string
}

// Error implements error.
func (e *silentError) Error() string {
	if e.server == "" {
		return "path fell silent: one of " + strings.Join(e.suspects, ", ") + " lost a step"
	}
	return "path fell silent at " + e.server
}

// watch ends an attempt when its path falls silent. A stalled engine keeps its
// connection open and sends nothing; only the silence shows it. The time that
// the caller takes to read doesn't count, nor that in which this process couldn't
// read: all times are by the server's clock.
type watch struct {
	server *Server
	path   route.Path
	cancel context.CancelCauseFunc
	begun  time.Duration
	timer  *time.Timer
	// since is when the wait for a frame began, in nanoseconds after begun. 0 when none is awaited.
	since atomic.Int64
	// flowing is set with the first token.
	flowing atomic.Bool
	limit   atomic.Int64
	stopped atomic.Bool
	// class is that of the tokens to prefill, and firstLimit the time for it.
	class      int
	firstLimit time.Duration
	// overdue is the wait that was last found to be longer than the limit, and
	// pulses the clock's count by then.
	overdue int64
	pulses  uint64
	// idle counts the probes in a row that found no stage at work.
	idle int

	// heard tells when each stage was heard, on this and other streams.
	heard []*heard
	gaps  gapCounts
	// last is when the last frame arrived.
	last time.Duration
}

// idleProbes is how many probes must find every stage idle before a path that
// has yet to give its first token counts as silent: one may fall between two steps.
const idleProbes = 2

// busyFactor times TokenSilence is how long a stream may be silent while every
// stage of its path makes steps.
const busyFactor = 4

// newWatch watches an attempt until stop. Prefill is how many tokens come
// before the first that is wanted.
func (s *Server) newWatch(dispatch core.Dispatch, prefill int, cancel context.CancelCauseFunc) *watch {
	w := &watch{server: s, path: dispatch.Path, class: promptClass(prefill), cancel: cancel, begun: s.clock.Now()}
	w.heard = s.silences.heardOf(w.path)
	w.firstLimit = s.silences.firstLimit(w.path, w.class, s.limits.FirstToken)
	w.limit.Store(int64(s.silences.limit(w.path)))
	w.await()
	// The timer is set once w.timer is, since check sets it again.
	w.timer = time.AfterFunc(math.MaxInt64, w.check)
	w.timer.Reset(time.Duration(w.limit.Load()))
	return w
}

func (w *watch) stop() {
	w.stopped.Store(true)
	w.timer.Stop()
	w.server.silences.learn(w.path, &w.gaps)
}

// passed is the time since the watch began.
func (w *watch) passed() time.Duration { return w.server.clock.Now() - w.begun }

// await begins a wait for a frame.
func (w *watch) await() { w.since.Store(max(int64(w.passed()), 1)) }

// arrived ends a wait. A frame that was there before the wait says nothing of the gap.
func (w *watch) arrived(waited bool) {
	w.last = w.passed()
	took := w.last - time.Duration(w.since.Swap(0))
	if !w.flowing.Swap(true) {
		w.server.silences.learnFirst(w.path, w.class, took)
		return
	}
	if !waited {
		return
	}
	w.gaps.add(took)
	if w.gaps.total >= learnEvery {
		w.server.silences.learn(w.path, &w.gaps)
		w.limit.Store(int64(w.server.silences.limit(w.path)))
	}
}

// proven notes that every stage of the path ran for the last frame.
func (w *watch) proven() {
	for _, h := range w.heard {
		h.note(w.begun + w.last)
	}
}

// check runs in the timer's goroutine.
func (w *watch) check() {
	if w.stopped.Load() {
		return
	}
	limit := time.Duration(w.limit.Load())
	since := w.since.Load()
	waited := w.passed() - time.Duration(since)
	if since == 0 || waited < limit {
		w.rearm(max(limit-waited, time.Millisecond))
		return
	}
	if w.overdue != since {
		w.overdue = since
		w.pulses = w.server.clock.Heartbeats()
	}
	findings := w.server.prober.path(w.path, w.heard)
	if w.stopped.Load() || w.since.Load() != since {
		// The stream went on while the stages were asked.
		w.rearm(limit)
		return
	}
	if !w.server.clock.CaughtUpSince(w.pulses) {
		// What the stream waits for may lie in its socket unread.
		w.rearm(schedclock.HeartbeatInterval)
		return
	}
	if !w.silent(findings, waited, limit) {
		w.rearm(limit)
		return
	}
	fault := w.atFault(findings)
	countSilence(fault, w.flowing.Load())
	w.cancel(fault)
}

// silent judges a path that has given nothing for longer than the limit. A path
// whose stages answer and make steps is at work for others: ending its streams
// would send them, with a prefill each, to servers that are no less loaded.
// Before the first token a long step is no fault either, as a prefill is long.
func (w *watch) silent(findings pathFindings, waited, limit time.Duration) bool {
	if findings.stuck != "" || findings.heard {
		w.idle = 0
	} else {
		w.idle++
	}
	if findings.unanswered != "" || w.idle >= idleProbes {
		return true
	}
	if !w.flowing.Load() {
		return waited >= w.firstLimit
	}
	return findings.age >= limit/2 || waited >= busyFactor*w.server.limits.TokenSilence
}

// atFault names the stage to avoid: one that doesn't answer, or else the one
// with the oldest step of its own in progress, since a stage that waits for a
// later one has none. When every stage answers and none is at work, a step got
// lost between two of them, and the whole path is suspected.
func (w *watch) atFault(findings pathFindings) *silentError {
	switch {
	case findings.unanswered != "":
		return &silentError{server: findings.unanswered}
	case findings.stuck != "":
		return &silentError{server: findings.stuck}
	}
	suspects := make([]string, 0, len(w.path))
	for _, stage := range w.path {
		suspects = append(suspects, stage.Server)
	}
	return &silentError{suspects: suspects}
}

func (w *watch) rearm(in time.Duration) {
	if w.stopped.Load() {
		return
	}
	w.timer.Reset(in)
}
