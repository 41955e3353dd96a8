package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/backpressure"
	"oleandershunt.example/oleandershunt/internal/telemetry"
)

// moveTimeout bounds the call that moves a request to another path.
const moveTimeout = 300 * time.Millisecond

// errStalled is the cancellation cause of an attempt that waits for an unresponsive server.
var errStalled = errors.New("path is stalled")

// move moves the request to a path without the faulty server. If that fails, the attempt ends
// and is resumed from its last event.
func (w *watchdog) move(faulty string) {
	if !w.beginMove(faulty) {
		return
	}
	choice, err := w.alternativePath(faulty)
	if err == nil {
		ctx, cancel := context.WithTimeout(w.o.ctx, moveTimeout)
		defer cancel()
		var signals backpressure.Signals
		signals, err = w.h.Engines.Repath(ctx, choice.First.Address, choice.First.Name, w.x.call.ID, choice.Path)
		w.h.signals.Apply(ServerSignals{Server: choice.First.ID, Request: w.x.call.ID, Signals: signals})
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.moving = false
	if w.ended {
		return
	}
	if err != nil {
		if w.endForResumeLocked(endedStalled) {
			telemetry.RelayNotMoved.Log(w.h.Log, "request", w.x.call.ID, "blamed", faulty, "cause", err.Error())
		}
		return
	}
	choice.RequestsOnFirst = w.o.choice.RequestsOnFirst
	load := choice.Load(w.request.Prompt + w.request.Answer)
	w.h.Dispatcher.moveLoad(w.o.load, load)
	w.o.choice, w.o.load = choice, load
	w.x.timing.moves.Add(1)
	w.lastActivity = time.Now()
	w.timer.Reset(w.h.StallTimeout)
	telemetry.RelayMoved.Log(w.h.Log, "request", w.x.call.ID, "blamed", faulty, "path", choice.Path.String())
}

func (w *watchdog) beginMove(faulty string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended || w.moving {
		return false
	}
	if !slices.Contains(w.faulty, faulty) {
		w.faulty = append(w.faulty, faulty)
	}
	w.moving = true
	return true
}

// alternativePath chooses a path that begins with the same part.
func (w *watchdog) alternativePath(faulty string) (backends.Choice, error) {
	w.mu.Lock()
	current := w.o.choice
	avoid := w.avoidedLocked()
	w.mu.Unlock()
	if current.First.ID == faulty {
		return backends.Choice{}, errStalled
	}
	request := w.request
	request.Avoid = avoid
	request.FixedFirst, request.IgnoreCapacity, request.Version = &current.Path[0], true, current.Version
	return w.h.Dispatcher.preview(w.x.service, request)
}

// avoidedLocked lists the servers that failed the request or caused its stall. It must be
// called with the lock held.
func (w *watchdog) avoidedLocked() []string {
	return append(slices.Clone(w.request.Avoid), w.faulty...)
}

// endForResumeLocked ends the attempt if it can be resumed: another path has capacity, and a
// retry is allowed, which is reserved. It must be called with the lock held.
//
// What can go wrong: a server on many paths fails at once, or responses are lost, while other
// servers lack capacity or the retry budget is used up. If each stream were ended before asking
// for a retry, those without one would be cut although some of their servers respond again
// after a moment. Together with a configuration change, such a response would be lost without
// need.
func (w *watchdog) endForResumeLocked(cause string) bool {
	if w.retryReserved {
		return true
	}
	first := w.o.choice.First.ID
	request := w.request
	request.Avoid = append(w.avoidedLocked(), first)
	if w.reserveRetryLocked(request, first) {
		countEnded(cause)
		w.o.cancel(errStalled)
		return true
	}
	w.resetTimerLocked(w.h.StallTimeout / 2)
	return false
}

// reserveRetryLocked reserves a retry if a path for the request exists and it may run again; first
// is the server that runs it now. It must be called with the lock held.
func (w *watchdog) reserveRetryLocked(request backends.Request, first string) bool {
	_, err := w.h.Dispatcher.preview(w.x.service, request)
	mayRun := w.h.mayRunAgain(w.x, w.sends) && w.h.mayRunElsewhere(w.x, append(slices.Clone(w.ranOn), first))
	if err == nil && mayRun && w.h.Dispatcher.takeRetry(w.x.service.Name, 1) {
		w.retryReserved = true
		return true
	}
	if !w.waitLogged {
		w.waitLogged = true
		telemetry.RelayWaits.Log(w.h.Log, "request", w.x.call.ID, "first", first, "sends", w.sends, "cause", telemetry.Cause(err))
	}
	return false
}
