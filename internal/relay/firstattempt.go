package relay

import (
	"fmt"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
)

// Outcomes of a request's first attempt, as counted in metrics.
const (
	// firstServed: the server's whole response was forwarded.
	firstServed = "served"
	// firstRefused: the server did not run the request, or couldn't be reached.
	firstRefused = "refused"
	// firstFailed: the server failed, or its response broke off.
	firstFailed = "failed"
	// firstLeft: the caller disconnected before the end of the response.
	firstLeft = "left"
	// firstNone: no server was available, so there was no attempt.
	firstNone = "none"
)

// Ways from this VM to a server, as counted in metrics.
const (
	wayDirect = "direct"
	wayVM     = "vm" // through another VM
	wayNone   = "none"
)

// recordFirst counts the outcome of the request's first attempt. Later calls have no effect.
func (x *exchange) recordFirst(outcome, way string) {
	if x.firstRecorded {
		return
	}
	x.firstRecorded = true
	metrics.GetOrCreateCounter(fmt.Sprintf("oleandershunt_relay_first_attempts_total{outcome=%q,way=%q}", outcome, way)).Inc()
}

// recordFirstAttempt counts an attempt that has ended, if it is the request's first one.
func (x *exchange) recordFirstAttempt(o *openAttempt, result outcome) {
	switch {
	case result == unsent: // no attempt
	case x.r.Context().Err() != nil:
		x.recordFirst(firstLeft, o.way())
	case result == responded && o.response.StatusCode < http.StatusInternalServerError:
		x.recordFirst(firstServed, o.way())
	case result == heldBack:
		x.recordFirst(firstNone, wayNone)
	case result == notExecuted:
		x.recordFirst(firstRefused, o.way())
	default:
		x.recordFirst(firstFailed, o.way())
	}
}
