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

// countSent returns a function that counts an attempt's request as sent, once: it is written again only
// over a connection that took the place of one that took no byte.
func countSent(cause, way string) func() {
	return sync.OnceFunc(func() {
		metrics.GetOrCreateCounter(fmt.Sprintf("oleandershunt_relay_sent_total{cause=%q,way=%q}", cause, way)).Inc()
	})
}
