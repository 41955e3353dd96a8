package relay

import (
	"math"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

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

// Signals takes what servers ask for in their answers to requests, reports and orders. It is
// safe for concurrent use.
type Signals struct {
	log        logr.Logger
	dispatcher *Dispatcher
	lines      *rate.Limiter
}

// NewSignals makes a taker of signals for a dispatcher.
func NewSignals(log logr.Logger, dispatcher *Dispatcher) *Signals {
	return &Signals{log: log, dispatcher: dispatcher, lines: rate.NewLimiter(signalsPerSecond, signalsBurst)}
}

// Said is what a server asked for in one answer.
type Said struct {
	// Server is the ID of the server that answered, and Blamed that of the server which it
	// says is at fault; empty for itself.
	Server, Blamed string
	// Request is the request that was answered. Empty for none.
	Request string
	Signals backpressure.Signals
	// Vouched says that the server vouches for the answer, so that what it doesn't ask for
	// holds no more. Sent is when the request was sent, by bootclock.
	Vouched bool
	Sent    time.Duration
}

// said is what the head of an attempt's answer asks for.
func said(x *exchange, o *opened, answer Answer) Said {
	said := Said{
		Server: o.sent.First.ID, Request: x.call.ID, Signals: answer.Signals,
		Vouched: !answer.NotRun && check(x, o.response, answer) == "", Sent: o.begun,
	}
	said.Blamed, _ = o.sent.At(answer.Blame)
	if o.response.StatusCode == http.StatusMisdirectedRequest {
		// Where another process answers, that which was meant is gone.
		said.Signals = backpressure.Signals{Leaving: answer.Signals.Leaving}
	}
	return said
}

// Take takes what a server asked for.
func (s *Signals) Take(said Said) {
	s.rate(said)
	s.pause(said)
	s.leaving(said)
}

// rate takes the rate that a server set. Only an answer that it vouches for ends a limit:
// refusals, broken answers and reports need not name one.
func (s *Signals) rate(said Said) {
	perSecond := said.Signals.Rate()
	if perSecond == ratelimit.Unlimited && !said.Vouched {
		return
	}
	if math.IsNaN(perSecond) {
		s.line(telemetry.RateUnread, said)
		return
	}
	var news bool
	s.dispatcher.Fleet(func(now time.Duration, fleet *backends.Fleet) {
		news = fleet.SaidRate(now, said.Sent, said.Server, perSecond)
	})
	switch {
	case !news:
	case perSecond == ratelimit.Unlimited:
		s.line(telemetry.RateEnded, said)
	default:
		s.line(telemetry.RateSet, said, "perSecond", perSecond)
	}
}

// pause takes the pause that a server asked for. It is that of the server that answered, and of
// the one at fault where it names another.
func (s *Signals) pause(said Said) {
	span := said.Signals.Pause
	switch span {
	case 0:
		return
	case backpressure.Unread:
		s.line(telemetry.PauseUnread, said)
		return
	}
	var news bool
	s.dispatcher.Fleet(func(now time.Duration, fleet *backends.Fleet) {
		news = fleet.Pause(now, said.Server, span)
		if said.Blamed != "" && said.Blamed != said.Server {
			fleet.Pause(now, said.Blamed, span)
		}
	})
	if news {
		s.line(telemetry.PauseAsked, said, "blamed", said.Blamed, "pauseMs", span.Milliseconds())
	}
}

// leaving takes a server's word that it leaves.
func (s *Signals) leaving(said Said) {
	if !said.Signals.Leaving {
		return
	}
	var news bool
	s.dispatcher.Fleet(func(now time.Duration, fleet *backends.Fleet) { news = fleet.SaysLeaving(now, said.Server) })
	if news {
		s.line(telemetry.LeavingSaid, said)
	}
}

// line writes a line on what a server asked for.
func (s *Signals) line(event telemetry.Event, said Said, fields ...any) {
	if s.lines.Allow() {
		event.Log(s.log, append([]any{"server", said.Server, "request", said.Request}, fields...)...)
	}
}
