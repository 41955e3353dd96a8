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

// stallError is the cause of cancelling an attempt whose path has stalled.
type stallError struct {
	// server is the stage at fault. It is empty if any of the suspects may be.
	server   string
	suspects []string
}

// Error implements error.
func (e *stallError) Error() string {
	if e.server == "" {
		return "path stalled: one of " + strings.Join(e.suspects, ", ") + " lost a step"
	}
	return "path stalled at " + e.server
}

// stallDetector cancels an attempt when its path stalls. A hung engine keeps
// its connection open and sends nothing, so only the missing tokens show it.
// Times in which the caller is slow to read, or this process is too starved to
// read, don't count: all times are measured by the server's scheduling clock.
type stallDetector struct {
	server  *Server
	path    route.Path
	cancel  context.CancelCauseFunc
	started time.Duration
	timer   *time.Timer
	// waitStart is when the wait for a frame began, in nanoseconds after
	// started; 0 if none is awaited.
	waitStart atomic.Int64
	// streaming is set with the first token.
	streaming atomic.Bool
	timeout   atomic.Int64
	stopped   atomic.Bool
	// class is the class of the number of tokens to prefill, and
	// firstTokenTimeout the timeout for it.
	class             int
	firstTokenTimeout time.Duration
	// overdueWait is the wait that last exceeded the timeout, and heartbeats the
	// clock's heartbeat count when that was found.
	overdueWait int64
	heartbeats  uint64
	// idleProbes counts the consecutive probes that found no stage at work.
	idleProbes int

	// lastSeen is when each stage last proved a token, on this and other
	// streams.
	lastSeen []*lastSeen
	gaps     gapHistogram
	// lastFrame is when the last frame arrived.
	lastFrame time.Duration
}

// maxIdleProbes is how many consecutive probes must find every stage idle
// before a path that hasn't produced its first token counts as stalled: a
// single probe may fall between two steps.
const maxIdleProbes = 2

// busyFactor times TokenSilence is how long a stream may go without a token
// while every stage of its path makes steps.
const busyFactor = 4

// newStallDetector watches an attempt until stop is called. prefill is the
// number of tokens processed before the first new one.
func (s *Server) newStallDetector(dispatch core.Dispatch, prefill int, cancel context.CancelCauseFunc) *stallDetector {
	d := &stallDetector{server: s, path: dispatch.Path, class: promptClass(prefill), cancel: cancel, started: s.clock.Now()}
	d.lastSeen = s.stallTimeouts.lastSeenOf(d.path)
	d.firstTokenTimeout = s.stallTimeouts.firstTokenTimeout(d.path, d.class, s.limits.FirstToken)
	d.timeout.Store(int64(s.stallTimeouts.tokenTimeout(d.path)))
	d.beginWait()
	// The timer starts after d.timer is set, since check resets it.
	d.timer = time.AfterFunc(math.MaxInt64, d.check)
	d.timer.Reset(time.Duration(d.timeout.Load()))
	return d
}

func (d *stallDetector) stop() {
	d.stopped.Store(true)
	d.timer.Stop()
	d.server.stallTimeouts.addGaps(d.path, &d.gaps)
}

// elapsed returns the time since the detector was started.
func (d *stallDetector) elapsed() time.Duration { return d.server.clock.Now() - d.started }

// beginWait begins a wait for a frame.
func (d *stallDetector) beginWait() { d.waitStart.Store(max(int64(d.elapsed()), 1)) }

// endWait ends a wait. A frame that had been received before the wait says
// nothing about the gap between tokens.
func (d *stallDetector) endWait(waited bool) {
	d.lastFrame = d.elapsed()
	took := d.lastFrame - time.Duration(d.waitStart.Swap(0))
	if !d.streaming.Swap(true) {
		d.server.stallTimeouts.addFirstToken(d.path, d.class, took)
		return
	}
	if !waited {
		return
	}
	d.gaps.add(took)
	if d.gaps.total >= gapBatch {
		d.server.stallTimeouts.addGaps(d.path, &d.gaps)
		d.timeout.Store(int64(d.server.stallTimeouts.tokenTimeout(d.path)))
	}
}

// recordProof records that every stage of the path ran for the last frame.
func (d *stallDetector) recordProof() {
	for _, seen := range d.lastSeen {
		seen.record(d.started + d.lastFrame)
	}
}

// check runs in the timer's goroutine.
func (d *stallDetector) check() {
	if d.stopped.Load() {
		return
	}
	timeout := time.Duration(d.timeout.Load())
	waitStart := d.waitStart.Load()
	waited := d.elapsed() - time.Duration(waitStart)
	if waitStart == 0 || waited < timeout {
		d.rearm(max(timeout-waited, time.Millisecond))
		return
	}
	if d.overdueWait != waitStart {
		d.overdueWait = waitStart
		d.heartbeats = d.server.clock.Heartbeats()
	}
	result := d.server.prober.probePath(d.path, d.lastSeen)
	if d.stopped.Load() || d.waitStart.Load() != waitStart {
		// The stream continued during the probe.
		d.rearm(timeout)
		return
	}
	if !d.server.clock.CaughtUpSince(d.heartbeats) {
		// The awaited frame may be unread in this process's socket buffer.
		d.rearm(schedclock.HeartbeatInterval)
		return
	}
	if !d.stalled(result, waited, timeout) {
		d.rearm(timeout)
		return
	}
	fault := d.findFault(result)
	countStall(fault, d.streaming.Load())
	d.cancel(fault)
}

// stalled reports whether a path without a token for longer than the timeout
// has stalled. A path whose stages answer and make steps is working for other
// streams: ending its streams would move them, with a prefill each, to servers
// that are no less loaded. Before the first token, a long step is no sign of a
// stall either, as prefill takes long.
func (d *stallDetector) stalled(result pathProbe, waited, timeout time.Duration) bool {
	if result.stuck != "" || result.active {
		d.idleProbes = 0
	} else {
		d.idleProbes++
	}
	if result.unanswered != "" || d.idleProbes >= maxIdleProbes {
		return true
	}
	if !d.streaming.Load() {
		return waited >= d.firstTokenTimeout
	}
	return result.age >= timeout/2 || waited >= busyFactor*d.server.limits.TokenSilence
}

// findFault returns the stage to avoid: one that doesn't answer, or else the
// one with the oldest step of its own in progress, since a stage that waits
// for a later one has none. If every stage answers and none is at work, a step
// was lost between two of them, and the whole path is suspected.
func (d *stallDetector) findFault(result pathProbe) *stallError {
	switch {
	case result.unanswered != "":
		return &stallError{server: result.unanswered}
	case result.stuck != "":
		return &stallError{server: result.stuck}
	}
	suspects := make([]string, 0, len(d.path))
	for _, stage := range d.path {
		suspects = append(suspects, stage.Server)
	}
	return &stallError{suspects: suspects}
}

func (d *stallDetector) rearm(in time.Duration) {
	if d.stopped.Load() {
		return
	}
	d.timer.Reset(in)
}
