package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/telemetry"
)

// replacement is an attempt that is made beside a silent one. It takes over if it delivers events before
// that one does; otherwise it is given up, and the silent attempt goes on.
//
// What can go wrong: an attempt is ended because its path is silent, and then no other server takes the
// request, or the one that does is silent as well. The stream is cut although its servers, which were
// slow for a second, would have finished it.
type replacement struct {
	w      *watchdog
	reason replaceReason
	// x is the request as the replacement sees it, and cancel ends its attempts.
	x      *exchange
	cancel context.CancelCauseFunc
	// done is closed at the end. opened is the attempt that goes on then, nil if there is none.
	done   chan struct{}
	opened *openAttempt
}

// replaceReason is why an attempt is to be replaced.
type replaceReason struct {
	name string
	// err is the cancellation cause of the attempt that is replaced.
	err error
}

// Reasons of replacements.
var (
	// replaceStalled: it waits for a server that is silent.
	replaceStalled = replaceReason{"stalled", errStalled}
	// replaceAnswerLost: its first server has nothing queued and waits for nobody.
	replaceAnswerLost = replaceReason{"answer_lost", errStalled}
	// replacePathLost: other VMs connect to its first server, this one doesn't.
	replacePathLost = replaceReason{"path_lost", errPathLost}
)

// Outcomes of replacements, as counted in metrics.
const (
	// replacementTookOver: it was the first to deliver events.
	replacementTookOver = "took_over"
	// replacementNotNeeded: the silent attempt went on.
	replacementNotNeeded = "not_needed"
	// replacementFailed: no server went on with the request.
	replacementFailed = "failed"
)

// errNotNeeded is the cancellation cause of a replacement that is not needed.
var errNotNeeded = errors.New("silent attempt goes on")

// errNoRetryLeft is returned if the retry budget allows no further attempt.
var errNoRetryLeft = errors.New("retry budget is used up")

// replaceLocked begins to replace the attempt, without the given servers, if another path has capacity
// and the request may run again. It must be called with the lock held.
func (w *watchdog) replaceLocked(reason replaceReason, avoid ...string) bool {
	if w.ended || w.replacement != nil {
		return false
	}
	request := w.request
	request.Avoid = w.avoidedLocked(avoid...)
	if !w.mayReplaceLocked(request) {
		w.resetTimerLocked(w.h.StallTimeout / 2)
		return false
	}
	x := w.forkLocked(request.Avoid)
	r := &replacement{w: w, reason: reason, x: x, done: make(chan struct{})}
	x.ctx, r.cancel = context.WithCancelCause(w.base.ctx)
	w.replacement = r
	go r.run()
	return true
}

// mayReplaceLocked reports whether the attempt may be replaced now.
func (w *watchdog) mayReplaceLocked(request backends.Request) bool {
	if !w.mayReplace || w.delivering {
		return false
	}
	first := w.o.choice.First.ID
	_, err := w.h.Dispatcher.preview(w.base.service, request)
	sends := w.base.sends + w.sends
	if err == nil && w.h.mayRunAgain(&w.base, sends) && w.h.mayRunElsewhere(&w.base, append(appendMissing(nil, w.ranOn...), first)) {
		return true
	}
	if w.isFirstLocked(telemetry.RelayWaits, "") {
		telemetry.RelayWaits.Log(w.h.Log, "request", w.base.call.ID, "first", first, "sends", sends, "cause", telemetry.Cause(err))
	}
	return false
}

// forkLocked returns the request for attempts beside this one.
func (w *watchdog) forkLocked(avoid []string) *exchange {
	x := w.base
	x.attemptHistory, x.replaces, x.retryTakenAt = w.base.clone(), true, 0
	x.avoid, x.ranOn, x.allowed = avoid, appendMissing(nil, w.ranOn...), nil
	x.recordRan(w.o.choice)
	x.sends, x.refusals = x.sends+w.sends, x.refusals+w.refusals
	x.delivered, x.timing = w.delivered, deliveryTiming{lastEvent: w.lastEvent}
	return &x
}

// run makes attempts until one delivers events or none is left, and ends the replacement.
func (r *replacement) run() {
	opened, err := r.open()
	r.w.h.returnRetry(r.x)
	if !r.end(opened, err) && opened != nil {
		opened.stopWatchdog(r.x)
		opened.close(r.w.h.Dispatcher)
	}
}

// open makes attempts until one delivers events.
func (r *replacement) open() (*openAttempt, error) {
	h, x := r.w.h, r.x
	offered := false
	for {
		o, err := h.choose(x, x.retryWaits())
		if err != nil {
			return nil, err
		}
		// Taken only now, so that none is taken where no server has capacity. mayRetry takes the others.
		if !offered && !h.takeRetry(x, x.budgetShare(unansweredBudgetShare)) {
			o.close(h.Dispatcher)
			return nil, errNoRetryLeft
		}
		offered = true
		result, err := r.attempt(o)
		if result == responded {
			return o, nil
		}
		o.stopWatchdog(x)
		o.close(h.Dispatcher)
		if result == unsent {
			continue
		}
		if result != notExecuted || !h.mayRetry(x, result) {
			return nil, err
		}
	}
}

