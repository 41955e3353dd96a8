package relay

import (
	"slices"
	"sync"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/chain"
	"oleandershunt.example/oleandershunt/internal/core/routes"
	"oleandershunt.example/oleandershunt/internal/telemetry"
)

// watchdog looks after one attempt of a stream: when its path is silent because a
// server inside it is, the request moves to another path, or the attempt ends so
// that it is resumed.
//
// What can go wrong: a server dies without a word. Those before it on the path
// wait for it, the caller sees a silence and leaves after two seconds, and the
// platform misses the server only later. One notices many streams that stall
// together.
type watchdog struct {
	h *Handler
	x *exchange
	o *opened

	mu    sync.Mutex
	timer *time.Timer
	ended bool
	// moving says that a move is under way.
	moving bool
	// heard is when the attempt began, moved or brought its last event.
	heard time.Time
	// request is what is asked of a path, without the servers that failed the request
	// before; ran lists those that ran it, and sends counts the attempts up to this one.
	// They are as they were when the attempt began: the exchange isn't the watch's.
	request backends.Request
	ran     []string
	sends   int
	// blamed lists the servers for which the attempt was moved or ended.
	blamed []string
	// reserved says that the attempt was ended with a repeat in hand, and waits that it
	// goes on because there was none, or no way to go.
	reserved, waits bool
}

// watches are the attempts that are being watched.
type watches struct {
	mu  sync.Mutex
	all map[*watchdog]struct{}
}

func (w *watches) add(dog *watchdog) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.all[dog] = struct{}{}
}

func (w *watches) remove(dog *watchdog) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.all, dog)
}

func (w *watches) list() []*watchdog {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := make([]*watchdog, 0, len(w.all))
	for dog := range w.all {
		list = append(list, dog)
	}
	return list
}

// watch starts looking at an attempt. Requests that may not run twice, and services
// whose servers make no reports, are left to their servers' and callers' time limits.
//
// What can go wrong: the watch shares what the request's own goroutine writes. A list of
// servers to avoid is torn, or a timer that fires at once finds no timer, and the stream is
// never looked at again.
func (h *Handler) watch(x *exchange, o *opened) {
	if x.route.Repeat != routes.Resumable || x.service.Engine == nil || h.Patience <= 0 {
		return
	}
	w := &watchdog{h: h, x: x, o: o, heard: time.Now(), request: h.request(x), ran: slices.Clone(x.ran), sends: x.sends + 1}
	w.request.Avoid, w.request.Only = slices.Clone(x.avoid), nil
	o.watch = w
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(h.firstPatience(x), w.look)
	h.watches.add(w)
}

// Lost says that a server doesn't answer, as this VM or another one found. What
// runs through it moves at once: waiting for each stream's own silence would cost
// each of them that time. sure says that another server found it, not only this VM.
func (h *Handler) Lost(id string, sure bool) {
	h.Dispatcher.lost(id, sure)
	for _, w := range h.watches.list() {
		if w.uses(id) {
			go w.move(id)
		}
	}
}

// latePart is the part of the target after which a first event is late enough to
// look for the cause.
const latePart = 0.5

// firstPatience is how long the first event is waited for before the path is looked
// into: half of the target, so that there is time to do something about it.
func (h *Handler) firstPatience(x *exchange) time.Duration {
	if x.route.Target <= 0 {
		return h.Patience
	}
	return min(h.Patience, time.Duration(latePart*float64(x.route.Target)))
}

func (w *watchdog) uses(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.ended && slices.ContainsFunc(w.o.choice.Path, func(part chain.Part) bool { return part.ID == id })
}

func (w *watchdog) progress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.heard = time.Now()
	w.lookAfter(w.h.Patience)
}

func (w *watchdog) again(after time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lookAfter(after)
}

// lookAfter must be called with the lock held.
func (w *watchdog) lookAfter(span time.Duration) {
	if !w.ended {
		w.timer.Reset(span)
	}
}

// stop ends the watch and has the request avoid the servers that were to blame. Only the
// request's own goroutine may call it.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	w.ended = true
	w.timer.Stop()
	w.h.watches.remove(w)
	w.x.avoid = append(w.x.avoid, w.blamed...)
	w.x.reserved = w.reserved
}

// look asks the first server what the request waits for.
func (w *watchdog) look() {
	w.mu.Lock()
	first, path := w.o.choice.First, w.o.choice.Path
	w.mu.Unlock()
	report, err := w.h.reports.get(w.o.ctx, first.Address, stallAge)
	w.h.signals.Take(Said{Server: first.ID, Request: w.x.call.ID, Signals: report.Signals})
	if w.o.ctx.Err() != nil {
		return
	}
	blamed, ok := first.ID, true
	if err == nil {
		blamed, ok = w.waitsFor(report)
	}
	if !ok && w.answerLost(report) {
		w.giveUp(first.ID)
		return
	}
	if !ok {
		w.h.learnPaces(path)
		w.again(w.h.Patience / 2)
		return
	}
	telemetry.RelayStalled.Log(w.h.Log, "request", w.x.call.ID, "first", first.ID, "blamed", blamed, "cause", telemetry.Cause(err))
	if err == nil && w.h.Found != nil {
		// Only a server's own word is passed on: silence towards this VM may be the
		// fault of its own links.
		w.h.Found(blamed)
	}
	w.h.Lost(blamed, err == nil)
}

// lostAfter is the silence after which an answer counts as lost, if its request waits
// for nothing: the first event takes 30 to 100 ms, and callers leave after 2 s. On a
// path with a slow server it is longer by that server's pace.
const lostAfter = 800 * time.Millisecond

// suspectMute keeps new requests off a server whose answer was lost.
const suspectMute = time.Second

// answerLost tells whether an answer won't come any more.
//
// What can go wrong: a server runs a request and its answer is lost on the way, without
// a reset; or it takes requests and answers none. The first server's report names
// nobody that is waited for. One notices a stream that is silent while nothing is queued.
func (w *watchdog) answerLost(report Report) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	wait := float64(min(lostAfter, 2*w.h.Patience)) * w.h.Dispatcher.slowest(w.o.choice.Path)
	return report.Queued == 0 && time.Since(w.heard) >= time.Duration(wait)
}

// giveUp ends the attempt, so that it is resumed elsewhere.
func (w *watchdog) giveUp(first string) {
	w.h.Dispatcher.suspect(first, suspectMute)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ended && w.leave() {
		w.blamed = append(w.blamed, first)
		telemetry.RelayAnswerLost.Log(w.h.Log, "request", w.x.call.ID, "first", first)
	}
}

// waitsFor is the server on the path that the request waits for, by the report of
// the first one. A report is older than a move may be: it then names a server
// that is not on the path any more, which says nothing about those that are.
func (w *watchdog) waitsFor(report Report) (string, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	address, stalled := report.Stalled[w.x.call.ID]
	if !stalled {
		return "", false
	}
	return w.o.choice.At(address)
}
