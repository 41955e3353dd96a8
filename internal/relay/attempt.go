package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"oleandershunt.example/oleandershunt/internal/bootclock"
	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/routes"
	"oleandershunt.example/oleandershunt/internal/telemetry"
	"oleandershunt.example/oleandershunt/internal/wire"
)

// Suspicion times and thresholds of failed attempts.
const (
	// suspectUnreachable keeps new requests off a server that couldn't be reached.
	suspectUnreachable = time.Second
	// suspectMisdirected keeps new requests off a server whose process isn't the one in its
	// entry, until the next update of that entry.
	suspectMisdirected = time.Second
	// slowRefusal is the duration from which a refusal counts as caused by an unresponsive
	// server on the path: a full server refuses at once.
	slowRefusal = time.Second
	// suspectEndless keeps new requests off a server whose response was longer than any that is allowed.
	suspectEndless = 2 * time.Second
	// suspectUnresponsive keeps new requests off an unresponsive server until the platform has
	// detected the failure: three missed heartbeats plus the time to list the servers.
	suspectUnresponsive = 4 * time.Second
)

// outcome is the result of an attempt.
type outcome int

const (
	// responded: the head of a valid response has arrived.
	responded outcome = iota
	// notExecuted: the server did not run the request.
	notExecuted
	// uncertain: the server may have run the request.
	uncertain
	// unsent: nothing was sent, as the server stopped accepting requests before the request was
	// written.
	unsent
	// heldBack: nothing was sent, as what the request contains has been held back meanwhile.
	heldBack
)

// openAttempt is an attempt in progress. response is nil until the head of the response has
// arrived.
type openAttempt struct {
	response *http.Response
	choice   backends.Choice
	load     backends.Load
	// sentTo is the choice at the time the request was sent; a move to another path changes
	// choice.
	sentTo backends.Choice
	// sentAt is when the request was sent, by bootclock.
	sentAt time.Duration
	cancel context.CancelCauseFunc
	ctx    context.Context
	// watchdog may move the attempt to another choice until it is stopped. Nil for none.
	watchdog *watchdog
	// sent is the request as it was last sent.
	sent atomic.Pointer[wire.Sent]
	// pace reports the attempt's progress to the limiter of its service. Nil without one.
	pace *attemptPace
	// events is the reader of a stream's response, once there is one.
	events *eventReader
	// held is the memory of a response that is held.
	held   reserved
	closed bool
}

// claimDelivery reports whether events of the attempt may be written to the caller: no other attempt has
// taken over, and none does until recordDelivered.
func (o *openAttempt) claimDelivery() bool { return o.watchdog == nil || o.watchdog.claimDelivery() }

// recordDelivered records what the caller has now.
func (o *openAttempt) recordDelivered(x *exchange) {
	if o.watchdog != nil {
		o.watchdog.recordDelivered(x.delivered, x.timing.lastEvent)
	}
}

// stopWatchdog stops the watchdog and adds what it found to the request; choice and load don't change
// afterwards.
func (o *openAttempt) stopWatchdog(x *exchange) {
	if o.watchdog != nil {
		o.watchdog.stop(x)
	}
}

// replaced reports whether another attempt has taken over.
func (o *openAttempt) replaced() bool { return o.watchdog != nil && o.watchdog.isReplaced() }

// close ends the attempt. Further calls have no effect.
func (o *openAttempt) close(d *Dispatcher) {
	if o.closed {
		return
	}
	o.closed = true
	o.cancel(nil)
	if o.response != nil {
		_ = o.response.Body.Close() // the connection isn't used again unless the body was read
	}
	if o.events != nil {
		o.events.memory.free()
	}
	o.held.free()
	d.release(o)
}

