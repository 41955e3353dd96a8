package relay

import (
	"fmt"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"oleandershunt.example/oleandershunt/internal/telemetry"
)

// maxStackBytes bounds the stack in the log line of a panic.
const maxStackBytes = 4 << 10

// closeOnPanic logs and counts a panic of a request's goroutine and closes the caller's connection.
// Without it, net/http would write the panic as text without the request's ID.
func (h *Handler) closeOnPanic(x *exchange) {
	cause := recover()
	if cause == nil {
		return
	}
	if cause != http.ErrAbortHandler {
		stack := debug.Stack()
		metrics.GetOrCreateCounter("oleandershunt_relay_panics_total").Inc()
		telemetry.RelayPanicked.Log(h.Log, append(x.logFields(), "cause", fmt.Sprint(cause), "stack", string(stack[:min(len(stack), maxStackBytes)]))...)
	}
	panic(http.ErrAbortHandler)
}

// recordUnwritten records that a response, or a part of it, could not be written to the caller.
func (h *Handler) recordUnwritten(x *exchange, err error) {
	if h.callerLeft(x, err) {
		return
	}
	metrics.GetOrCreateCounter("oleandershunt_relay_write_failures_total").Inc()
	telemetry.RelayUnwritten.Log(h.Log, append(x.logFields(), "after", x.after, "cause", telemetry.Cause(err))...)
}

// RecordCutByStop logs and counts the requests in flight, which the end of the VM's stop cuts. It must be
// called before their callers' connections are closed, which looks to each of them as if its caller had left.
func (h *Handler) RecordCutByStop() {
	h.ended.Store(true)
	for _, x := range h.requests.list() {
		metrics.GetOrCreateCounter("oleandershunt_relay_cut_total").Inc()
		telemetry.RelayCutByStop.Log(h.Log, "request", x.call.ID, "ms", time.Since(x.start).Milliseconds())
	}
}

// countEnded counts an attempt that this VM ended.
func countEnded(cause string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("oleandershunt_relay_attempts_ended_total{cause=%q}", cause)).Inc()
}
