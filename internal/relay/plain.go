package relay

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// answerBound is the largest answer that is taken in whole. A whole one can be
// judged before the caller sees any of it, and asked for again elsewhere.
const answerBound = 1 << 20

// plain serves a request whose answer is one body.
func (h *Handler) plain(x *exchange) {
	wait := waits{server: time.Duration(waitPart * float64(x.route.Target))}
	reason := ReasonNoServer
	for {
		o, err := h.choose(x, wait)
		if err != nil {
			h.refuse(x, x.giveUp(reason))
			return
		}
		body, last := h.attemptPlain(x, o)
		final := last == answered && (o.response.StatusCode < http.StatusInternalServerError || !h.worthRepeat(x, o))
		if final {
			h.answer(x, o, body)
			o.close(h.Dispatcher)
			return
		}
		o.close(h.Dispatcher)
		if last == unsent {
			continue
		}
		reason, wait = reasonOf(last), waits{}
		if last != answered && !h.mayRepeat(x, last) {
			h.refuse(x, x.giveUp(reason))
			return
		}
	}
}

func reasonOf(last fate) Reason {
	if last == notStarted {
		return ReasonRefused
	}
	return ReasonBroken
}

// worthRepeat tells whether a server's own failure is tried again elsewhere: of
// the failures of safe requests most are the server's, not the request's.
func (h *Handler) worthRepeat(x *exchange, o *opened) bool {
	x.failed(o.choice)
	return h.mayRepeat(x, uncertain)
}

// attemptPlain sends the request and takes the whole answer in.
func (h *Handler) attemptPlain(x *exchange, o *opened) ([]byte, fate) {
	if result := h.send(x, o); result != answered {
		return nil, result
	}
	body, err := io.ReadAll(io.LimitReader(o.response.Body, answerBound+1))
	if err != nil || len(body) > answerBound {
		if x.ctx.Err() == nil {
			h.failedBody(x, o, err)
			h.brokeOff(x, o, err)
		}
		x.failed(o.choice)
		return nil, uncertain
	}
	return body, answered
}

// answer passes a whole answer on.
func (h *Handler) answer(x *exchange, o *opened, body []byte) {
	copyHead(x.w.Header(), o.response.Header)
	if x.r.Method != http.MethodHead {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.w.WriteHeader(o.response.StatusCode)
	// A caller that left can't be told.
	_, _ = x.w.Write(body)
	x.timing.passed(x.start, 0)
	h.ended(x, o, o.response.StatusCode)
}

func copyHead(to, from http.Header) {
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
	dropHopHeaders(to)
	to.Del("Content-Length")
}

func splitList(value string) []string {
	var names []string
	for name := range strings.SplitSeq(value, ",") {
		names = append(names, strings.TrimSpace(name))
	}
	return names
}
