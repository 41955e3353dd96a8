package relay

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"oleandershunt.example/oleandershunt/internal/core/backends"
)

// rateQueueEntry is a request's entry among those waiting for a server's request rate.
type rateQueueEntry struct {
	h       *Handler
	service string
	// dequeue removes the entry; nil if the request isn't queued.
	dequeue func()
}

// tooLate reports whether a request with the given time left must be refused at once, because
// the servers accept none until later or the requests queued before it use up what this VM may
// send. due is the time until it could be sent, 0 if unknown.
func (q *rateQueueEntry) tooLate(deferral backends.Deferral, timeLeft time.Duration) (due time.Duration, late bool) {
	ahead := 0
	if q.dequeue == nil {
		ahead, q.dequeue = q.h.Dispatcher.joinRateQueue(q.service)
	}
	due, known := deferral.RetryAfter(ahead)
	return due, known && due > timeLeft
}

func (q *rateQueueEntry) release() {
	if q.dequeue != nil {
		q.dequeue()
	}
}

// Kinds of attempts.
const (
	attemptFirst  = "first"
	attemptRetry  = "repeat"
	attemptResume = "resume"
)

// attemptKind returns the kind of the request's next attempt.
func (x *exchange) attemptKind() string {
	switch {
	case x.events > 0:
		return attemptResume
	case x.sends > 0:
		return attemptRetry
	default:
		return attemptFirst
	}
}

// countRateLimited counts an attempt on a server that sets a request rate.
func (h *Handler) countRateLimited(x *exchange, o *openAttempt) {
	var limited bool
	h.Dispatcher.WithFleet(func(_ time.Duration, fleet *backends.Fleet) { limited = fleet.HasRateLimit(o.sentTo.First.ID) })
	if limited {
		metrics.GetOrCreateCounter(fmt.Sprintf("oleandershunt_relay_limited_attempts_total{kind=%q}", x.attemptKind())).Inc()
	}
}
