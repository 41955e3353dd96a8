package relay

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/telemetry"
)

// Limits of log lines on late responses: a VM serves some requests a second, and under overload
// most responses are late.
const (
	lateLogsPerSecond = 5
	lateLogBurst      = 20
)

// deliveryTiming records where the time of a response was spent, as far as this VM can tell.
type deliveryTiming struct {
	// capacityWait is how long the request waited for a server with capacity.
	capacityWait time.Duration
	// firstEvent is the time from the request's arrival until the first event, or the whole
	// response, was forwarded; lastEvent is when the latest event was.
	firstEvent time.Duration
	lastEvent  time.Time
	// longestGap is the longest time between two events.
	longestGap time.Duration
	// longestWrite is the longest time that writing events to the caller took.
	longestWrite time.Duration
	// moves counts the moves to another path.
	moves int
}

// recordDelivery records that events were forwarded; write is how long writing them to the
// caller took.
func (t *deliveryTiming) recordDelivery(start time.Time, write time.Duration) {
	now := time.Now()
	if t.lastEvent.IsZero() {
		t.firstEvent = now.Sub(start)
	} else {
		t.longestGap = max(t.longestGap, now.Sub(t.lastEvent))
	}
	t.lastEvent = now
	t.longestWrite = max(t.longestWrite, write)
}

// Causes of late responses.
const (
	lateCapacity   = "room"   // the request waited for a server with capacity
	lateSlot       = "slot"   // the first server had no free slot when the request was sent
	lateCaller     = "caller" // the caller read events slowly
	lateRetry      = "repeat" // more than one attempt
	lateMove       = "move"   // the request moved to another path
	lateFirstEvent = "first"  // the servers' first event was late
	lateGap        = "pause"  // the servers were slow between two events
)

// lateCause returns why a response is late by its route's targets, or "" if it isn't. Causes
// that this VM observes directly come first; the others can't be told apart from this VM's own
// delays.
func lateCause(x *exchange, choice backends.Choice) string {
	t := &x.timing
	firstEventLate := x.route.TargetLatency > 0 && t.firstEvent > x.route.TargetLatency
	gapLate := x.route.TargetGap > 0 && t.longestGap > x.route.TargetGap
	switch {
	case !firstEventLate && !gapLate:
		return ""
	case firstEventLate && t.capacityWait > x.route.TargetLatency/2:
		return lateCapacity
	case firstEventLate && x.sends == 1 && choice.WaitsForSlot():
		return lateSlot
	case gapLate && t.longestWrite > x.route.TargetGap/2:
		return lateCaller
	case x.sends > 1:
		return lateRetry
	case t.moves > 0:
		return lateMove
	case firstEventLate:
		return lateFirstEvent
	default:
		return lateGap
	}
}

// logLate counts and logs the cause of a late response.
func (h *Handler) logLate(x *exchange, o *openAttempt) {
	cause := lateCause(x, o.choice)
	if cause == "" {
		return
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("oleandershunt_relay_late_total{cause=%q}", cause)).Inc()
	if !h.lateLogLimiter.Allow() {
		return
	}
	t := &x.timing
	telemetry.RelayLate.Log(h.Log, append(x.logFields(), "cause", cause, "firstMs", t.firstEvent.Milliseconds(),
		"roomMs", t.capacityWait.Milliseconds(), "gapMs", t.longestGap.Milliseconds(), "writeMs", t.longestWrite.Milliseconds(),
		"moves", t.moves, "server", o.choice.First.ID, "taken", o.choice.RequestsOnFirst, "slots", o.choice.First.Slots,
		"path", o.choice.Path.String())...)
}
