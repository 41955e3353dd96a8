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

// watchdog monitors one attempt of a stream. When its path is silent because a server on it is
// unresponsive, the request moves to another path, or another attempt is made beside this one and takes
// over if it is the first to deliver events. Silence alone ends no attempt: its servers may be sound.
//
// What can go wrong: a server fails silently. The servers before it on the path wait for it,
// the caller disconnects after two seconds without an event, and the platform detects the
// failure only later. The symptom is many streams that stall together.
type watchdog struct {
	h *Handler
	o *openAttempt
	// base is the request as it was when the attempt began: the exchange itself belongs to the
	// request's goroutine.
	base exchange
	// request describes the path that is needed, without the servers that failed the request before.
	request backends.Request

	mu    sync.Mutex
	timer *time.Timer
	ended bool
	// moving says that a move is in progress.
	moving bool
	// lastActivity is when the attempt began, moved or delivered its last event.
	lastActivity time.Time
	// delivered is what the caller has, since lastEvent, and delivering is set while events are being
	// written to it.
	delivered  delivered
	lastEvent  time.Time
	delivering bool
	// faulty lists the servers for which the attempt was to be moved or replaced.
	faulty []string
	// lost lists the servers that were recorded as lost under the request.
	lost []string
	// ranOn lists the servers that ran the request or may have, without this attempt's; sends and
	// refusals count what replacements added. moves counts the moves of the attempt.
	ranOn                  []string
	sends, refusals, moves int
	// replacement is an attempt that is made beside this one, nil if there is none, and replaced is set
	// once it has taken over. mayReplace is unset while this attempt is one itself.
	replacement          *replacement
	replaced, mayReplace bool
	// logged has the lines on the attempt that the log has. What they say recurs each time that it is
	// inspected.
	logged map[watchdogLine]bool
}

// watchdogLine is a log line on an attempt: its event, and the server or reason that it is about.
type watchdogLine struct {
	event telemetry.Event
	about string
}

// startWatchdog starts monitoring an attempt. Requests that may not run twice and services
// whose servers make no reports rely on the time limits of their servers and callers.
//
// What can go wrong: the watchdog shares state with the request's own goroutine. Without copies
// and the lock, the list of servers to avoid is corrupted by a data race, or a timer that fires
// at once finds no timer to reset and the stream is never checked again.
func (h *Handler) startWatchdog(x *exchange, o *openAttempt) {
	w := h.newWatchdog(x, o)
	if w == nil {
		return
	}
	w.mayReplace = true
	o.watchdog = w
	w.start(h.firstEventTimeout(x))
}

// newWatchdog returns a watchdog for an attempt, or nil if it needs none.
func (h *Handler) newWatchdog(x *exchange, o *openAttempt) *watchdog {
	if x.route.Repeat != routes.Resumable || x.service.Engine == nil || h.StallTimeout <= 0 {
		return nil
	}
	w := &watchdog{
		h: h, o: o, base: *x, lastActivity: time.Now(), delivered: x.delivered, lastEvent: x.timing.lastEvent,
		request: h.choiceRequest(x), ranOn: slices.Clone(x.ranOn),
	}
	w.base.attemptHistory = x.clone()
	w.base.sends++ // this attempt's
	w.request.Avoid, w.request.Allowed = slices.Clone(x.avoid), nil
	return w
}

// start starts the timer of the first check.
func (w *watchdog) start(delay time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(delay, w.inspect)
	w.h.watchdogs.add(w)
}

// MarkUnresponsive records that a server doesn't respond, as found by this VM or another one, and moves all
// streams on it at once: waiting for each stream's own stall would add that time to each of
// them. confirmed says that another server found it unresponsive, not only this VM.
func (h *Handler) MarkUnresponsive(id string, confirmed bool) {
	h.Dispatcher.markUnresponsive(id, confirmed)
	h.moveStreams(id)
}

// moveStreams moves all streams off a server that are silent or fall silent now. Those that go on work,
// whatever was found out about the server.
func (h *Handler) moveStreams(id string) {
	for _, w := range h.watchdogs.list() {
		if w.uses(id) {
			go w.moveWhenSilent(id)
		}
	}
}

// firstEventShare is the share of the latency target after which a missing first event is late
// enough to look for the cause.
const firstEventShare = 0.5

// firstEventTimeout returns how long to wait for the first event before checking the path: half
// of the target, so that there is time left to react.
func (h *Handler) firstEventTimeout(x *exchange) time.Duration {
	if x.route.TargetLatency <= 0 {
		return h.StallTimeout
	}
	return min(h.StallTimeout, time.Duration(firstEventShare*float64(x.route.TargetLatency)))
}

func (w *watchdog) uses(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.ended && slices.ContainsFunc(w.o.choice.Path, func(part chain.Part) bool { return part.ID == id })
}

// claimDelivery reports whether events of the attempt may be written to the caller. If so, a replacement
// that has not taken over is given up.
func (w *watchdog) claimDelivery() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.replaced {
		return false
	}
	w.delivering = true
	if r := w.replacement; r != nil {
		w.replacement = nil
		r.giveUp()
	}
	return true
}

// recordDelivered records what the caller has now, since a time.
func (w *watchdog) recordDelivered(caller delivered, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.delivering = false
	w.lastActivity, w.delivered, w.lastEvent = time.Now(), caller, at
	w.resetTimerLocked(w.h.StallTimeout)
}

