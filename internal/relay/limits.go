package relay

import (
	"fmt"
	"math"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/ratelimit"
	"oleandershunt.example/oleandershunt/internal/telemetry"
)

// The bounds of lines on servers' rates, which may change with each answer.
const (
	ratesPerSecond = 5
	ratesBurst     = 20
)

// saidRate takes the rate that a server set in its answer. Only an answer that the server
// vouches for ends a limit: refusals and broken answers need not name one.
func (h *Handler) saidRate(x *exchange, o *opened, answer Answer) {
	server, perSecond := o.sent.First.ID, answer.PerSecond
	if perSecond == ratelimit.Unlimited && (answer.NotRun || check(x, o.response, answer) != "") {
		return
	}
	if math.IsNaN(perSecond) {
		if h.rateLines.Allow() {
			telemetry.RateUnread.Log(h.Log, "server", server, "request", x.call.ID)
		}
		return
	}
	var news bool
	h.Dispatcher.Fleet(func(now time.Duration, fleet *backends.Fleet) {
		news = fleet.SaidRate(now, o.begun, server, perSecond)
	})
	switch {
	case !news || !h.rateLines.Allow():
	case perSecond == ratelimit.Unlimited:
		telemetry.RateEnded.Log(h.Log, "server", server, "request", x.call.ID)
	default:
		telemetry.RateSet.Log(h.Log, "server", server, "perSecond", perSecond, "request", x.call.ID)
	}
}

// queue is a request's place among those that wait for a server's request rate.
type queue struct {
	h       *Handler
	service string
	// out leaves the queue; nil for a request that isn't in it.
	out func()
}

// late tells whether a request that has so long left is refused at once, since those before
// it take what its VM may send until then. due is in what time it could be sent, 0 where
// that isn't known.
func (q *queue) late(limited *backends.LimitError, left time.Duration) (due time.Duration, late bool) {
	if q.out != nil {
		due, _ = limited.Due(0)
		return due, false
	}
	var ahead int
	ahead, q.out = q.h.Dispatcher.queue(q.service)
	due, known := limited.Due(ahead)
	return due, known && due > left
}

func (q *queue) leave() {
	if q.out != nil {
		q.out()
	}
}

// The kinds of attempts.
const (
	attemptFirst  = "first"
	attemptRepeat = "repeat"
	attemptResume = "resume"
)

// attemptKind is what the request's next attempt is.
func (x *exchange) attemptKind() string {
	switch {
	case x.events > 0:
		return attemptResume
	case x.sends > 0:
		return attemptRepeat
	default:
		return attemptFirst
	}
}

// countLimited counts an attempt at a server that sets a rate.
func (h *Handler) countLimited(x *exchange, o *opened) {
	var limited bool
	h.Dispatcher.Fleet(func(_ time.Duration, fleet *backends.Fleet) { limited = fleet.Limited(o.sent.First.ID) })
	if limited {
		metrics.GetOrCreateCounter(fmt.Sprintf("oleandershunt_relay_limited_attempts_total{kind=%q}", x.attemptKind())).Inc()
	}
}
