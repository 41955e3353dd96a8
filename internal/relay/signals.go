package relay

import (
	"math"
	"net/http"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/backpressure"
	"oleandershunt.example/oleandershunt/internal/core/ratelimit"
	"oleandershunt.example/oleandershunt/internal/telemetry"
)

// The bounds of lines on what servers ask for, which may change with each answer.
const (
	signalsPerSecond = 5
	signalsBurst     = 20
)

// signalled takes what a server asks for in the head of its answer, whatever its status.
func (h *Handler) signalled(x *exchange, o *opened, answer Answer) {
	if o.response.StatusCode != http.StatusMisdirectedRequest {
		h.saidRate(x, o, answer)
		h.askedPause(x, o, answer)
	}
	h.saidLeaving(x, o, answer)
}

// saidRate takes the rate that a server set in its answer. Only an answer that the server
// vouches for ends a limit: refusals and broken answers need not name one.
func (h *Handler) saidRate(x *exchange, o *opened, answer Answer) {
	server, perSecond := o.sent.First.ID, answer.Signals.PerSecond
	if perSecond == ratelimit.Unlimited && (answer.NotRun || check(x, o.response, answer) != "") {
		return
	}
	if math.IsNaN(perSecond) {
		h.signalLine(telemetry.RateUnread, x, server)
		return
	}
	var news bool
	h.Dispatcher.Fleet(func(now time.Duration, fleet *backends.Fleet) {
		news = fleet.SaidRate(now, o.begun, server, perSecond)
	})
	switch {
	case !news:
	case perSecond == ratelimit.Unlimited:
		h.signalLine(telemetry.RateEnded, x, server)
	default:
		h.signalLine(telemetry.RateSet, x, server, "perSecond", perSecond)
	}
}

// askedPause takes the pause that a server asked for in its answer. It is that of the server
// that answered, and of the one at fault where it names another.
func (h *Handler) askedPause(x *exchange, o *opened, answer Answer) {
	server, pause := o.sent.First.ID, answer.Signals.Pause
	switch pause {
	case 0:
		return
	case backpressure.Unread:
		h.signalLine(telemetry.PauseUnread, x, server)
		return
	}
	blamed, ok := o.sent.At(answer.Blame)
	if !ok {
		blamed = server
	}
	var news bool
	h.Dispatcher.Fleet(func(now time.Duration, fleet *backends.Fleet) {
		news = fleet.Pause(now, server, pause)
		if blamed != server {
			fleet.Pause(now, blamed, pause)
		}
	})
	if news {
		h.signalLine(telemetry.PauseAsked, x, server, "blamed", blamed, "pauseMs", pause.Milliseconds())
	}
}

// saidLeaving takes a server's word that it leaves.
func (h *Handler) saidLeaving(x *exchange, o *opened, answer Answer) {
	if !answer.Signals.Leaving {
		return
	}
	server, news := o.sent.First.ID, false
	h.Dispatcher.Fleet(func(now time.Duration, fleet *backends.Fleet) { news = fleet.SaysLeaving(now, server) })
	if news {
		h.signalLine(telemetry.LeavingSaid, x, server)
	}
}

// signalLine writes a line on what a server asked for.
func (h *Handler) signalLine(event telemetry.Event, x *exchange, server string, fields ...any) {
	if h.signalLines.Allow() {
		event.Log(h.Log, append([]any{"server", server, "request", x.call.ID}, fields...)...)
	}
}