// loses reports whether the attempt uses a server, the first time that it is called for that.
func (w *watchdog) loses(id string) bool {
	if !w.uses(id) {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if slices.Contains(w.lost, id) {
		return false
	}
	w.lost = append(w.lost, id)
	return true
}

// snapshot returns the request as it is now.
func (w *watchdog) snapshot() exchange {
	w.mu.Lock()
	defer w.mu.Unlock()
	x := w.base
	x.delivered, x.timing.lastEvent = w.delivered, w.lastEvent
	return x
}

// isFirst reports whether the log has no such line on the attempt yet.
func (w *watchdog) isFirst(event telemetry.Event, about string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.isFirstLocked(event, about)
}

// isFirstLocked must be called with the lock held.
func (w *watchdog) isFirstLocked(event telemetry.Event, about string) bool {
	line := watchdogLine{event, about}
	if w.logged[line] {
		return false
	}
	if w.logged == nil {
		w.logged = make(map[watchdogLine]bool)
	}
	w.logged[line] = true
	return true
}

func (w *watchdog) isReplaced() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.replaced
}

func (w *watchdog) resetTimer(delay time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.resetTimerLocked(delay)
}

// resetTimerLocked must be called with the lock held.
func (w *watchdog) resetTimerLocked(delay time.Duration) {
	if !w.ended {
		w.timer.Reset(delay)
	}
}

// stop stops the watchdog and adds what it found to the request. It may only be called by the request's
// own goroutine.
func (w *watchdog) stop(x *exchange) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mergeLocked(x)
	if w.ended {
		return
	}
	w.ended = true
	w.timer.Stop()
	w.h.watchdogs.remove(w)
}

// mergeLocked adds what the watchdog and its replacements found to the request, once.
func (w *watchdog) mergeLocked(x *exchange) {
	x.avoid = appendMissing(x.avoid, w.faulty...)
	x.ranOn = appendMissing(x.ranOn, w.ranOn...)
	x.mayHaveRun = x.mayHaveRun || len(w.ranOn) > 0
	x.sends, x.refusals, x.timing.moves = x.sends+w.sends, x.refusals+w.refusals, x.timing.moves+w.moves
	w.sends, w.refusals, w.moves = 0, 0, 0
}

// inspect asks the first server of the path which server the request waits for.
func (w *watchdog) inspect() {
	w.mu.Lock()
	first, path, pending := w.o.choice.First, w.o.choice.Path, w.replacement != nil
	w.mu.Unlock()
	if pending || w.replaceIfPathLost() {
		return
	}
	report, err := w.h.reports.get(w.o.ctx, first.Address, maxStallReportAge)
	w.h.signals.Apply(ServerSignals{Server: first.ID, Request: w.base.call.ID, Signals: report.Signals})
	if w.o.ctx.Err() != nil {
		return
	}
	if err != nil {
		w.handleNoReport(first, err)
		return
	}
	faulty, ok := w.stalledServer(report)
	if !ok && w.responseLost(report) {
		w.replaceLostResponse(first)
		return
	}
	if !ok {
		w.h.refreshPaces(path)
		w.resetTimer(w.h.StallTimeout / 2)
		return
	}
	if w.isFirst(telemetry.RelayStalled, faulty) {
		telemetry.RelayStalled.Log(w.h.Log, "request", w.base.call.ID, "first", first.ID, "blamed", faulty, "cause", "")
	}
	go w.h.checkDark(faulty)
	if w.h.OnUnresponsive != nil {
		// Only what a server reports is shared with other VMs: a failed connection of this VM
		// may be caused by its own network.
		w.h.OnUnresponsive(faulty)
	}
	w.h.MarkUnresponsive(faulty, true)
}

// responseLostTimeout is the silence after which a response counts as lost if its request waits
// for no server: the first event takes 30 to 100 ms, and callers disconnect after 2 s. On a
// path with a slow server it is multiplied by that server's pace.
const responseLostTimeout = 800 * time.Millisecond

// suspectAfterLostResponse keeps new requests off a server whose response was lost.
const suspectAfterLostResponse = time.Second

// responseLost reports whether the response must be considered lost.
//
// What can go wrong: a server runs a request and its response is lost without a connection
// reset, or the server accepts requests and never responds. The first server's report then
// names no server that is waited for. The symptom is a silent stream while nothing is queued.
func (w *watchdog) responseLost(report Report) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	wait := float64(min(responseLostTimeout, 2*w.h.StallTimeout)) * w.h.Dispatcher.maxPace(w.o.choice.Path)
	return report.Queued == 0 && time.Since(w.lastActivity) >= time.Duration(wait)
}

// replaceLostResponse has another server go on with the stream.
func (w *watchdog) replaceLostResponse(first backends.Server) {
	if conn := w.o.tunnel(); conn != nil {
		// The server works on the request, so the VM in between has fallen silent.
		w.h.Servers.SetAside(conn.VM, first.Address)
		w.replaceForPathLoss()
		return
	}
	w.h.Dispatcher.suspect(first.ID, suspectAfterLostResponse)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.replaceLocked(replaceAnswerLost, first.ID) && w.isFirstLocked(telemetry.RelayAnswerLost, first.ID) {
		telemetry.RelayAnswerLost.Log(w.h.Log, "request", w.base.call.ID, "first", first.ID)
	}
}

// stalledServer returns the server on the path that the request waits for, according to the
// first server's report. After a move the report may be stale and name a server that isn't on
// the path any more; that is no evidence about the servers that are.
func (w *watchdog) stalledServer(report Report) (string, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	address, stalled := report.Stalled[w.base.call.ID]
	if !stalled {
		return "", false
	}
	return w.o.choice.ServerAt(address)
}
