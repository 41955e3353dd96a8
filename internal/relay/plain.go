package relay

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/backends"
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
			if errors.Is(err, backends.ErrFull) {
				reason = ReasonOverloaded
			}
			h.refuse(x, h.finalRefusal(x, reason))
			return
		}
		body, result := h.attemptPlain(x, o)
		x.recordFirstAttempt(o, result)
		final := result == responded && (o.response.StatusCode < http.StatusInternalServerError || !h.retryServerFailure(x, o))
		if final {
			h.writeResponse(x, o, body)
			o.close(h.Dispatcher)
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

// attemptPlain sends the request and reads the whole response.
func (h *Handler) attemptPlain(x *exchange, o *openAttempt) ([]byte, outcome) {
	watch := h.watchPath(x, o)
	defer watch.stop(x)
	if result := h.send(x, o); result != responded {
		return nil, result
	}
	body, err := io.ReadAll(io.LimitReader(o.response.Body, maxBufferedResponse+1))
	if err == nil && mayHaveBody(x.r.Method, o.response.StatusCode) {
		err = h.checkEnd(o, len(body) == 0)
	}
	if err != nil || len(body) > maxBufferedResponse {
		if x.ctx.Err() == nil {
			h.logFailedResponse(x, o, err)
		}
		h.recordBroken(x, o, err)
		return nil, uncertain
	}
	return body, responded
}

// mayHaveBody reports whether a response to a method, with a status, may have a body.
func mayHaveBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// writeResponse forwards a complete response.
func (h *Handler) writeResponse(x *exchange, o *openAttempt, body []byte) {
	copyHeaders(x.w.Header(), o.response.Header)
	if x.r.Method != http.MethodHead {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.w.WriteHeader(o.response.StatusCode)
	if _, err := x.w.Write(body); err != nil {
		h.recordUnwritten(x, err)
		return
	}
	x.timing.recordDelivery(x.start, 0)
	h.recordCompleted(x, o, o.response.StatusCode)
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
