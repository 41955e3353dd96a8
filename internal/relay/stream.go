package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"oleandershunt.example/oleandershunt/internal/core/routes"
	"oleandershunt.example/oleandershunt/internal/serverconn"
	"oleandershunt.example/oleandershunt/internal/telemetry"
)

// serveStream serves a request whose response is a stream of events.
func (h *Handler) serveStream(x *exchange) {
	wait := remainingWaits(x)
	reason := ReasonNoServer
	var o *openAttempt
	defer func() {
		if o != nil { // a panic
			o.close(h.Dispatcher)
		}
	}()
	for {
		if o == nil {
			if o = h.startAttempt(x, wait, reason); o == nil {
				return
			}
		}
		result, done := h.attemptStream(x, o)
		x.recordFirstAttempt(o, result)
		next := o.finish(x, done)
		o.close(h.Dispatcher)
		if done {
			endStream(result)
			return
		}
		o = next
		if o == nil && result != unsent {
			if !h.mayGoOn(x, result) {
				return
			}
			reason, wait = refusalReason(result), x.retryWaits()
		}
		if o != nil || result != unsent {
			metrics.GetOrCreateCounter("oleandershunt_relay_resumed_total").Inc()
		}
	}
}

// startAttempt chooses a server for a stream's next attempt. If there is none it ends the stream, for a
// reason that follows from the attempt before, and returns nil.
func (h *Handler) startAttempt(x *exchange, wait waitLimits, reason Reason) *openAttempt {
	o, err := h.choose(x, wait)
	if err == nil {
		return o
	}
	x.recordFirst(firstNone, wayNone)
	h.abandon(x, unchosenReason(err, reason))
	return nil
}

// endStream ends a stream that needs no further attempt. If its caller disconnected or only closed its
// side, its response must not end like a complete one.
func endStream(result outcome) {
	if result != responded {
		panic(http.ErrAbortHandler)
	}
}

// mayGoOn reports whether a stream is to be sent to another server after a result, and otherwise ends it.
func (h *Handler) mayGoOn(x *exchange, result outcome) bool {
	if result == heldBack {
		h.abandon(x, ReasonHeldBack)
		return false
	}
	if !h.mayRetry(x, result) {
		h.abandon(x, refusalReason(result))
		return false
	}
	return true
}

// retryWaits returns how long a request waits for a server after an attempt.
func (x *exchange) retryWaits() waitLimits {
	wait := remainingWaits(x)
	if x.events == 0 {
		wait.path = 0
	}
	return wait
}

// abandon ends a request that could not be completed. A response that has begun is aborted so
// that it can't be mistaken for a complete one.
func (h *Handler) abandon(x *exchange, reason Reason) {
	if !x.headWritten {
		h.refuse(x, h.finalRefusal(x, reason))
		return
	}
	if h.callerLeft(x, context.Cause(x.ctx)) {
		panic(http.ErrAbortHandler)
	}
	telemetry.RelayCut.Log(h.Log, append(x.logFields(), "reason", reason, "detail", x.detail, "after", x.after, "cause", telemetry.Cause(context.Cause(x.ctx)))...)
	metrics.GetOrCreateCounter("oleandershunt_relay_cut_total").Inc()
	panic(http.ErrAbortHandler)
}

// attemptStream sends the request, unless that was done, and forwards events until the stream ends or
// breaks. done says that no further attempt is needed.
func (h *Handler) attemptStream(x *exchange, o *openAttempt) (end outcome, done bool) {
	defer o.stopWatchdog(x)
	if o.response == nil {
		h.startWatchdog(x, o)
		if o.watchdog == nil {
			watch := h.watchPath(x, o)
			defer watch.stop(x)
		}
		if result := h.send(x, o); result != responded {
			return result, false
		}
	}
	if o.response.StatusCode != http.StatusOK {
		return h.handleStreamFailure(x, o)
	}
	err := h.forwardEvents(x, o)
	o.stopWatchdog(x)
	if err == nil {
		x.writeHead(o, unknownLength)
		h.recordCompleted(x, o, http.StatusOK)
		return responded, true
	}
	if errors.Is(err, errCallerGone) {
		h.recordUnwritten(x, err)
		return uncertain, true
	}
	if h.callerLeft(x, err) {
		h.recordUnanswered(x, o)
		return uncertain, true
	}
	h.recordBrokenStream(x, o, err)
	return uncertain, false
}

// recordBrokenStream records a stream that broke off, or whose attempt was replaced.
func (h *Handler) recordBrokenStream(x *exchange, o *openAttempt, err error) {
	if !o.replaced() {
		h.logFailedResponse(x, o, err)
	}
	h.avoidEndless(o, err)
	if errors.Is(err, errTruncatedEvent) && !endsWithConnection(o.response) || errors.Is(err, errBadEvents) {
		x.recordFailure(o.choice)
		return
	}
	h.recordBroken(x, o, err)
}

