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

const (
	// moveTimeout bounds the call that moves a request to another path.
	moveTimeout = 300 * time.Millisecond
	// minMoveSilence is how long a stream is silent before it moves off a server that is said not to
	// respond: events come 20 to 50 ms apart.
	minMoveSilence = 150 * time.Millisecond
)

// errStalled is the cancellation cause of an attempt that waited for an unresponsive server.
var errStalled = errors.New("path is stalled")

// silentFor returns how long the attempt has been silent. It is 0 while events are being delivered.
func (w *watchdog) silentFor() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.delivering {
		return 0
	}
	return time.Since(w.lastActivity)
}

// moveWhenSilent moves the request off a server unless the stream goes on.
func (w *watchdog) moveWhenSilent(faulty string) {
	silence := w.silentFor()
	if silence >= minMoveSilence {
		w.move(faulty)
		return
	}
	time.AfterFunc(minMoveSilence-silence, func() {
		if w.silentFor() >= minMoveSilence {
			w.move(faulty)
		}
	})
}

// move moves the request to a path without the faulty server. If that fails, another server is to go
// on with it from its last event.
func (w *watchdog) move(faulty string) {
	if !w.beginMove(faulty) {
		return
	}
	choice, err := w.alternativePath(faulty)
	if err == nil {
		ctx, cancel := context.WithTimeout(w.o.ctx, moveTimeout)
		defer cancel()
		var signals backpressure.Signals
		signals, err = w.h.Engines.Repath(ctx, choice.First.Address, choice.First.Name, w.base.call.ID, choice.Path)
		w.h.signals.Apply(ServerSignals{Server: choice.First.ID, Request: w.base.call.ID, Signals: signals})
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.moving = false
	if w.ended {
		return
	}
	if err != nil {
		if w.replaceLocked(replaceStalled, w.o.choice.First.ID) && w.isFirstLocked(telemetry.RelayNotMoved, faulty) {
			telemetry.RelayNotMoved.Log(w.h.Log, "request", w.base.call.ID, "blamed", faulty, "cause", err.Error())
		}
		return
	}
	choice.RequestsOnFirst = w.o.choice.RequestsOnFirst
	load := choice.Load(w.request.Prompt + w.request.Answer)
	w.h.Dispatcher.moveLoad(w.o.load, load)
	w.o.choice, w.o.load = choice, load
	w.moves++
	w.lastActivity = time.Now()
	w.timer.Reset(w.h.StallTimeout)
	telemetry.RelayMoved.Log(w.h.Log, "request", w.base.call.ID, "blamed", faulty, "path", choice.Path.String())
}

func (w *watchdog) beginMove(faulty string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended || w.moving || w.replacement != nil {
		return false
	}
	w.faulty = appendMissing(w.faulty, faulty)
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
	return w.h.Dispatcher.preview(w.base.service, request)
}

// avoidedLocked lists the servers that failed the request or caused its stall, and further ones. It must
// be called with the lock held.
func (w *watchdog) avoidedLocked(further ...string) []string {
	return appendMissing(appendMissing(slices.Clone(w.request.Avoid), w.faulty...), further...)
}
