package relay

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/membound"
)

// maxBufferedResponse is the largest response that is read into memory, in bytes. A complete
// response can be checked before the caller sees any of it, and the request retried on another
// server.
const maxBufferedResponse = 1 << 20

// servePlain serves a request whose response is a single body.
func (h *Handler) servePlain(x *exchange) {
	maxWait := time.Duration(pathWaitShare * float64(x.route.TargetLatency))
	wait := waitLimits{path: maxWait, capacity: maxWait}
	reason := ReasonNoServer
	for {
		o, err := h.choose(x, wait)
		if err != nil {
			x.recordFirst(firstNone, wayNone)
			h.refuse(x, h.finalRefusal(x, unchosenReason(err, reason)))
			return
		}
		body, result := h.attemptPlain(x, o)
		x.recordFirstAttempt(o, result)
		final := result == responded && (!body.whole || o.response.StatusCode < http.StatusInternalServerError || !h.retryServerFailure(x, o))
		if final {
			defer o.close(h.Dispatcher)
			h.writeResponse(x, o, body)
			return
		}
		o.close(h.Dispatcher)
		if result == unsent {
			continue
		}
		if result == heldBack {
			h.refuse(x, x.heldRefusal())
			return
		}
		reason, wait = refusalReason(result), waitLimits{capacity: max(maxWait-time.Since(x.start), 0)}
		if result != responded && !h.mayRetry(x, result) {
			h.refuse(x, h.finalRefusal(x, reason))
			return
		}
	}
}

// unchosenReason returns the reason of the refusal of a request for which no server was chosen. otherwise is that of
// its attempt before.
func unchosenReason(err error, otherwise Reason) Reason {
	switch {
	case errors.Is(err, backends.ErrFull):
		return ReasonOverloaded
	case errors.Is(err, errVMEnds):
		return ReasonStopping
	default:
		return otherwise
	}
}

func refusalReason(result outcome) Reason {
	if result == notExecuted {
		return ReasonRefused
	}
	return ReasonBroken
}

// retryServerFailure records a server's own failure and reports whether to retry it elsewhere:
// most failures of safe requests are caused by the server, not by the request.
func (h *Handler) retryServerFailure(x *exchange, o *openAttempt) bool {
	x.recordFailure(o.choice)
	return h.mayRetry(x, uncertain)
}

// responseBody is the body of a response, or its beginning.
type responseBody struct {
	bytes []byte
	// whole says that it is all of it. Otherwise the rest is forwarded as it comes, since it is too long to
	// be held, or there is no memory for it.
	whole bool
}

// attemptPlain sends the request and reads the whole response, or what can be held of it.
func (h *Handler) attemptPlain(x *exchange, o *openAttempt) (responseBody, outcome) {
	watch := h.watchPath(x, o)
	defer watch.stop(x)
	if result := h.send(x, o); result != responded {
		return responseBody{}, result
	}
	body, err := h.holdBody(o)
	if err == nil && body.whole {
		err = h.checkWhole(x, o, body)
	}
	if err != nil {
		if x.ctx.Err() == nil {
			h.logFailedResponse(x, o, err)
		}
		h.avoidEndless(o, err)
		h.recordBroken(x, o, err)
		return responseBody{}, uncertain
	}
	return body, responded
}

// checkWhole returns an error if a body that ended without one may be incomplete.
func (h *Handler) checkWhole(x *exchange, o *openAttempt, body responseBody) error {
	if !mayHaveBody(x.r.Method, o.response.StatusCode) {
		return nil
	}
	return h.checkEnd(o, len(body.bytes) == 0)
}

// firstResponseBytes is the size of the first buffer of a response of unknown length.
const firstResponseBytes = 4 << 10

// holdBody reads the body of a response as far as it can be held.
func (h *Handler) holdBody(o *openAttempt) (responseBody, error) {
	o.held = reserved{buffers: h.buffers, use: membound.Response}
	next := int64(firstResponseBytes)
	if length := o.response.ContentLength; length >= 0 {
		next = length + 1 // which shows its end
	}
	var held []byte
	for next <= maxBufferedResponse && o.held.grow(next) {
		grown := make([]byte, next)
		n := copy(grown, held)
		read, err := readFull(o.response.Body, grown[n:])
		held = grown[:n+read]
		if err == io.EOF {
			return responseBody{bytes: held, whole: true}, nil
		}
		if err != nil {
			return responseBody{}, err
		}
		next *= 2
	}
	if next > maxBufferedResponse && o.response.ContentLength < 0 {
		return responseBody{}, errEndless
	}
	return responseBody{bytes: held}, nil
}

// readFull fills a buffer. Other than io.ReadFull it returns the reader's own error if there is less, so
// that io.EOF is told from a body that broke off.
func readFull(from io.Reader, buffer []byte) (n int, err error) {
	for n < len(buffer) && err == nil {
		var read int
		read, err = from.Read(buffer[n:])
		n += read
	}
	if n == len(buffer) {
		return n, nil
	}
	return n, err
}

// mayHaveBody reports whether a response to a method, with a status, may have a body.
func mayHaveBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// writeResponse forwards a response. It closes the caller's connection if the rest of one that isn't
// held can't be read.
func (h *Handler) writeResponse(x *exchange, o *openAttempt, body responseBody) {
	x.writeHead(o, lengthOf(o.response, body))
	if _, err := x.w.Write(body.bytes); err != nil {
		h.recordUnwritten(x, err)
		return
	}
	if !body.whole {
		h.forwardRest(x, o)
	}
	x.timing.recordDelivery(x.start, 0)
	h.recordCompleted(x, o, o.response.StatusCode)
}

// lengthOf returns the length of a response, or unknownLength.
func lengthOf(response *http.Response, body responseBody) int64 {
	if body.whole {
		return int64(len(body.bytes))
	}
	return response.ContentLength
}

// forwardRest forwards the rest of a response as it comes.
func (h *Handler) forwardRest(x *exchange, o *openAttempt) {
	metrics.GetOrCreateCounter("oleandershunt_relay_unheld_responses_total").Inc()
	rest := &restReader{body: o.response.Body, endless: o.response.ContentLength < 0}
	_, err := io.CopyBuffer(struct{ io.Writer }{x.w}, rest, make([]byte, readBufferBytes))
	switch {
	case err == nil:
		if err = h.checkEnd(o, false); err == nil {
			return
		}
		h.logFailedResponse(x, o, err)
		h.recordBroken(x, o, err)
	case rest.err == nil:
		h.recordUnwritten(x, err)
		panic(http.ErrAbortHandler)
	case x.ctx.Err() == nil:
		h.logFailedResponse(x, o, err)
		h.avoidEndless(o, err)
		h.recordBroken(x, o, err)
	}
	h.abandon(x, ReasonBroken)
}

// restReader reads the rest of a response, and tells errors of reading from those of writing.
type restReader struct {
	body io.Reader
	// endless is set for a response without a length, of which read bytes were read.
	endless bool
	read    int
	err     error
}

// Read implements io.Reader.
func (r *restReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	r.read += n
	if r.endless && r.read > maxBufferedResponse {
		err = errEndless
	}
	if err != nil && err != io.EOF {
		r.err = err
	}
	return n, err
}

func copyHeaders(to, from http.Header) {
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
	removeHopByHopHeaders(to)
	to.Del("Content-Length")
}

func splitList(value string) []string {
	var names []string
	for name := range strings.SplitSeq(value, ",") {
		names = append(names, strings.TrimSpace(name))
	}
	return names
}
