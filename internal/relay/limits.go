package relay

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"oleandershunt.example/oleandershunt/internal/core/backends"
)

// queue is a request's place among those that wait for a server's request rate.
type queue struct {
	h       *Handler
	service string
	// out leaves the queue; nil for a request that isn't in it.
	out func()
}

// late tells whether a request that has so long left is refused at once, since servers want
// none until then, or those before it take what its VM may send. due is in what time it could
// be sent, 0 where that isn't known.
func (q *queue) late(deferral backends.Deferral, left time.Duration) (due time.Duration, late bool) {
	ahead := 0
	if q.out == nil {
		ahead, q.out = q.h.Dispatcher.queue(q.service)
	}
	due, known := deferral.Due(ahead)
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
