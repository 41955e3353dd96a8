package relay

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"oleandershunt.example/oleandershunt/internal/core/backends"
)

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