// send makes the attempt and reads the head of its response.
func (h *Handler) send(x *exchange, o *openAttempt) outcome {
	if !h.suspects.mayGoOn(x) {
		return heldBack
	}
	h.countRateLimited(x, o)
	x.sends++
	start := time.Now()
	response, sent, err := h.roundTrip(x, o)
	if sent.Any() {
		x.retryTakenAt = 0
	}
	if sent.Withheld() {
		o.stopWatchdog(x)
		return h.handleWithheld(x, o)
	}
	if err != nil {
		o.stopWatchdog(x)
		return h.handleNoResponse(x, o, sent.Any(), err)
	}
	o.response = response
	head := h.Wire.ReadResponse(response)
	h.signals.Apply(signalsOf(x, o, head))
	h.Dispatcher.recordExecution(o, head)
	h.recordResponse(x, o, head)
	if head.NotRun {
		o.stopWatchdog(x)
		return h.handleNotExecuted(x, o, head, time.Since(start))
	}
	if problem := validateHead(x, response, head); problem != "" {
		o.stopWatchdog(x)
		telemetry.RelayAttemptFailed.Log(h.Log, append(x.logFields(), "server", o.choice.First.ID, "cause", problem)...)
		x.recordFailure(o.choice)
		return uncertain
	}
	return responded
}

// roundTrip sends the request to the server directly, or through another VM if the connect fails.
// Both are one attempt, since the server gets at most one of them.
func (h *Handler) roundTrip(x *exchange, o *openAttempt) (*http.Response, *wire.Sent, error) {
	transport := h.transports.Pooled
	if x.route.Repeat == routes.AtMostOnce {
		transport = h.transports.Fresh
	}
	response, sent, err := h.sendOver(transport, x, o, wayDirect)
	if err == nil || sent.Connected() || o.ctx.Err() != nil {
		return response, sent, err
	}
	response, sent, errThrough := h.sendOver(h.transports.Through, x, o, wayVM)
	if errThrough != nil && !sent.Connected() {
		return nil, sent, fmt.Errorf("%w; through another VM: %w", err, errThrough)
	}
	return response, sent, errThrough
}

func (h *Handler) sendOver(transport http.RoundTripper, x *exchange, o *openAttempt, way string) (*http.Response, *wire.Sent, error) {
	recordSent := h.sentRecorder(x, way)
	ctx, sent := wire.WatchSentWhile(o.ctx, func() bool {
		if !h.Dispatcher.stillAccepts(o.sentTo) || !h.suspects.mayGoOn(x) {
			return false
		}
		recordSent()
		return true
	})
	o.sent.Store(sent)
	o.sentAt = bootclock.Now()
	response, err := transport.RoundTrip(h.serverRequest(ctx, x, o.sentTo))
	return response, sent, err
}

// handleWithheld handles an attempt that wasn't sent because its server stopped accepting
// requests before the request was written.
func (h *Handler) handleWithheld(x *exchange, o *openAttempt) outcome {
	x.sends--
	metrics.GetOrCreateCounter(fmt.Sprintf("oleandershunt_relay_withheld_total{kind=%q}", x.attemptKind())).Inc()
	telemetry.RelayWithheld.Log(h.Log, append(x.logFields(), "server", o.sentTo.First.ID)...)
	if x.refusals++; x.refusals >= maxRefusals {
		return notExecuted
	}
	return unsent
}

// handleNoResponse classifies an attempt that failed without a response.
func (h *Handler) handleNoResponse(x *exchange, o *openAttempt, sent bool, err error) outcome {
	if x.ctx.Err() != nil {
		if sent {
			x.mayHaveRun = true
			h.recordUnanswered(x, o)
			return uncertain
		}
		return notExecuted
	}
	if errors.Is(err, wire.ErrInvalidHead) {
		metrics.GetOrCreateCounter("oleandershunt_relay_invalid_heads_total").Inc()
	}
	if o.replaced() {
		if sent {
			h.recordBroken(x, o, err)
		}
		return uncertain
	}
	telemetry.RelayAttemptFailed.Log(h.Log, append(x.logFields(), "server", o.choice.First.ID, "sent", sent, "cause", err.Error())...)
	if !sent {
		if !h.isolated(x) {
			// Otherwise requests over open connections may still be served.
			h.Dispatcher.suspect(o.choice.First.ID, suspectUnreachable)
		}
		if h.Servers.HasEnded(x.ctx, o.choice.First.Address, err) {
			h.suspects.recordConnectionRefused(o.choice.First)
		}
		x.avoid = append(x.avoid, o.choice.First.ID)
		x.refusals++
		return notExecuted
	}
	h.avoidEndless(o, err)
	h.recordBroken(x, o, err)
	return uncertain
}