// errNotExecuted is returned if no server ran a replacement.
var errNotExecuted = errors.New("backend servers did not run the replacement")

// attempt sends the request to a server and reads its response up to the first event.
func (r *replacement) attempt(o *openAttempt) (outcome, error) {
	h, x := r.w.h, r.x
	if w := h.newWatchdog(x, o); w != nil {
		o.watchdog = w
		w.start(h.StallTimeout)
	}
	r.w.recordReplacementSent(o.choice.First.ID)
	result := h.send(x, o)
	if result != responded {
		if result == notExecuted || result == unsent || result == heldBack {
			r.w.recordReplacementNotRun(o.choice.First.ID, result == notExecuted)
		}
		return result, errNotExecuted
	}
	if status := o.response.StatusCode; status != http.StatusOK {
		x.recordFailure(o.choice)
		return uncertain, fmt.Errorf("status %d", status)
	}
	o.events = h.newEventReader(o.response.Body, x.after)
	err := o.events.readAhead()
	if err == io.EOF && !o.events.hasPartial() {
		if err = h.checkEnd(o, x.events == 0); err == nil {
			o.events.ahead = &eventsRead{err: io.EOF}
		}
	}
	switch {
	case err == nil:
		return responded, nil
	case x.ctx.Err() != nil:
		h.recordUnanswered(x, o)
	default:
		h.recordBrokenStream(x, o, err)
	}
	return uncertain, err
}

// recordReplacementSent records that a server may run the request.
func (w *watchdog) recordReplacementSent(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sends++
	w.ranOn = append(w.ranOn, id)
}

// recordReplacementNotRun records that a server to which the request was sent didn't run it.
func (w *watchdog) recordReplacementNotRun(id string, refused bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, ran := range w.ranOn {
		if ran == id {
			w.ranOn = append(w.ranOn[:i:i], w.ranOn[i+1:]...)
			break
		}
	}
	if refused {
		w.refusals++
	} else {
		w.sends--
	}
}

// end ends the replacement with the attempt that goes on, if there is one, and reports whether it takes
// over.
func (r *replacement) end(opened *openAttempt, err error) bool {
	w := r.w
	w.mu.Lock()
	defer w.mu.Unlock()
	defer close(r.done)
	outcome := replacementTookOver
	switch {
	case w.replacement != r:
		outcome = replacementNotNeeded
	case opened == nil:
		outcome = replacementFailed
		w.endFailedLocked(r, err)
	default:
		r.opened = opened
		w.takeOverLocked(r)
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("oleandershunt_relay_replacements_total{reason=%q,outcome=%q}", r.reason.name, outcome)).Inc()
	if outcome != replacementTookOver {
		r.cancel(errNotNeeded)
	}
	return outcome == replacementTookOver
}

// endFailedLocked records that no server goes on with the request.
func (w *watchdog) endFailedLocked(r *replacement, err error) {
	if w.base.ctx.Err() == nil && w.isFirstLocked(telemetry.RelayNotReplaced, r.reason.name) {
		telemetry.RelayNotReplaced.Log(w.h.Log, "request", w.base.call.ID, "first", w.o.choice.First.ID, "reason", r.reason.name, "cause", telemetry.Cause(err))
	}
	if !w.ended { // otherwise the request's goroutine waits for it
		w.replacement = nil
		w.resetTimerLocked(w.h.StallTimeout / 2)
	}
}

// takeOverLocked ends the attempt, if it hasn't ended by itself, in favour of its replacement.
func (w *watchdog) takeOverLocked(r *replacement) {
	cancel := r.opened.cancel
	r.opened.cancel = func(cause error) { cancel(cause); r.cancel(cause) }
	if next := r.opened.watchdog; next != nil {
		next.mu.Lock()
		next.mayReplace = true
		next.mu.Unlock()
	}
	telemetry.RelayReplaced.Log(w.h.Log, "request", w.base.call.ID, "first", w.o.choice.First.ID, "by", r.opened.choice.First.ID,
		"reason", r.reason.name, "silentMs", time.Since(w.lastActivity).Milliseconds(), "ended", w.ended)
	if w.ended {
		return
	}
	w.replaced = true
	countEnded(r.reason.name)
	w.o.cancel(r.reason.err)
}

// giveUp ends the replacement since it isn't needed. The lock of the watchdog must be held.
func (r *replacement) giveUp() { r.cancel(errNotNeeded) }

// finish returns the attempt that goes on with the request after this one, nil if there is none. It waits
// for a replacement in progress, and ends it if the request is done. It may only be called by the
// request's own goroutine, after stopWatchdog.
func (o *openAttempt) finish(x *exchange, done bool) *openAttempt {
	w := o.watchdog
	if w == nil {
		return nil
	}
	r := w.pendingReplacement()
	if r == nil {
		return nil
	}
	if done {
		r.giveUp()
	}
	select {
	case <-r.done:
	case <-x.ctx.Done():
		r.giveUp()
		<-r.done
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mergeLocked(x)
	if done && r.opened != nil {
		r.opened.stopWatchdog(x)
		r.opened.close(w.h.Dispatcher)
		return nil
	}
	return r.opened
}

// pendingReplacement returns the replacement that is in progress or has taken over, or nil.
func (w *watchdog) pendingReplacement() *replacement {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.replacement
}
