package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"oleandershunt.example/oleandershunt/internal/core/routes"
	"oleandershunt.example/oleandershunt/internal/telemetry"
)

// The figures of a stream.
const (
	// readBytes is how much of a stream is read at once; an event has about 100.
	readBytes = 4 << 10
)

// stream serves a request whose answer is a stream of events.
func (h *Handler) stream(x *exchange) {
	wait := waitsFor(x)
	reason, started := ReasonNoServer, false
	for {
		o, err := h.choose(x, wait)
		if err != nil {
			h.abandon(x, started, reason)
			return
		}
		last, done := h.attemptStream(x, o, &started)
		o.close(h.Dispatcher)
		if done && last != answered {
			// The caller left, or closed its side only: its answer must not end as a
			// whole one does.
			panic(http.ErrAbortHandler)
		}
		if done {
			return
		}
		if last == unsent {
			continue
		}
		reason = reasonOf(last)
		if !h.mayRepeat(x, last) {
			h.abandon(x, started, reason)
			return
		}
		if wait = waitsFor(x); !started {
			wait.server = 0
		}
		metrics.GetOrCreateCounter("oleandershunt_relay_resumed_total").Inc()
	}
}

// abandon ends a request that could not be finished. An answer that has begun
// is cut so that it can't be taken for whole.
func (h *Handler) abandon(x *exchange, started bool, reason Reason) {
	if !started {
		h.refuse(x, x.giveUp(reason))
		return
	}
	if h.left(x, context.Cause(x.ctx)) {
		panic(http.ErrAbortHandler)
	}
	telemetry.RelayCut.Log(h.Log, append(x.fields(), "reason", reason, "detail", x.detail, "after", x.after, "cause", telemetry.Cause(context.Cause(x.ctx)))...)
	metrics.GetOrCreateCounter("oleandershunt_relay_cut_total").Inc()
	panic(http.ErrAbortHandler)
}

// attemptStream sends the request and passes events on until the stream ends or
// breaks. done says that nothing more is to be done.
func (h *Handler) attemptStream(x *exchange, o *opened, started *bool) (last fate, done bool) {
	h.watch(x, o)
	defer o.settle()
	if result := h.send(x, o); result != answered {
		return result, false
	}
	if o.response.StatusCode != http.StatusOK {
		return h.streamFailed(x, o, *started)
	}
	if !*started {
		copyHead(x.w.Header(), o.response.Header)
		x.w.WriteHeader(http.StatusOK)
		*started = true
	}
	err := h.pump(x, o)
	o.settle()
	if err == nil {
		h.ended(x, o, http.StatusOK)
		return answered, true
	}
	if h.left(x, err) || errors.Is(err, errCallerGone) {
		return uncertain, true
	}
	h.failedBody(x, o, err)
	if !errors.Is(err, errTorn) && !errors.Is(err, errBadEvents) {
		h.brokeOff(x, o, err)
	}
	x.failed(o.choice)
	return uncertain, false
}

// streamFailed handles a server's own failure: tried again once where the
// request may be repeated, else passed on.
func (h *Handler) streamFailed(x *exchange, o *opened, started bool) (fate, bool) {
	body, err := io.ReadAll(io.LimitReader(o.response.Body, answerBound))
	o.settle()
	if x.route.Repeat != routes.Once && h.mayRunElsewhere(x, append(x.ran, o.choice.First.ID)) || started || err != nil {
		h.failedBody(x, o, err)
		x.failed(o.choice)
		return uncertain, false
	}
	h.answer(x, o, body)
	return answered, true
}

// failedBody notes an answer that broke off or failed.
func (h *Handler) failedBody(x *exchange, o *opened, err error) {
	telemetry.RelayAttemptFailed.Log(h.Log, append(x.fields(), "server", o.choice.First.ID,
		"status", o.response.StatusCode, "after", x.after, "cause", telemetry.Cause(err), "why", telemetry.Cause(context.Cause(o.ctx)))...)
}

var (
	// errCallerGone marks an answer that the caller doesn't take any more.
	errCallerGone = errors.New("caller left")
	// errTorn marks a stream that ended inside an event.
	errTorn = errors.New("stream ended inside an event")
	// errBadEvents marks a stream whose events can't be passed on.
	errBadEvents = errors.New("events are not in order")
)

// pump passes whole events on as they come.
func (h *Handler) pump(x *exchange, o *opened) error {
	flusher := http.NewResponseController(x.w)
	events := newEvents(x.after)
	buffer := make([]byte, readBytes)
	for {
		n, readErr := o.response.Body.Read(buffer)
		whole, err := events.take(buffer[:n])
		if err != nil {
			return fmt.Errorf("%w: %w", errBadEvents, err)
		}
		if len(whole) > 0 {
			o.progress()
			begun := time.Now()
			if _, err := x.w.Write(whole); err != nil {
				return fmt.Errorf("%w: %w", errCallerGone, err)
			}
			if err := flusher.Flush(); err != nil {
				return fmt.Errorf("%w: %w", errCallerGone, err)
			}
			x.timing.passed(x.start, time.Since(begun))
			x.events += events.passed
			x.after = events.last
		}
		switch {
		case readErr == io.EOF && events.partial():
			return errTorn
		case readErr == io.EOF:
			return nil
		case readErr != nil:
			return readErr
		}
	}
}
