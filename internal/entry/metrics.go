package entry

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"oleandershunt.example/oleandershunt/internal/core"
	"oleandershunt.example/oleandershunt/internal/core/request"
)

// gauge counts what is going on now.
type gauge struct{ value atomic.Int64 }

// Inc adds one.
func (g *gauge) Inc() { g.value.Add(1) }

// Dec takes one off.
func (g *gauge) Dec() { g.value.Add(-1) }

var (
	inFlight      gauge
	tokensRelayed = metrics.NewCounter("oleandershunt_tokens_relayed_total")
	callersGone   = metrics.NewCounter("oleandershunt_callers_gone_total")
	_             = metrics.NewGauge("oleandershunt_requests_in_flight", func() float64 { return float64(inFlight.value.Load()) })
)

// kindOf is the kind of work that a request asks for.
func kindOf(arrived core.RequestArrived) string {
	if arrived.Route != "" {
		return "service"
	}
	return "completion"
}

func countAnswer(arrived core.RequestArrived, result attemptResult, took time.Duration) {
	if result.outcome != request.Completed {
		countGone(arrived)
		return
	}
	metrics.GetOrCreateHistogram(fmt.Sprintf(`oleandershunt_answer_seconds{kind=%q}`, kindOf(arrived))).Update(took.Seconds())
}

func countGone(core.RequestArrived) { callersGone.Inc() }

func countRefusal(problem *Problem) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`oleandershunt_refusals_total{reason=%q,execution=%q}`, problem.Reason, problem.Execution)).Inc()
}

func countAttempt(dispatch core.Dispatch, result attemptResult) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`oleandershunt_attempts_total{outcome=%q}`, result.outcome)).Inc()
	if result.tokens > dispatch.FromToken {
		tokensRelayed.Add(result.tokens - dispatch.FromToken)
	}
}

func countBadReceipt(server string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`oleandershunt_bad_receipts_total{server=%q}`, server)).Inc()
}

func countForeign(server string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`oleandershunt_foreign_frames_total{server=%q}`, server)).Inc()
}

func countSilence(fault *silentError, flowing bool) {
	server := fault.server
	if server == "" {
		server = "unplaced"
	}
	phase := "first_token"
	if flowing {
		phase = "between_tokens"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`oleandershunt_silences_total{server=%q,phase=%q}`, server, phase)).Inc()
}

func countCancel(result string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`oleandershunt_cancels_total{result=%q}`, result)).Inc()
}

// InFlight is the number of requests between arrival and answer, over all
// servers of the process.
func InFlight() int64 { return inFlight.value.Load() }