// endsWithConnection reports whether a response has neither a length nor chunks, so that the end of
// its connection is its own.
func endsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// checkEnd returns an error if a response that ended without one may be incomplete. A server that
// ends closes its connections as well, and then no VM connects to it; so does a VM in between.
func (h *Handler) checkEnd(o *openAttempt, empty bool) error {
	if !endsWithConnection(o.response) {
		return nil
	}
	if empty {
		return errEmptyResponse
	}
	if verdict := h.Servers.CheckEnd(o.ctx, o.sentTo.First.Address); verdict == serverconn.Ended || verdict == serverconn.Unknown {
		return errEndedWithServer
	}
	// Only now: a VM whose process is killed accepts connections for a moment after its tunnels were closed.
	if tunnel := o.tunnel(); tunnel != nil && !h.Servers.VMResponds(o.ctx, tunnel.VM) {
		return errEndedWithVM
	}
	return nil
}

// handleStreamFailure handles a server's own failure: it is retried once where the request may
// be repeated, otherwise forwarded.
func (h *Handler) handleStreamFailure(x *exchange, o *openAttempt) (outcome, bool) {
	body, err := h.holdBody(o)
	o.stopWatchdog(x)
	if x.route.Repeat != routes.AtMostOnce && h.mayRunElsewhere(x, append(x.ranOn, o.choice.First.ID)) || x.headWritten || err != nil {
		h.logFailedResponse(x, o, err)
		x.recordFailure(o.choice)
		return uncertain, false
	}
	h.writeResponse(x, o, body)
	return responded, true
}

// logFailedResponse logs a response that broke off or failed.
func (h *Handler) logFailedResponse(x *exchange, o *openAttempt, err error) {
	telemetry.RelayAttemptFailed.Log(h.Log, append(x.logFields(), "server", o.choice.First.ID,
		"status", o.response.StatusCode, "after", x.after, "cause", telemetry.Cause(err), "why", telemetry.Cause(context.Cause(o.ctx)))...)
}

var (
	// errCallerGone marks a response that can't be written to the caller any more.
	errCallerGone = errors.New("caller left")
	// errTruncatedEvent marks a stream that ended inside an event.
	errTruncatedEvent = errors.New("stream ended inside an event")
	// errEmptyResponse marks a response without content that ended with its connection.
	errEmptyResponse = errors.New("response ended with its connection before it began")
	// errEndedWithServer marks a response that ended with its connection when its server ended.
	errEndedWithServer = errors.New("response ended with its connection, and the server has ended")
	// errEndedWithVM marks one that ended when the VM in between did.
	errEndedWithVM = errors.New("response ended with its connection, and the VM in between has ended")
	// errBadEvents marks a stream whose events can't be forwarded.
	errBadEvents = errors.New("events are not in order")
	// errReplaced marks an attempt whose events come after another one took over.
	errReplaced = errors.New("another attempt has taken over")
)

// forwardEvents forwards complete events as they arrive.
func (h *Handler) forwardEvents(x *exchange, o *openAttempt) error {
	if o.events == nil {
		o.events = h.newEventReader(o.response.Body, x.after)
	}
	events := o.events
	for {
		complete, readErr := events.next()
		if len(complete) > 0 {
			if !o.claimDelivery() {
				return errReplaced
			}
			if err := h.deliver(x, o, complete); err != nil {
				return err
			}
			x.events += events.returned
			x.after = events.last
			o.recordDelivered(x)
			h.recordBegun(x)
		}
		switch {
		case readErr == io.EOF && events.hasPartial():
			return errTruncatedEvent
		case readErr == io.EOF:
			return h.checkEnd(o, x.events == 0)
		case readErr != nil:
			return readErr
		}
	}
}

// unknownLength is the length of a response whose end isn't known yet.
const unknownLength = -1

// writeHead writes the head of an attempt's response to the caller, once. That of a stream is written with
// its first event: a caller whose servers break off before can still be refused.
func (x *exchange) writeHead(o *openAttempt, length int64) {
	if x.headWritten {
		return
	}
	x.headWritten = true
	copyHeaders(x.w.Header(), o.response.Header)
	if length >= 0 && x.r.Method != http.MethodHead {
		x.w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	x.w.WriteHeader(o.response.StatusCode)
}

// deliver writes events to the caller.
func (h *Handler) deliver(x *exchange, o *openAttempt, complete []byte) error {
	start := time.Now()
	o.pace.recordRead(start)
	x.writeHead(o, unknownLength)
	if _, err := x.w.Write(complete); err != nil {
		return fmt.Errorf("%w: %w", errCallerGone, err)
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		return fmt.Errorf("%w: %w", errCallerGone, err)
	}
	x.timing.recordDelivery(x.start, time.Since(start))
	o.pace.recordDelivered(x.timing.lastEvent)
	return nil
}