// handleNotExecuted classifies an attempt that the servers report as not run.
func (h *Handler) handleNotExecuted(x *exchange, o *openAttempt, head ResponseInfo, elapsed time.Duration) outcome {
	x.refusals++
	faulty, ok := o.choice.ServerAt(head.FaultyAddress)
	if !ok {
		faulty = o.choice.First.ID
	}
	switch {
	case o.response.StatusCode == http.StatusMisdirectedRequest:
		// Another process listens at the address, or the server dropped the layers.
		h.Dispatcher.suspect(faulty, suspectMisdirected)
		x.avoid = append(x.avoid, faulty)
	case elapsed >= slowRefusal && !h.Dispatcher.explainsRefusal(x.service, faulty, o.choice):
		// The request may also have queued that long before the faulty server dropped the
		// layers, so a slow refusal doesn't prove that the server is unresponsive.
		h.Dispatcher.markUnresponsive(faulty, false)
		x.avoid = append(x.avoid, faulty)
	case head.Signals.Pause > 0:
		// The server gave the length of the pause itself and may take the request afterwards.
	case len(o.choice.Path) == 0:
		h.Dispatcher.markFull(x.service, faulty)
		x.avoid = append(x.avoid, faulty)
	default:
		// The server may have capacity again while the request waits, and there may be no other
		// server with its layers.
		h.Dispatcher.markFull(x.service, faulty)
	}
	memory, slots := h.Dispatcher.capacityInUse(x.service, faulty, o.choice)
	telemetry.RelayAttemptRefused.Log(h.Log, append(x.logFields(), "server", o.choice.First.ID, "blamed", faulty, "memoryUsed", memory, "slotsUsed", slots,
		"status", o.response.StatusCode, "pauseMs", max(head.Signals.Pause, 0).Milliseconds(), "path", o.choice.Path.String())...)
	return notExecuted
}

// validateHead returns what is wrong with the head of a response, or "" if it is valid.
func validateHead(x *exchange, response *http.Response, head ResponseInfo) string {
	switch {
	case head.ID != x.call.ID:
		return "answer to another request"
	case response.Header.Get("Content-Encoding") != "":
		return "body is encoded"
	case !head.Signed:
		return "answer is not signed"
	default:
		return ""
	}
}

// serverRequest builds the request to the backend server.
func (h *Handler) serverRequest(ctx context.Context, x *exchange, choice backends.Choice) *http.Request {
	target := *x.r.URL
	target.Scheme, target.Host, target.User = "http", choice.First.Address, nil
	header := x.r.Header.Clone()
	removeHopByHopHeaders(header)
	if header.Get("User-Agent") == "" {
		// Otherwise net/http would add its own.
		header.Set("User-Agent", "")
	}
	attempt := Attempt{
		Server: choice.First.Name, Account: x.account.Name, Path: choice.Path,
		Priority: x.priority(), LastEventID: x.call.LastEventID,
	}
	if x.after != "" {
		attempt.LastEventID = x.after
	}
	if x.call.Timeout > 0 {
		attempt.Timeout = x.remaining()
	}
	h.Wire.Write(header, attempt)
	request := &http.Request{
		Method: x.r.Method, URL: &target, Host: x.r.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: x.body.size, Body: http.NoBody,
	}
	if x.body.size > 0 {
		request.Body = io.NopCloser(wire.OnceBody(x.body.reader()))
	}
	return request.WithContext(ctx)
}

func (x *exchange) priority() int {
	if x.account.HasPriority {
		return x.account.Priority
	}
	return x.route.Priority
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

func removeHopByHopHeaders(header http.Header) {
	for _, listed := range header.Values("Connection") {
		for _, name := range splitList(listed) {
			header.Del(name)
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}
