package relay

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/telemetry"
)

// The bounds of lines on late answers: a VM has some requests a second, and in bad times
// most are late.
const (
	latePerSecond = 5
	lateBurst     = 20
)

// timing is where an answer's time went, as far as this VM sees it.
type timing struct {
	// room is how long the request waited for a server with room.
	room time.Duration
	// first is when the first event, or the whole answer, was passed on after the
	// request's arrival, and last when the newest event was.
	first time.Duration
	last  time.Time
	// gap is the longest pause between two events.
	gap time.Duration
	// write is the longest time that the caller's side took an event.
	write time.Duration
	// moves counts the moves to another path.
	moves atomic.Int32
}

// passed notes that events were passed on, which took the caller's side so long.
func (t *timing) passed(start time.Time, write time.Duration) {
	now := time.Now()
	if t.last.IsZero() {
		t.first = now.Sub(start)
	} else {
		t.gap = max(t.gap, now.Sub(t.last))
	}
	t.last = now
	t.write = max(t.write, write)
}

// The causes of late answers.
const (
	lateRoom   = "room"   // it waited for a server with room
	lateSlot   = "slot"   // its first server had no slot free when it was sent
	lateCaller = "caller" // the caller's side took events slowly
	lateRepeat = "repeat" // more than one attempt
	lateMove   = "move"   // it moved to another path
	lateFirst  = "first"  // the servers' first event came late
	latePause  = "pause"  // the servers paused
)

// lateCause is why an answer is late by its route's targets; empty when it isn't. The
// causes that this VM sees for certain go first: what is left lies between the servers'
// work and this VM's own.
func lateCause(x *exchange, choice backends.Choice) string {
	t := &x.timing
	lateStart := x.route.Target > 0 && t.first > x.route.Target
	paused := x.route.Gap > 0 && t.gap > x.route.Gap
	switch {
	case !lateStart && !paused:
		return ""
	case lateStart && t.room > x.route.Target/2:
		return lateRoom
	case lateStart && x.sends == 1 && choice.Queues():
		return lateSlot
	case paused && t.write > x.route.Gap/2:
		return lateCaller
	case x.sends > 1:
		return lateRepeat
	case t.moves.Load() > 0:
		return lateMove
	case lateStart:
		return lateFirst
	default:
		return latePause
	}
}

// noteLate says why an answer was late.
func (h *Handler) noteLate(x *exchange, o *opened) {
	cause := lateCause(x, o.choice)
	if cause == "" {
		return
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("oleandershunt_relay_late_total{cause=%q}", cause)).Inc()
	if !h.lateLines.Allow() {
		return
	}
	t := &x.timing
	telemetry.RelayLate.Log(h.Log, append(x.fields(), "cause", cause, "firstMs", t.first.Milliseconds(),
		"roomMs", t.room.Milliseconds(), "gapMs", t.gap.Milliseconds(), "writeMs", t.write.Milliseconds(),
		"moves", t.moves.Load(), "server", o.choice.First.ID, "taken", o.choice.Taken, "slots", o.choice.First.Slots,
		"path", o.choice.Path.String())...)
}
