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

// moveTimeout bounds the order that moves a request to another path.
const moveTimeout = 300 * time.Millisecond

// errStalled is why an attempt is ended that waits for a server which is silent.
var errStalled = errors.New("path is stalled")

// move takes the request to a path without a server. Where that can't be done,
// the attempt ends, and is resumed from its last event.
func (w *watchdog) move(blamed string) {
	if !w.beginMove(blamed) {
		return
	}
	choice, err := w.otherPath(blamed)
	if err == nil {
		ctx, cancel := context.WithTimeout(w.o.ctx, moveTimeout)
		defer cancel()
		var asked backpressure.Signals
		asked, err = w.h.Engines.Repath(ctx, choice.First.Address, choice.First.Name, w.x.call.ID, choice.Path)
		w.h.signals.Take(Said{Server: choice.First.ID, Request: w.x.call.ID, Signals: asked})
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.moving = false
	if w.ended {
		return
	}
	if err != nil {
		if w.leave() {
			telemetry.RelayNotMoved.Log(w.h.Log, "request", w.x.call.ID, "blamed", blamed, "cause", err.Error())
		}
		return
	}
	choice.Taken = w.o.choice.Taken
	load := choice.Load(w.request.Prompt + w.request.Answer)
	w.h.Dispatcher.moved(w.o.load, load)
	w.o.choice, w.o.load = choice, load
	w.x.timing.moves.Add(1)
	w.heard = time.Now()
	w.timer.Reset(w.h.Patience)
	telemetry.RelayMoved.Log(w.h.Log, "request", w.x.call.ID, "blamed", blamed, "path", choice.Path.String())
}

func (w *watchdog) beginMove(blamed string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended || w.moving {
		return false
	}
	if !slices.Contains(w.blamed, blamed) {
		w.blamed = append(w.blamed, blamed)
	}
	w.moving = true
	return true
}

// otherPath chooses a path that begins with the same part.
func (w *watchdog) otherPath(blamed string) (backends.Choice, error) {
	w.mu.Lock()
	current := w.o.choice
	avoid := w.avoided()
	w.mu.Unlock()
	if current.First.ID == blamed {
		return backends.Choice{}, errStalled
	}
	request := w.request
	request.Avoid = avoid
	request.Keep, request.Force, request.Version = &current.Path[0], true, current.Version
	return w.h.Dispatcher.look(w.x.service, request)
}

// avoided lists the servers that failed the request or are blamed for its silence. It
// must be called with the lock held.
func (w *watchdog) avoided() []string {
	return append(slices.Clone(w.request.Avoid), w.blamed...)
}

// leave ends the attempt if it can be resumed: there is a path with room, and a repeat,
// which is reserved. It must be called with the lock held.
//
// What can go wrong: a server dies inside many paths at once, or answers are lost, while
// others are short of room or repeats are used up. If each stream were ended first and
// asked for a repeat afterwards, those without one would be cut, though some of their
// servers go on after a moment; beside a change of the configuration that is an answer
// lost without need.
func (w *watchdog) leave() bool {
	if w.reserved {
		return true
	}
	first := w.o.choice.First.ID
	request := w.request
	request.Avoid = append(w.avoided(), first)
	_, err := w.h.Dispatcher.look(w.x.service, request)
	mayRun := w.h.mayRunAgain(w.x, w.sends) && w.h.mayRunElsewhere(w.x, append(slices.Clone(w.ran), first))
	if err == nil && mayRun && w.h.Dispatcher.mayRepeat(w.x.service.Name, 1) {
		w.reserved = true
		w.o.cancel(errStalled)
		return true
	}
	if !w.waits {
		w.waits = true
		telemetry.RelayWaits.Log(w.h.Log, "request", w.x.call.ID, "first", first, "sends", w.sends, "cause", telemetry.Cause(err))
	}
	w.lookAfter(w.h.Patience / 2)
	return false
}
