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

// Limits of log lines on servers' signals, which may change with each response.
const (
	signalLogsPerSecond = 5
	signalLogBurst      = 20
)

// Signals applies what servers ask for in their responses to requests, reports and orders. It
// is safe for concurrent use.
type Signals struct {
	log        logr.Logger
	dispatcher *Dispatcher
	logLimiter *rate.Limiter
}

// NewSignals returns the Signals of a dispatcher.
func NewSignals(log logr.Logger, dispatcher *Dispatcher) *Signals {
	return &Signals{log: log, dispatcher: dispatcher, logLimiter: rate.NewLimiter(signalLogsPerSecond, signalLogBurst)}
}

// ServerSignals is what a server asked for in one response.
type ServerSignals struct {
	// Server is the ID of the server that responded, and Faulty that of the server which it
	// reports as faulty; empty for itself.
	Server, Faulty string
	// Request is the ID of the request that was answered. Empty for none.
	Request string
	Signals backpressure.Signals
	// Signed says that the response is valid and signed by the server, so that a limit which it
	// doesn't repeat has ended. SentAt is when the request was sent, by bootclock.
	Signed bool
	SentAt time.Duration
}

// signalsOf returns the signals in the head of an attempt's response.
func signalsOf(x *exchange, o *openAttempt, head ResponseInfo) ServerSignals {
	received := ServerSignals{
		Server: o.sentTo.First.ID, Request: x.call.ID, Signals: head.Signals,
		Signed: !head.NotRun && validateHead(x, o.response, head) == "", SentAt: o.sentAt,
	}
	received.Faulty, _ = o.sentTo.ServerAt(head.FaultyAddress)
	if o.response.StatusCode == http.StatusMisdirectedRequest {
		// If another process responds, the server that was meant is gone.
		received.Signals = backpressure.Signals{Leaving: head.Signals.Leaving}
	}
	return received
}

// Apply applies what a server asked for.
func (s *Signals) Apply(received ServerSignals) {
	s.applyRate(received)
	s.applyPause(received)
	s.applyLeaving(received)
}

// applyRate applies the rate that a server set. Only a valid signed response ends a limit:
// refusals, broken responses and reports need not repeat it.
func (s *Signals) applyRate(received ServerSignals) {
	perSecond := received.Signals.Rate()
	if perSecond == ratelimit.Unlimited && !received.Signed {
		return
	}
	if math.IsNaN(perSecond) {
		s.logEvent(telemetry.RateUnread, received)
		return
	}
	var changed bool
	s.dispatcher.WithFleet(func(now time.Duration, fleet *backends.Fleet) {
		changed = fleet.SetRateLimit(now, received.SentAt, received.Server, perSecond)
	})
	switch {
	case !changed:
	case perSecond == ratelimit.Unlimited:
		s.logEvent(telemetry.RateEnded, received)
	default:
		s.logEvent(telemetry.RateSet, received, "perSecond", perSecond)
	}
}

// applyPause applies the pause that a server asked for, to the server that responded and to the
// faulty one if it names another.
func (s *Signals) applyPause(received ServerSignals) {
	pause := received.Signals.Pause
	switch pause {
	case 0:
		return
	case backpressure.InvalidPause:
		s.logEvent(telemetry.PauseUnread, received)
		return
	}
	var changed bool
	s.dispatcher.WithFleet(func(now time.Duration, fleet *backends.Fleet) {
		changed = fleet.Pause(now, received.Server, pause)
		if received.Faulty != "" && received.Faulty != received.Server {
			fleet.Pause(now, received.Faulty, pause)
		}
	})
	if changed {
		s.logEvent(telemetry.PauseAsked, received, "blamed", received.Faulty, "pauseMs", pause.Milliseconds())
	}
}

// applyLeaving applies a server's announcement that it leaves.
func (s *Signals) applyLeaving(received ServerSignals) {
	if !received.Signals.Leaving {
		return
	}
	var changed bool
	s.dispatcher.WithFleet(func(now time.Duration, fleet *backends.Fleet) { changed = fleet.MarkLeaving(now, received.Server) })
	if changed {
		s.logEvent(telemetry.LeavingSaid, received)
	}
}

// logEvent logs a change that a server asked for.
func (s *Signals) logEvent(event telemetry.Event, received ServerSignals, fields ...any) {
	if s.logLimiter.Allow() {
		event.Log(s.log, append([]any{"server", received.Server, "request", received.Request}, fields...)...)
	}
}
