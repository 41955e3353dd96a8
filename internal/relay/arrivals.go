package relay

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// Causes of what is sent to servers, as counted in metrics. All but causeFirst are arrivals beyond the
// first of their request.
const (
	causeFirst = "first"
	// causeRefused: servers did not run the request before, or could not be reached.
	causeRefused = "refused"
	// causeUnanswered: a server may have run the request, and no valid response came.
	causeUnanswered = "unanswered"
	// causeResumed: a stream that had begun broke off.
	causeResumed = "resumed"
	// causeReplacement: an attempt beside a silent one.
	causeReplacement = "replacement"
)

// sendCause returns why the request's current attempt, which sends includes, is made.
func (x *exchange) sendCause() string {
	switch {
	case x.replaces:
		return causeReplacement
	case x.sends <= 1:
		return causeFirst
	case x.events > 0:
		return causeResumed
	case x.mayHaveRun:
		return causeUnanswered
	default:
		return causeRefused
	}
}

// sentRecorder returns a function that records that an attempt's request is sent. It does so once: a request
// is written again only over a connection that took the place of one that took no byte.
func (h *Handler) sentRecorder(x *exchange, way string) func() {
	cause, service, takenAt := x.sendCause(), x.service.Name, x.retryTakenAt
	return sync.OnceFunc(func() {
		countSent(cause, way)
		if takenAt > 0 {
			h.Dispatcher.recordRetrySent(service, takenAt)
		}
	})
}

func countSent(cause, way string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("oleandershunt_relay_sent_total{cause=%q,way=%q}", cause, way)).Inc()
}
